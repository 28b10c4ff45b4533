import { PermitIssuer } from "../src/index.js";
import { CrashSimulation, type CrashSimulationOptions, type Engine, type SimulatedVm } from "./crashsimulation.js";

/** Options of a {@link CrashWorld}. */
export interface CrashWorldOptions extends CrashSimulationOptions {
    /** Mean time between two bursts of up to three fatal requests, in milliseconds. @default never */
    readonly fatalMs?: number;
}

/** Outcomes of the requests, as counts. */
export interface CrashTally {
    /** Requests that end no engine, and how many of them were refused by mistake. */
    harmless: number;
    wronglyRefused: number;
    /** Arrivals of the fatal request that were refused. */
    rightlyRefused: number;
    /** Ends of engines by the fatal request, and for other reasons. */
    fatalEnds: number;
    otherEnds: number;
    /** Sends of the fatal request more than `allowedMs` after it ended the third engine. */
    lateSends: number;
}

/** Time within which all VMs must know of the third end, in milliseconds. */
const allowedMs = 3000;

/** Requests per second and engine. */
const requestsPerEngine = 10;

interface Request {
    readonly digest: string;
    readonly isFatal: boolean;
    readonly ticket: number;
    attempts: number;
    callerTries: number;
}

interface Run {
    readonly request: Request;
    readonly vm: SimulatedVm;
    readonly sentAt: number;
    readonly startsAt: number;
    readonly endsAt: number;
}

/** Simulates VMs whose engines end under one request that is sent again and again. */
export class CrashWorld extends CrashSimulation<SimulatedVm, Run> {
    readonly tally: CrashTally = {
        harmless: 0,
        wronglyRefused: 0,
        rightlyRefused: 0,
        fatalEnds: 0,
        otherEnds: 0,
        lateSends: 0,
    };
    private readonly permitIssuer = new PermitIssuer();
    private requests = 0;
    private thirdEndAt = Infinity;

    constructor(private readonly options: CrashWorldOptions) {
        super(options, [1000, 4000]);
    }

    run(): CrashTally {
        const { fatalMs, vms, engines } = this.options;
        const arrivalMs = 1000 * vms / (engines * requestsPerEngine);
        for (const vm of this.vms) {
            this.scheduleEvery(arrivalMs, () => this.arrive(vm, this.createHarmless()));
        }
        if (fatalMs !== undefined) {
            this.scheduleEvery(fatalMs, () => this.arriveFatal());
        }
        this.runEvents();
        return this.tally;
    }

    protected override createVm(vm: SimulatedVm): SimulatedVm {
        return vm;
    }

    protected override receiveRestart(vm: SimulatedVm): void {
        this.permitIssuer.removeVm(vm.name);
    }

    private arriveFatal(): void {
        for (let copy = 0; copy <= Math.floor(this.random() * 3); copy++) {
            this.arrive(this.choose(this.vms), this.createRequest("aa.fatal", true));
        }
    }

    private createHarmless(): Request {
        this.tally.harmless += 1;
        return this.createRequest(`bb.${this.requests}`, false);
    }

    private createRequest(digest: string, isFatal: boolean): Request {
        this.requests += 1;
        return { digest, isFatal, ticket: this.requests, attempts: 0, callerTries: 0 };
    }

    private arrive(vm: SimulatedVm, request: Request): void {
        const verdict = vm.quarantine.findVerdict(request.digest, this.now);
        if (verdict.kind === "refused") {
            this.tally[request.isFatal ? "rightlyRefused" : "wronglyRefused"] += 1;
            return;
        }
        const isHeld = verdict.kind === "suspected";
        if (isHeld && !this.permitIssuer.claim(request.digest, vm.name, request.ticket, this.now)) {
            this.schedule(50, () => this.arrive(vm, request));
            return;
        }
        const up = this.listUp();
        if (up.length === 0) {
            this.schedule(100, () => this.arrive(vm, request));
            return;
        }
        this.send(vm, request, this.choose(up));
    }

    private send(vm: SimulatedVm, request: Request, engine: Engine<Run>): void {
        request.attempts += 1;
        const isConnected = this.now > (this.options.restartAt ?? -Infinity) + allowedMs
            || this.now < (this.options.restartAt ?? Infinity);
        if (request.isFatal && isConnected && this.now > this.thirdEndAt + allowedMs) {
            this.tally.lateSends += 1;
        }
        const startsAt = this.now + 40 + this.random() * 300;
        const run = { request, vm, sentAt: this.now, startsAt, endsAt: startsAt + 20 + this.random() * 1500 };
        engine.runs.push(run);
        const { incarnation } = engine;
        this.schedule((request.isFatal ? startsAt : run.endsAt) - this.now, () => {
            if (engine.incarnation !== incarnation || !engine.isUp || !engine.runs.includes(run)) {
                return;
            }
            if (request.isFatal) {
                this.recordFatalEnd(engine);
            }
            else {
                this.finishRun(engine, run);
            }
        });
    }

    private finishRun(engine: Engine<Run>, run: Run): void {
        engine.runs.splice(engine.runs.indexOf(run), 1);
        const { vm, request } = run;
        const verdict = vm.quarantine.findVerdict(request.digest, this.now);
        if (verdict.kind !== "unknown") {
            const clearance = vm.quarantine.createClearance(request.digest, this.now);
            vm.quarantine.applyClearance(clearance, this.now);
            this.sendReport(vm, { crashes: [], clearances: [clearance] }, verdict.upstreams.length > 1);
        }
        this.permitIssuer.release(request.digest, vm.name, request.ticket);
    }

    private recordFatalEnd(engine: Engine<Run>): void {
        this.tally.fatalEnds += 1;
        if (this.tally.fatalEnds === 3) {
            this.thirdEndAt = this.now;
        }
        this.end(engine);
    }

    protected override recordBreaks(vm: SimulatedVm, upstream: string, endedAt: number, runs: readonly Run[]): void {
        const suspects = runs.filter(run => endedAt - run.startsAt < 200).map(({ request }) => request.digest);
        const crash = { upstream, at: this.now, requests: suspects };
        vm.quarantine.applyCrash(crash, this.now);
        this.sendReport(vm, { crashes: [crash], clearances: [] });
        for (const { request } of runs) {
            this.permitIssuer.release(request.digest, vm.name, request.ticket);
            this.retry(vm, request);
        }
    }

    /** The VM sends a request twice; then the caller repeats it once, at any VM. */
    private retry(vm: SimulatedVm, request: Request): void {
        if (request.attempts < 2) {
            this.arrive(vm, request);
        }
        else if (request.callerTries < 1) {
            request.callerTries += 1;
            request.attempts = 0;
            this.schedule(200, () => this.arrive(this.choose(this.vms), request));
        }
    }
}
