import { type CrashReport, PermitReferee, Quarantine } from "../src/index.js";
import { createRandom } from "./play.js";

/** What a world is made of. */
export interface CrashWorldOptions {
    readonly seed: number;
    readonly vms: number;
    readonly engines: number;
    /** Time that is played, in milliseconds. */
    readonly lengthMs: number;
    /** Mean time between two ends of engines for other reasons, in milliseconds. @default never */
    readonly otherEndsMs?: number;
    /** Mean time between two arrivals of the fatal request, which comes in bursts of up to three. @default never */
    readonly fatalMs?: number;
    /** When the store is away, in milliseconds. @default never */
    readonly storeAway?: readonly [number, number];
    /** When all VMs are killed and start again. @default never */
    readonly restartAt?: number;
}

/** What became of requests. */
export interface CrashTally {
    /** Requests that end nothing, and how many of them were refused as if they did. */
    harmless: number;
    wronglyRefused: number;
    /** Arrivals of the fatal request that were refused. */
    rightlyRefused: number;
    /** Engines that ended under the fatal request, and for other reasons. */
    fatalEnds: number;
    otherEnds: number;
    /** Sends of the fatal request later than the users allow after the third engine had ended under it. */
    lateSends: number;
}

/** Within this time all VMs know of the third end, as the users ask, in milliseconds. */
const allowedMs = 3000;

/** VMs up to which each is linked to each. */
const meshVms = 12;

/** Requests a second for each engine. */
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
    readonly beginsAt: number;
    readonly endsAt: number;
}

interface Engine {
    readonly name: string;
    life: number;
    isUp: boolean;
    runs: Run[];
}

interface Vm {
    readonly name: string;
    readonly isHub: boolean;
    readonly dataCentre: number;
    life: number;
    reports: number;
    quarantine: Quarantine;
}

/**
 * VMs that share what they know of ended engines over slow links and a store, in simulated time. Of the program's own code
 * only decisions run here; what carries reports is this world's.
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
    /** What happens in each millisecond. */
    private readonly events: (() => void)[][] = [];
    private readonly random: () => number;
    private readonly vms: Vm[];
    private readonly engines: Engine[];
    private readonly store: CrashReport[] = [];
    private readonly referee = new PermitReferee();
    private requests = 0;
    private thirdEndAt = Infinity;

    constructor(private readonly options: CrashWorldOptions) {
        this.random = createRandom(options.seed);
        this.vms = Array.from({ length: options.vms }, (_, index) => ({
            name: `v${index}`,
            isHub: options.vms <= meshVms || index % 5 === 0,
            dataCentre: index % 4,
            life: 1,
            reports: 0,
            quarantine: new Quarantine(),
        }));
        this.engines = Array.from({ length: options.engines }, (_, index) => ({
            name: `e${index}`,
            life: 1,
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
            this.scheduleEvery(otherEndsMs, () => this.endAny());
        }
        if (restartAt !== undefined) {
            this.schedule(restartAt, () => this.restartVms());
        }
        for (this.now = 0; this.now <= lengthMs; this.now++) {
            // What is due now may bring more that is due now.
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
        if (isHeld && !this.referee.claim(request.digest, vm.name, request.ticket, this.now)) {
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
        const isInTouch = this.now > (this.options.restartAt ?? -Infinity) + allowedMs
            || this.now < (this.options.restartAt ?? Infinity);
        if (request.isFatal && isInTouch && this.now > this.thirdEndAt + allowedMs) {
            this.tally.lateSends += 1;
        }
        const beginsAt = this.now + 40 + this.random() * 300;
        const run = { request, vm, sentAt: this.now, beginsAt, endsAt: beginsAt + 20 + this.random() * 1500 };
        engine.runs.push(run);
        const { life } = engine;
        this.schedule((request.isFatal ? beginsAt : run.endsAt) - this.now, () => {
            if (engine.life !== life || !engine.isUp || !engine.runs.includes(run)) {
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
        this.referee.release(request.digest, vm.name, request.ticket);
    }

    private recordFatalEnd(engine: Engine): void {
        this.tally.fatalEnds += 1;
        if (this.tally.fatalEnds === 3) {
            this.thirdEndAt = this.now;
        }
        this.end(engine);
    }

    private endAny(): void {
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
        const upstream = `${engine.name}#${engine.life}`;
        this.schedule(1000 + this.random() * 4000, () => {
            engine.life += 1;
            engine.isUp = true;
        });
        // Each VM finds out by itself, some milliseconds later.
        for (const vm of new Set(runs.map(run => run.vm))) {
            const { life } = vm;
            const broken = runs.filter(run => run.vm === vm);
            const endedAt = this.now;
            this.schedule(
                5 + this.random() * 10,
                () => vm.life === life && this.recordBreaks(vm, upstream, endedAt, broken),
            );
        }
    }

    private recordBreaks(vm: Vm, upstream: string, endedAt: number, runs: readonly Run[]): void {
        const suspects = runs.filter(run => endedAt - run.beginsAt < 200).map(({ request }) => request.digest);
        const crash = { upstream, at: this.now, requests: suspects };
        vm.quarantine.applyCrash(crash, this.now);
        this.sendReport(vm, { crashes: [crash], clearances: [] });
        for (const { request } of runs) {
            this.referee.release(request.digest, vm.name, request.ticket);
            this.retry(vm, request);
        }
    }

    /** Twice by the VM, then once more by the caller, at any VM. */
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

    private sendReport(vm: Vm, content: Omit<CrashReport, "name">, isKept = true): void {
        vm.reports += 1;
        const report = { name: `${vm.name}/${vm.life}/${vm.reports}`, ...content };
        vm.quarantine.addReport(report);
        for (const other of this.vms) {
            const isLinked = vm.isHub || other.isHub || other.dataCentre === vm.dataCentre;
            if (other !== vm && isLinked) {
                this.passReport(other, report, 1 + this.random() * 30);
            }
        }
        if (isKept) {
            this.appendReport(report);
        }
    }

    private passReport(vm: Vm, report: CrashReport, delayMs: number): void {
        const { life } = vm;
        this.schedule(delayMs, () => vm.life === life && vm.quarantine.applyReport(report, this.now));
    }

    /** Writes a report to the store as soon as that is there; all VMs read it within 0.7 s. */
    private appendReport(report: CrashReport): void {
        const [from, until] = this.options.storeAway ?? [Infinity, Infinity];
        if (this.now >= from && this.now < until) {
            this.schedule(500, () => this.appendReport(report));
            return;
        }
        this.store.push(report);
        for (const vm of this.vms) {
            this.passReport(vm, report, 200 + this.random() * 500);
        }
    }

    private restartVms(): void {
        for (const engine of this.engines) {
            engine.runs = [];
        }
        for (const vm of this.vms) {
            vm.life += 1;
            vm.quarantine = new Quarantine();
            for (const report of this.store) {
                this.passReport(vm, report, 100 + this.random() * 300);
            }
            this.referee.removeVm(vm.name);
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
