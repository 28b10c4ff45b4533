import { type CrashReport, PermitIssuer, Quarantine } from "../src/index.js";
import { createRandom } from "./workload.js";

/** Options of a {@link CrashWorld}. */
export interface CrashWorldOptions {
    readonly seed: number;
    readonly vms: number;
    readonly engines: number;
    /** Simulated time, in milliseconds. */
    readonly lengthMs: number;
    /** Mean time between two ends of engines that the fatal request does not cause, in milliseconds. @default never */
    readonly otherEndsMs?: number;
    /** Mean time between two bursts of up to three fatal requests, in milliseconds. @default never */
    readonly fatalMs?: number;
    /** Start and end of the time in which the store is unreachable, in milliseconds. @default never */
    readonly storeOutage?: readonly [number, number];
    /** When all VMs are killed and restart, in milliseconds. @default never */
    readonly restartAt?: number;
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

/** Largest number of VMs that form a full mesh. */
const meshVms = 12;

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
    readonly vm: Vm;
    readonly sentAt: number;
    readonly startsAt: number;
    readonly endsAt: number;
}

interface Engine {
    readonly name: string;
    incarnation: number;
    isUp: boolean;
    runs: Run[];
}

interface Vm {
    readonly name: string;
    readonly isHub: boolean;
    readonly dataCentre: number;
    incarnation: number;
    reports: number;
    quarantine: Quarantine;
}

/**
 * Simulates VMs that share crash reports over slow links and a store, in virtual time. Of the production code only the
 * decisions run here; the links and the store are simulated.
 */
export class CrashWorld {
    readonly tally: CrashTally = {
        harmless: 0,
        wronglyRefused: 0,
        rightlyRefused: 0,
        fatalEnds: 0,
        otherEnds: 0,
        lateSends: 0,
    };
    private now = 0;
    /** Events by the millisecond in which they happen. */
    private readonly events: (() => void)[][] = [];
    private readonly random: () => number;
    private readonly vms: Vm[];
    private readonly engines: Engine[];
    private readonly store: CrashReport[] = [];
    private readonly permitIssuer = new PermitIssuer();
    private requests = 0;
    private thirdEndAt = Infinity;

    constructor(private readonly options: CrashWorldOptions) {
        this.random = createRandom(options.seed);
        this.vms = Array.from({ length: options.vms }, (_, index) => ({
            name: `v${index}`,
            isHub: options.vms <= meshVms || index % 5 === 0,
            dataCentre: index % 4,
            incarnation: 1,
            reports: 0,
            quarantine: new Quarantine(),
        }));
        this.engines = Array.from({ length: options.engines }, (_, index) => ({
            name: `e${index}`,
            incarnation: 1,
            isUp: true,
            runs: [],
        }));
    }

    run(): CrashTally {
        const { lengthMs, restartAt, fatalMs, otherEndsMs, vms, engines } = this.options;
        const arrivalMs = 1000 * vms / (engines * requestsPerEngine);
        for (const vm of this.vms) {
            this.scheduleEvery(arrivalMs, () => this.arrive(vm, this.createHarmless()));
        }
        if (fatalMs !== undefined) {
            this.scheduleEvery(fatalMs, () => this.arriveFatal());
        }
        if (otherEndsMs !== undefined) {
            this.scheduleEvery(otherEndsMs, () => this.killAny());
        }
        if (restartAt !== undefined) {
            this.schedule(restartAt, () => this.restartVms());
        }
        for (this.now = 0; this.now <= lengthMs; this.now++) {
            // An event may schedule another one for the same millisecond.
            const due = this.events[this.now] ?? [];
            for (let index = 0; index < due.length; index++) {
                due[index]!();
            }
            this.events[this.now] = [];
        }
        return this.tally;
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

    private arrive(vm: Vm, request: Request): void {
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
        const up = this.engines.filter(({ isUp }) => isUp);
        if (up.length === 0) {
            this.schedule(100, () => this.arrive(vm, request));
            return;
        }
        this.send(vm, request, this.choose(up));
    }

    private send(vm: Vm, request: Request, engine: Engine): void {
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

    private finishRun(engine: Engine, run: Run): void {
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

    private recordFatalEnd(engine: Engine): void {
        this.tally.fatalEnds += 1;
        if (this.tally.fatalEnds === 3) {
            this.thirdEndAt = this.now;
        }
        this.end(engine);
    }

    private killAny(): void {
        const up = this.engines.filter(({ isUp }) => isUp);
        if (up.length > 0) {
            this.tally.otherEnds += 1;
            this.end(this.choose(up));
        }
    }

    private end(engine: Engine): void {
        engine.isUp = false;
        const { runs } = engine;
        engine.runs = [];
        const upstream = `${engine.name}#${engine.incarnation}`;
        this.schedule(1000 + this.random() * 4000, () => {
            engine.incarnation += 1;
            engine.isUp = true;
        });
        // Each VM notices the end by itself, some milliseconds later.
        for (const vm of new Set(runs.map(run => run.vm))) {
            const { incarnation } = vm;
            const broken = runs.filter(run => run.vm === vm);
            const endedAt = this.now;
            this.schedule(
                5 + this.random() * 10,
                () => vm.incarnation === incarnation && this.recordBreaks(vm, upstream, endedAt, broken),
            );
        }
    }

    private recordBreaks(vm: Vm, upstream: string, endedAt: number, runs: readonly Run[]): void {
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
    private retry(vm: Vm, request: Request): void {
        if (request.attempts < 2) {
            this.arrive(vm, request);
        }
        else if (request.callerTries < 1) {
            request.callerTries += 1;
            request.attempts = 0;
            this.schedule(200, () => this.arrive(this.choose(this.vms), request));
        }
    }

    private sendReport(vm: Vm, content: Omit<CrashReport, "name">, isRecorded = true): void {
        vm.reports += 1;
        const report = { name: `${vm.name}/${vm.incarnation}/${vm.reports}`, ...content };
        vm.quarantine.addReport(report);
        for (const other of this.vms) {
            const isLinked = vm.isHub || other.isHub || other.dataCentre === vm.dataCentre;
            if (other !== vm && isLinked) {
                this.forwardReport(other, report, 1 + this.random() * 30);
            }
        }
        if (isRecorded) {
            this.appendReport(report);
        }
    }

    private forwardReport(vm: Vm, report: CrashReport, delayMs: number): void {
        const { incarnation } = vm;
        this.schedule(delayMs, () => vm.incarnation === incarnation && vm.quarantine.applyReport(report, this.now));
    }

    /** Writes a report to the store as soon as the store is reachable; all VMs read the report within 0.7 s. */
    private appendReport(report: CrashReport): void {
        const [from, until] = this.options.storeOutage ?? [Infinity, Infinity];
        if (this.now >= from && this.now < until) {
            this.schedule(500, () => this.appendReport(report));
            return;
        }
        this.store.push(report);
        for (const vm of this.vms) {
            this.forwardReport(vm, report, 200 + this.random() * 500);
        }
    }

    private restartVms(): void {
        for (const engine of this.engines) {
            engine.runs = [];
        }
        for (const vm of this.vms) {
            vm.incarnation += 1;
            vm.quarantine = new Quarantine();
            for (const report of this.store) {
                this.forwardReport(vm, report, 100 + this.random() * 300);
            }
            this.permitIssuer.removeVm(vm.name);
        }
    }

    private choose<Item>(items: readonly Item[]): Item {
        return items[Math.floor(this.random() * items.length)]!;
    }

    private scheduleEvery(meanMs: number, run: () => void): void {
        this.schedule(-Math.log(1 - this.random()) * meanMs, () => {
            run();
            this.scheduleEvery(meanMs, run);
        });
    }

    private schedule(waitMs: number, run: () => void): void {
        const at = Math.ceil(this.now + waitMs);
        (this.events[at] ??= []).push(run);
    }
}
