import { type CrashReport, PermitIssuer } from "../src/index.js";
import {
    CrashSimulation,
    type CrashSimulationOptions,
    type Engine,
    meshVms,
    type SimulatedVm,
} from "./crashsimulation.js";

/** Options of a {@link PartWorld}. */
export interface PartWorldOptions extends CrashSimulationOptions {
    /** Number of fatal parts. @default 1 */
    readonly fatalParts?: number;
    /** Mean time between two requests with a fatal part, in milliseconds. @default 200 */
    readonly fatalMs?: number;
    /** When the first request with a fatal part comes, in milliseconds. @default 2000 */
    readonly fatalFrom?: number;
    /** Sound requests per second and engine. @default 6 */
    readonly requestsPerEngine?: number;
    /** Whether each fatal request also lists parts of sound requests that are seldom used. @default false */
    readonly listsOthers?: boolean;
}

/** Outcomes of the requests, as counts. */
export interface PartTally {
    sound: number;
    /** Sound requests that were refused for their parts, and those of them after the bound of {@link settledMs}. */
    wronglyRefused: number;
    wronglyRefusedLate: number;
    /** Sound requests that began to be answered at their first attempt, after that bound. */
    begunLate: number;
    soundLate: number;
    fatalSends: number;
    /** Sends of each fatal part more than {@link allowedMs} after the fifth engine ended under it, the most of any. */
    lateSends: number;
    fatalEnds: number;
    otherEnds: number;
    /** Parts that are condemned by mistake at the end, on the VM that has most of them. */
    wronglyCondemned: number;
    /** Reports that were sent to another VM, and that were written to the store. */
    messages: number;
    records: number;
}

/** Time after the fifth end under a part within which it must not be sent any more, in milliseconds. */
const allowedMs = 3000;

/** Time after the last fifth end from which sound requests must be served as before, in milliseconds. */
const settledMs = 6000;

/** Time for which an answer must go on to show that its prompt is not fatal, in milliseconds. */
const stableRunMs = 200;

/** How long VMs collect clearances before they send them, in milliseconds. */
const clearanceBatchMs = 250;

/** Prompts of sound requests begin with the part of one of these routes. */
const routes = ["5c1e", "77aa"];

interface Request {
    readonly parts: readonly string[];
    /** The fatal part; undefined for a sound request. */
    readonly fatal: string | undefined;
    /** Parts on trial for which the request holds a permit. */
    permit: string | undefined;
    readonly ticket: number;
    attempts: number;
    callerTries: number;
    hasBegun: boolean;
    readonly isLate: boolean;
}

interface Run {
    readonly request: Request;
    readonly vm: Vm;
    readonly startsAt: number;
    readonly endsAt: number;
}

interface Vm extends SimulatedVm {
    pending: Map<string, number>;
    isPendingStored: boolean;
}

/** Simulates VMs whose engines end under parts of prompts. */
export class PartWorld extends CrashSimulation<Vm, Run> {
    readonly tally: PartTally = {
        sound: 0,
        wronglyRefused: 0,
        wronglyRefusedLate: 0,
        begunLate: 0,
        soundLate: 0,
        fatalSends: 0,
        lateSends: 0,
        fatalEnds: 0,
        otherEnds: 0,
        wronglyCondemned: 0,
        messages: 0,
        records: 0,
    };
    private readonly sessions: string[] = [];
    private readonly endsByPart = new Map<
        string,
        { ends: number; fifthAt: number; lastAt: number; lateSends: number; }
    >();
    private readonly permitIssuer = new PermitIssuer();
    private requests = 0;
    private nextPart = 0x1000;

    constructor(private readonly options: PartWorldOptions) {
        super(options, [800, 3000]);
    }

    run(): PartTally {
        const { fatalMs = 200, fatalFrom = 2000, vms, engines, requestsPerEngine = 6, fatalParts = 1 } = this.options;
        const arrivalMs = 1000 * vms / (engines * requestsPerEngine);
        for (const vm of this.vms) {
            this.scheduleEvery(arrivalMs, () => this.arrive(vm, this.createSound()));
        }
        if (fatalParts > 0) {
            this.schedule(
                fatalFrom,
                () => this.scheduleEvery(fatalMs, () => this.arrive(this.choose(this.vms), this.createFatal())),
            );
        }
        this.runEvents();
        this.tally.lateSends = Math.max(0, ...[...this.endsByPart.values()].map(({ lateSends }) => lateSends));
        this.tally.wronglyCondemned = Math.max(...this.vms.map(vm => this.countWronglyCondemned(vm)));
        this.tally.messages = this.messages;
        this.tally.records = this.records;
        return this.tally;
    }

    protected override createVm(vm: SimulatedVm): Vm {
        return { ...vm, pending: new Map<string, number>(), isPendingStored: false };
    }

    protected override receiveRestart(vm: Vm): void {
        vm.pending = new Map();
    }

    protected override receiveReport(vm: Vm, report: CrashReport): void {
        if (vm.quarantine.applyReport(report, this.now)) {
            report.partClearances?.forEach(({ part }) => vm.pending.delete(part));
        }
    }

    private createSound(): Request {
        this.tally.sound += 1;
        // Three of ten requests begin a session.
        if (this.sessions.length < 50 || this.random() < 0.3) {
            this.sessions.push(this.createPart());
        }
        const session = this.sessions[this.sessions.length - 1 - Math.floor(this.random() * 50)]!;
        const isLate = this.now > this.readLastFifthEnd() + settledMs;
        this.tally.soundLate += isLate ? 1 : 0;
        return this.createRequest([this.choose(routes), session], undefined, isLate);
    }

    private createFatal(): Request {
        const { fatalParts = 1, listsOthers = false } = this.options;
        const fatal = `f${Math.floor(this.random() * fatalParts)}`;
        const others = listsOthers ? [this.choose(this.sessions), "unused"] : [];
        return this.createRequest([routes[0]!, fatal, ...others], fatal, false);
    }

    private createRequest(parts: readonly string[], fatal: string | undefined, isLate: boolean): Request {
        this.requests += 1;
        return {
            parts,
            fatal,
            permit: undefined,
            ticket: this.requests,
            attempts: 0,
            callerTries: 0,
            hasBegun: false,
            isLate,
        };
    }

    private createPart(): string {
        this.nextPart += 1;
        return this.nextPart.toString(16);
    }

    private arrive(vm: Vm, request: Request): void {
        if (vm.quarantine.parts.findCondemned(request.parts, this.now) !== undefined) {
            this.tally.wronglyRefused += request.fatal === undefined ? 1 : 0;
            this.tally.wronglyRefusedLate += request.fatal === undefined && request.isLate ? 1 : 0;
            return;
        }
        const trial = vm.quarantine.parts.findOnTrial(request.parts, this.now);
        if (trial !== undefined) {
            if (!this.permitIssuer.claim(trial.parts.join(), vm.name, request.ticket, this.now)) {
                this.schedule(50, () => this.arrive(vm, request));
                return;
            }
            request.permit = trial.parts.join();
        }
        const up = this.listUp();
        if (up.length === 0) {
            this.schedule(100, () => this.arrive(vm, request));
            return;
        }
        this.send(vm, request, this.choose(up));
    }

    private send(vm: Vm, request: Request, engine: Engine<Run>): void {
        request.attempts += 1;
        this.recordSend(request);
        const startsAt = this.now + 40 + this.random() * 300;
        const run = { request, vm, startsAt, endsAt: startsAt + 20 + this.random() * 1500 };
        engine.runs.push(run);
        const { incarnation } = engine;
        const isRunning = (): boolean => engine.incarnation === incarnation && engine.isUp && engine.runs.includes(run);
        this.schedule(startsAt - this.now, () => isRunning() && this.begin(engine, run, isRunning));
    }

    private begin(engine: Engine<Run>, run: Run, isRunning: () => boolean): void {
        const { request, vm } = run;
        if (request.fatal !== undefined) {
            this.schedule(30 + this.random() * 90, () => isRunning() && this.recordFatalEnd(engine, request.fatal!));
            return;
        }
        if (!request.hasBegun && request.attempts === 1 && request.callerTries === 0) {
            this.tally.begunLate += request.isLate ? 1 : 0;
        }
        request.hasBegun = true;
        if (run.endsAt - run.startsAt >= stableRunMs) {
            this.schedule(stableRunMs, () => isRunning() && this.recordAnswer(vm, request));
        }
        this.schedule(run.endsAt - run.startsAt, () => {
            if (isRunning()) {
                engine.runs.splice(engine.runs.indexOf(run), 1);
                this.recordAnswer(vm, request);
                this.releasePermit(vm, request);
            }
        });
    }

    private recordSend({ fatal }: Request): void {
        if (fatal === undefined) {
            return;
        }
        this.tally.fatalSends += 1;
        const { restartAt, storeOutage, vms } = this.options;
        // Without links between all VMs, reports reach some of them only through the store.
        const isStoreAway = vms > meshVms && storeOutage !== undefined && this.now > storeOutage[0]
            && this.now < storeOutage[1] + allowedMs;
        const isRestarted = restartAt !== undefined && this.now > restartAt && this.now < restartAt + allowedMs;
        const part = this.endsByPart.get(fatal);
        if (part !== undefined && !isStoreAway && !isRestarted && this.now > part.fifthAt + allowedMs) {
            part.lateSends += 1;
        }
    }

    private recordAnswer(vm: Vm, { parts }: Request): void {
        const { parts: quarantine } = vm.quarantine;
        const ends = Math.max(...parts.map(part => quarantine.countEnds(part)));
        for (const part of quarantine.recordAnswer(parts, this.now)) {
            vm.isPendingStored ||= ends >= 2;
            if (vm.pending.size === 0) {
                const { incarnation } = vm;
                this.schedule(clearanceBatchMs, () => vm.incarnation === incarnation && this.sendClearances(vm));
            }
            vm.pending.set(part, this.now);
        }
    }

    private sendClearances(vm: Vm): void {
        const partClearances = [...vm.pending].map(([part, at]) => ({ part, at }));
        vm.pending.clear();
        if (partClearances.length > 0) {
            this.sendReport(vm, { crashes: [], clearances: [], partClearances }, vm.isPendingStored);
        }
        vm.isPendingStored = false;
    }

    private recordFatalEnd(engine: Engine<Run>, fatal: string): void {
        this.tally.fatalEnds += 1;
        const part = this.endsByPart.get(fatal) ?? { ends: 0, fifthAt: Infinity, lastAt: 0, lateSends: 0 };
        this.endsByPart.set(fatal, part);
        part.ends += 1;
        part.lastAt = this.now;
        if (part.ends === 5) {
            part.fifthAt = this.now;
        }
        this.end(engine);
    }

    protected override recordBreaks(vm: Vm, upstream: string, endedAt: number, runs: readonly Run[]): void {
        const { parts } = vm.quarantine;
        const prompts = runs.filter(run => endedAt - run.startsAt < stableRunMs)
            .map(({ request }) => parts.listSuspects(request.parts, this.now))
            .filter(({ length }) => length > 0);
        const crash = { upstream, at: this.now, requests: [], prompts: prompts.length === 0 ? undefined : prompts };
        vm.quarantine.applyCrash(crash, this.now);
        this.sendReport(vm, { crashes: [crash], clearances: [] });
        for (const { request } of runs) {
            this.releasePermit(vm, request);
            this.retry(vm, request);
        }
    }

    private releasePermit(vm: Vm, request: Request): void {
        if (request.permit !== undefined) {
            this.permitIssuer.release(request.permit, vm.name, request.ticket);
            request.permit = undefined;
        }
    }

    /** The VM sends a request twice unless it is suspect; then the caller repeats it once, at any VM. */
    private retry(vm: Vm, request: Request): void {
        const { parts } = vm.quarantine;
        const isSuspect = request.parts.some(part =>
            parts.readSoundAt(part) === -Infinity && parts.countEnds(part) >= 2
        );
        if (request.attempts < 2 && !isSuspect) {
            this.arrive(vm, request);
        }
        else if (request.callerTries < 1) {
            request.callerTries += 1;
            request.attempts = 0;
            this.schedule(200, () => this.arrive(this.choose(this.vms), request));
        }
    }

    private countWronglyCondemned({ quarantine }: Vm): number {
        return quarantine.parts.listCondemned(this.now).filter(({ parts }) => !parts.some(part => part.startsWith("f")))
            .length;
    }

    /** When a fifth engine ended under the last of the parts, or the last engine if fewer have; Infinity before the first. */
    private readLastFifthEnd(): number {
        const { fatalParts = 1, fatalFrom = 2000 } = this.options;
        return this.endsByPart.size < fatalParts
            ? Infinity
            : Math.max(
                fatalFrom,
                ...[...this.endsByPart.values()].map(({ fifthAt, lastAt }) => Math.min(fifthAt, lastAt)),
            );
    }
}
