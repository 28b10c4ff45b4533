import {
    chooseEngine,
    chooseServer,
    type EngineChoiceOptions,
    findAdapterKey,
    type FleetView,
    hasLongAnswer,
    type KeptParts,
    type ModelDemand,
    type PauseThreshold,
    prefillTokensPerMs,
    type UpstreamChoice,
    type UpstreamState,
} from "@radishreel/fleet";
import type { DecisionLog } from "../decisions.js";
import type { Admission, AdmissionDetails, AdmissionOutcome, Admissions } from "./admissions.js";
import type { Job, Preparation, ReadyUpstream, TriedUpstream } from "./job.js";
import { readLastSendAt } from "./patience.js";

/** A request that waits for an upstream to come looks again at least this often, in milliseconds. */
const lookAgainMs = 100;

/** A request that waits at one engine looks this often whether another one would serve it sooner, in milliseconds. */
const reviewMs = 300;

/**
 * How much sooner another engine must be expected for a request to move there, in milliseconds: it gives up its turn, and
 * the other one loads an adapter that the first may be loading already.
 */
const moveGainMs = 250;

/** Most moves of one request between engines: each may have begun a load for nothing. */
const maxMoves = 3;

/**
 * Most times that one request chooses anew since the engine that it chose has more to do than this VM knew. Each costs a
 * message and its answer, some 3 ms.
 */
const maxRedirects = 4;

/** Rest of a wait that has lasted longer than expected, in milliseconds: about one load. */
const overdueMs = 250;

/** How long an engine whose owner was lost is not asked again by the same request, in milliseconds: news arrive in it. */
const lostPauseMs = 60;

/** Cost of that engine meanwhile, in milliseconds: less than that of a load elsewhere. */
const lostCostMs = 200;

/** Shortest time between two questions of one request, in milliseconds: news of an owner that is gone arrive in it. */
const minAskMs = 5;

/** How long an owner's word that it cannot serve a request holds, in milliseconds. */
const declinedMs = 400;

/** How much longer a request may take with the newest version while an older one may still answer, in milliseconds. */
const newestDelayMs = 300;

/** How long a newer version is wanted on an engine that was chosen for it, in milliseconds: about as an older one may answer. */
const preparationMs = 2500;

/** Time that an engine takes for one token of an answer while it reads others' prompts as well, in milliseconds. */
const tokenMs = 10;

/**
 * How long news of engines are gathered before requests that wait look again, in milliseconds: each compares all upstreams, and
 * dozens of owners tell news some times a second each, most at the start of all VMs. A load takes 250 ms and more.
 */
const newsGatherMs = 20;

/** Options of {@link UpstreamChooser}. */
export interface UpstreamChooserOptions {
    readonly dataCentre: string;
    readonly view: FleetView;
    readonly admissions: Admissions;
    readonly kept: KeptParts;
    readonly longPrompts: PauseThreshold;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    /** Time that goes on while the VM is suspended, in milliseconds. @default readTime */
    readonly readBoot?: (() => number) | undefined;
    /** Asked again during each wait: another VM may have learned that a request ends upstreams. @default always */
    readonly mayRun?: ((job: Job) => boolean) | undefined;
    /** Whether messages reach a VM. */
    readonly isLinked: (vm: string) => boolean;
    readonly sendPreparation: (preparation: Preparation) => void;
    /** All upstreams of a service were compared for one request. */
    readonly onChoice: () => void;
    /** A request chooses anew, since its engine is busier than this VM knew. */
    readonly onRedirect: () => void;
}

/** Finds the upstream for a request and waits until it can be sent there. */
export class UpstreamChooser {
    private readonly waiters = new Set<() => void>();
    private readonly readBoot: () => number;
    private gathering: NodeJS.Timeout | undefined;

    constructor(private readonly options: UpstreamChooserOptions) {
        this.readBoot = options.readBoot ?? options.readTime;
    }

    /** Lets requests that wait for an upstream to come look again. */
    receiveChange(): void {
        const waiters = [...this.waiters];
        this.waiters.clear();
        for (const wake of waiters) {
            wake();
        }
    }

    /** The same, for news of engines, which come many at a time. */
    receiveNews(): void {
        if (this.waiters.size === 0) {
            return;
        }
        this.gathering ??= setTimeout(() => {
            this.gathering = undefined;
            this.receiveChange();
        }, newsGatherMs);
    }

    /** Waits until an upstream can be sent the request; undefined if none can be in its time, as far as is known now. */
    async chooseReady(job: Job): Promise<ReadyUpstream | undefined> {
        const { readTime } = this.options;
        const startedAt = readTime();
        for (let now = startedAt; !job.caller.hasLeft && now <= readLastSendAt(job); now = readTime()) {
            if (!this.mayRun(job)) {
                return undefined;
            }
            const choice = this.choose(job, now);
            if (choice === undefined && !this.mayWait(job, now)) {
                return undefined;
            }
            if (choice === undefined) {
                const restMs = (this.findRestEnd(job, now) ?? Infinity) - now;
                await this.waitForChange(Math.min(lookAgainMs, restMs, readLastSendAt(job) - now));
                continue;
            }
            if (hasDeclined(job, choice, now)) {
                return undefined;
            }
            const ready = await this.askOwner(job, choice, now);
            if (ready === undefined && readTime() - now < minAskMs) {
                // Owners that say no at once must not be asked in a loop that lets nothing else run.
                await this.waitForChange(minAskMs);
            }
            job.waitedMs += readTime() - now;
            if (ready !== undefined) {
                return ready;
            }
        }
        return undefined;
    }

    private mayRun(job: Job): boolean {
        return this.options.mayRun?.(job) ?? true;
    }

    /** Whether the owner of an engine can be asked. */
    private canAsk(state: UpstreamState): boolean {
        const { owner } = state;
        return owner !== undefined && this.options.isLinked(owner) && this.options.admissions.isResponsive(owner);
    }

    /**
     * Whether waiting may bring an upstream: engines are there, and their owners are expected back; or all upstreams rest,
     * and the first of them will be there soon enough. A plain service without any server is refused at once.
     */
    private mayWait(job: Job, now: number): boolean {
        const half = job.startedAt + (job.deadlineAt - job.startedAt) / 2;
        const hasEngine = job.service.engine !== undefined
            && this.options.view.listAwake(job.service.name, now).length > 0;
        const restEndAt = hasEngine ? undefined : this.findRestEnd(job, now);
        return hasEngine ? now < half : restEndAt !== undefined && restEndAt < Math.min(half, readLastSendAt(job));
    }

    /** When the first of the upstreams that could serve a request will have rested; undefined if none of them rests. */
    findRestEnd(job: Job, now: number): number | undefined {
        const { view } = this.options;
        const ends = view.listUsable(job.service.name)
            .filter(({ upstream }) => !isRuledOut(job.tried.get(upstream.id)))
            .map(({ upstream }) => view.rests.findEnd(upstream.id, now) ?? Infinity);
        const first = Math.min(...ends);
        return first === Infinity ? undefined : first;
    }

    /** @param without An engine that is left out. */
    private choose(job: Job, now: number, without?: string): UpstreamChoice | undefined {
        const { view, dataCentre, longPrompts, kept } = this.options;
        this.options.onChoice();
        const inForce = [...job.tried].filter(([, { until }]) => until > now);
        const penalties = new Map(inForce.map(([id, { costMs }]) => [id, costMs]));
        if (without !== undefined) {
            penalties.set(without, Infinity);
        }
        const base = { view, service: job.service, dataCentre, now, bootNow: this.readBoot(), penalties };
        const { model } = job.demand;
        if (job.service.engine === undefined || model === undefined) {
            return chooseServer(base);
        }
        const options: EngineChoiceOptions = {
            ...base,
            demand: model,
            longPromptTokens: longPrompts.tokens,
            findKeptTokens: engine => kept.countKeptTokens(engine, model, now),
            canAsk: state => this.canAsk(state),
        };
        const choice = chooseEngine(options);
        return choice === undefined ? undefined : this.chooseNewest(job, options, choice);
    }

    /**
     * The engine with the newest version, if an older one was chosen and it can be sent there without much delay; otherwise
     * has the newest loaded somewhere, so that it is there before the older one may no longer answer.
     */
    private chooseNewest(job: Job, options: EngineChoiceOptions, choice: UpstreamChoice): UpstreamChoice {
        const key = findAdapterKey(options.demand);
        const newest = key === undefined ? undefined : this.options.view.versions.findNewest(key);
        if (key === undefined || !choice.isReady || (choice.version ?? 0) >= (newest?.version ?? 0)) {
            return choice;
        }
        this.options.onChoice();
        const next = chooseEngine({ ...options, needsNewest: true });
        if (next?.isReady === true && next.rankMs < choice.rankMs + newestDelayMs) {
            return next;
        }
        if (next?.isReady === false) {
            const { runMs, onTimeMs } = this.createDetails(job, options.demand, options.now);
            const want = { key, version: newest!.version, runMs, onTimeMs, lifeMs: preparationMs };
            this.options.sendPreparation({ engine: next.state.upstream.id, want });
        }
        return choice;
    }

    /** Asks the owner of the chosen engine to let the request in, and waits for it; undefined to look again. */
    private async askOwner(job: Job, choice: UpstreamChoice, now: number): Promise<ReadyUpstream | undefined> {
        const { model } = job.demand;
        const { state } = choice;
        if (job.service.engine === undefined || model === undefined) {
            return { choice, admission: undefined };
        }
        const { admissions } = this.options;
        const engine = state.upstream.id;
        const details: AdmissionDetails = {
            ...this.createDetails(job, model, now),
            version: choice.isReady ? this.findOldestVersion(model) : this.findNewestVersion(model),
            prefillTokens: choice.prefillTokens,
            expectedQueueMs: job.redirects < maxRedirects ? choice.waitMs : undefined,
        };
        if (!this.canAsk(state)) {
            const run = admissions.addRun(engine, { ...details, version: choice.version });
            return { choice, admission: run };
        }
        this.recordAsked(job, choice, details);
        const admission = admissions.ask(state.owner!, engine, details);
        const outcome = await this.waitForOutcome(job, admission);
        // Waits last seconds: what the choice was made by is asked again, as the owner may know less than this VM.
        const { view } = this.options;
        const isUsable = view.isUsable(engine) && !view.rests.isResting(engine, this.options.readTime());
        const isNew = outcome?.kind === "admitted"
            && (outcome.version ?? Infinity) >= (this.findOldestVersion(model) ?? 0);
        if (isUsable && isNew) {
            return { choice: { ...choice, version: outcome.version }, admission };
        }
        admission.end();
        if (outcome !== undefined) {
            this.recordFailure(job, engine, outcome);
        }
        return undefined;
    }

    private recordAsked(job: Job, choice: UpstreamChoice, details: AdmissionDetails): void {
        if (!choice.isReady) {
            this.options.log.record("loadAsked", {
                request: job.demand.requestId,
                engine: choice.state.upstream.id,
                key: details.key,
                costMs: Math.round(choice.costMs),
                waitedMs: Math.round(job.waitedMs),
                patienceMs: Math.round(details.patienceMs),
            });
        }
    }

    /**
     * Waits for an owner's word; undefined if the caller left, its time is over, another engine will be sooner, the engine
     * leaves, or the request may not run any more.
     */
    private async waitForOutcome(job: Job, admission: Admission): Promise<AdmissionOutcome | undefined> {
        const { readTime } = this.options;
        for (;;) {
            const leftMs = readLastSendAt(job) - readTime();
            if (job.caller.hasLeft || leftMs <= 0 || !this.mayRun(job)) {
                return undefined;
            }
            const outcome = await this.waitAtMost(job, admission.outcome, Math.min(reviewMs, leftMs));
            if (outcome !== undefined) {
                return outcome;
            }
            if (!this.options.view.isUsable(admission.engine) || this.isRestLonger(admission)) {
                return undefined;
            }
            if (job.moves < maxMoves && this.isSoonerElsewhere(job, admission)) {
                job.moves += 1;
                return undefined;
            }
        }
    }

    /** Whether an engine will still rest when its owner is expected to let a request in. */
    private isRestLonger({ engine, expectedAt }: Admission): boolean {
        const restEndAt = this.options.view.rests.findEnd(engine, this.options.readTime());
        return restEndAt !== undefined && restEndAt > expectedAt;
    }

    /** Waits for a value until the time is over or the caller leaves: it is undefined then. */
    private async waitAtMost<Value>(job: Job, value: Promise<Value>, ms: number): Promise<Value | undefined> {
        let timer: NodeJS.Timeout | undefined;
        const timeout = new Promise<undefined>(resolve => {
            timer = setTimeout(() => resolve(undefined), Math.max(1, ms));
        });
        const result = await Promise.race([value, timeout, job.caller.left]);
        clearTimeout(timer);
        return result;
    }

    /** Whether another engine is expected to serve a request clearly sooner than the one at which it waits. */
    private isSoonerElsewhere(job: Job, admission: Admission): boolean {
        const now = this.options.readTime();
        const other = this.choose(job, now, admission.engine);
        const restMs = admission.expectedAt > now ? admission.expectedAt - now : overdueMs;
        return other !== undefined && !hasDeclined(job, other, now) && other.costMs + moveGainMs < restMs;
    }

    private recordFailure(job: Job, engine: string, outcome: AdmissionOutcome): void {
        const now = this.options.readTime();
        if (outcome.kind === "busier") {
            job.redirects += 1;
            this.options.onRedirect();
            const key = findAdapterKey(job.demand.model);
            const { load, version, isComing } = outcome;
            this.options.view.updateLoad(engine, load, key === undefined ? undefined : { key, version, isComing }, now);
            this.options.log.record("engineBusier", { request: job.demand.requestId, engine, ...outcome.load });
            return;
        }
        if (outcome.kind === "declined") {
            job.tried.set(engine, { costMs: outcome.expectedMs, until: now + declinedMs, hasDeclined: true });
            job.expectedAt = Math.min(job.expectedAt ?? Infinity, now + outcome.expectedMs);
            return;
        }
        job.tried.set(engine, { costMs: lostCostMs, until: now + lostPauseMs, hasDeclined: false });
    }

    /** Oldest version of its adapter that may answer a request now; undefined for any. */
    private findOldestVersion(model: ModelDemand): number | undefined {
        const key = findAdapterKey(model);
        return key === undefined ? undefined : this.options.view.versions.findOldest(key, this.readBoot());
    }

    /** The version that a load brings; undefined if none was named. */
    private findNewestVersion(model: ModelDemand): number | undefined {
        const key = findAdapterKey(model);
        return key === undefined ? undefined : this.options.view.versions.findNewest(key)?.version;
    }

    private createDetails(job: Job, model: ModelDemand, now: number): AdmissionDetails {
        const readMs = model.promptTokens / prefillTokensPerMs;
        return {
            model: model.model,
            key: findAdapterKey(model),
            prefillTokens: model.promptTokens,
            kvTokens: model.promptTokens + model.outputTokens,
            hasLongAnswer: hasLongAnswer(model),
            runMs: readMs + model.outputTokens * tokenMs,
            onTimeMs: job.startedAt + job.route.aimMs - now - readMs,
            patienceMs: Math.max(0, readLastSendAt(job) - now),
            endMs: Math.max(0, job.deadlineAt - now),
        };
    }

    /** Waits until something has changed that a request may wait for, or the time is over. */
    async waitForChange(ms: number): Promise<void> {
        await new Promise<void>(resolve => {
            const wake = (): void => {
                clearTimeout(timer);
                this.waiters.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, Math.max(1, ms));
            this.waiters.add(wake);
        });
    }
}

/** Whether a request goes to an upstream no more, whatever comes. */
function isRuledOut(tried: TriedUpstream | undefined): boolean {
    return tried !== undefined && tried.costMs === Infinity && tried.until === Infinity;
}

/** Whether the best engine for a request has just said that it cannot serve it: then no other one can. */
function hasDeclined(job: Job, choice: UpstreamChoice, now: number): boolean {
    const tried = job.tried.get(choice.state.upstream.id);
    return tried !== undefined && tried.hasDeclined && tried.until > now;
}
