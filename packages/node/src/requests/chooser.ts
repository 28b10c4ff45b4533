import {
    chooseEngine,
    chooseServer,
    type EngineChoiceOptions,
    findAdapterKey,
    type FleetView,
    type ModelDemand,
    type PauseThreshold,
    type PrefixCache,
    type Upstream,
    type UpstreamChoice,
    type UpstreamLimit,
    type UpstreamState,
} from "@radishreel/fleet";
import type { DecisionLog } from "../decisions.js";
import type { VersionClaims } from "../streams/index.js";
import type { Admission, AdmissionDetails, AdmissionOutcome, Admissions } from "./admissions.js";
import { createDetails, readJobPriority } from "./details.js";
import { isExcluded, type Job, type Preparation, type ReadyUpstream } from "./job.js";
import type { LimitClaim, LimitGrant, UpstreamLimiter } from "./limiter.js";
import { finishReady, mayServeLater, recordDeclined } from "./returns.js";
import { readLastSendAt } from "./timelimit.js";

/** Interval at which a request without any available upstream chooses again, in milliseconds. */
const recheckIntervalMs = 100;

/** Interval at which a request that waits at one engine checks whether another engine is sooner, in milliseconds. */
const reviewIntervalMs = 300;

/**
 * How much sooner another engine must be expected for a request to move there, in milliseconds. A move loses the
 * request's turn, and the other engine loads an adapter that the first engine may already be loading.
 */
const minMoveGainMs = 250;

/** Maximum moves of one request between engines. Each move may have started a load that nothing uses. */
const maxMoves = 3;

/**
 * How often one request may choose again because its chosen engine was busier than this VM knew. Each time costs a
 * message and its reply, about 3 ms.
 */
const maxRedirects = 4;

/** Assumed remainder of a wait that has lasted longer than expected, in milliseconds: about one load. */
const overdueWaitMs = 250;

/** How long a request penalises an engine whose owner was lost, in milliseconds. A new owner is known by then. */
const lostOwnerPauseMs = 60;

/** Penalty of an engine whose owner was lost, in milliseconds: less than the cost of a load elsewhere. */
const lostOwnerPenaltyMs = 200;

/**
 * Minimum time between two admission requests of one job, in milliseconds. The loss of an owner is reported meanwhile.
 */
const minAskIntervalMs = 5;

/** Maximum extra delay for using the newest version while an older version may still be used, in milliseconds. */
const maxNewestDelayMs = 300;

/** Lifetime of a load request for a newer version, in milliseconds: about as long as an older version may be used. */
const preparationLifetimeMs = 2500;

/**
 * How long engine status messages are batched before waiting requests choose again, in milliseconds. Each choice
 * compares all upstreams, and dozens of owners send several messages per second each, most when all VMs start. A load
 * takes at least 250 ms.
 */
const statusBatchMs = 20;

/**
 * Cost of beginning a stream at the only upstream of a software version while another version has several, in
 * milliseconds: about an adapter load elsewhere.
 */
const singleUpstreamCostMs = 300;

/** Options of {@link UpstreamChooser}. */
export interface UpstreamChooserOptions {
    readonly dataCentre: string;
    readonly view: FleetView;
    readonly admissions: Admissions;
    readonly limiter: UpstreamLimiter;
    readonly prefixCache: PrefixCache;
    readonly longPromptThreshold: PauseThreshold;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    /** Clock that keeps running while the VM is suspended, in milliseconds. @default readTime */
    readonly readBoot?: (() => number) | undefined;
    /** Whether a request may run; rechecked during waits, since another VM may report it as suspect. @default always */
    readonly mayRun?: ((job: Job) => boolean) | undefined;
    /** The software versions at which streams may begin. @default all */
    readonly versions?: Pick<VersionClaims, "mayBegin" | "hasSeveral"> | undefined;
    /** Whether there is a link to a VM. */
    readonly isLinked: (vm: string) => boolean;
    readonly sendPreparation: (preparation: Preparation) => void;
    /** Called when all upstreams of a service are compared for one request. */
    readonly onChoice: () => void;
    /** Called when a request chooses again because its engine is busier than this VM knew. */
    readonly onRedirect: () => void;
}

/** A limited upstream, and the expected wait for a part of its limit. */
export interface SoonestLimit {
    readonly upstream: string;
    readonly limit: UpstreamLimit;
    readonly waitMs: number;
}

/** Chooses the upstream for a request and waits until the request can be sent there. */
export class UpstreamChooser {
    private readonly waiters = new Set<() => void>();
    private readonly readBoot: () => number;
    private batchTimer: NodeJS.Timeout | undefined;

    constructor(private readonly options: UpstreamChooserOptions) {
        this.readBoot = options.readBoot ?? options.readTime;
    }

    /** Makes waiting requests choose again immediately. */
    receiveChange(): void {
        const waiters = [...this.waiters];
        this.waiters.clear();
        for (const wake of waiters) {
            wake();
        }
    }

    /** Makes waiting requests choose again soon. Engine status messages are batched, since many arrive at a time. */
    receiveEngineStatus(): void {
        if (this.waiters.size === 0) {
            return;
        }
        this.batchTimer ??= setTimeout(() => {
            this.batchTimer = undefined;
            this.receiveChange();
        }, statusBatchMs);
    }

    /** Waits until the request can be sent to an upstream; undefined if no upstream is expected in time. */
    async chooseReady(job: Job): Promise<ReadyUpstream | undefined> {
        const { readTime } = this.options;
        for (let now = readTime(); !job.claimant.hasLeft && now <= readLastSendAt(job); now = readTime()) {
            if (!this.mayRun(job)) {
                return undefined;
            }
            const best = this.choose(job, now);
            const choice = best !== undefined && this.isLimitedForTooLong(job, best.state, now) ? undefined : best;
            if (choice === undefined && !this.mayWait(job, now)) {
                return undefined;
            }
            if (choice === undefined) {
                const backoffMs = (this.findBackoffEnd(job, now) ?? Infinity) - now;
                await this.waitForChange(Math.min(recheckIntervalMs, backoffMs, readLastSendAt(job) - now));
                continue;
            }
            if (hasDeclined(job, choice, now)) {
                return undefined;
            }
            if (this.options.view.limits.isUndecided(choice.state.upstream.id, now)) {
                if (now >= readHalfTime(job)) {
                    return undefined;
                }
                await this.waitForChange(recheckIntervalMs);
                continue;
            }
            const admitted = await this.askOwner(job, choice, now);
            const ready = admitted === undefined ? undefined : await this.claimLimit(job, admitted);
            if (ready === undefined && readTime() - now < minAskIntervalMs) {
                // A loop over owners that reject immediately must not block the event loop.
                await this.waitForChange(minAskIntervalMs);
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

    /** Whether the owner of an engine is known, linked and believed to reply. */
    private canAskOwner(state: UpstreamState): boolean {
        const { owner } = state;
        return owner !== undefined && this.options.isLinked(owner) && this.options.admissions.isResponsive(owner);
    }

    /** Whether an upstream's limit leaves no part for a request within its time, by the coordinator's last reply. */
    private isLimitedForTooLong(job: Job, { upstream }: UpstreamState, now: number): boolean {
        return this.options.view.limits.readWaitMs(upstream.id, now) > readLastSendAt(job) - now;
    }

    /** Waits for a part of the upstream's limit, if it names one; undefined if the request must choose again. */
    private async claimLimit(job: Job, ready: ReadyUpstream): Promise<ReadyUpstream | undefined> {
        const { view, limiter, readTime } = this.options;
        const { id } = ready.choice.state.upstream;
        const limit = view.limits.find(id);
        if (limit === undefined) {
            return ready;
        }
        const startedAt = readTime();
        const waitMs = view.limits.readWaitMs(id, startedAt);
        const patienceMs = this.readLimitPatienceMs(job, ready.choice, startedAt);
        const priority = readJobPriority(job);
        const claim = limiter.claim(id, limit.perSecond, { priority, patienceMs });
        const grant = await this.waitForGrant(job, id, claim);
        const isUnlimited = view.limits.find(id) === undefined;
        if ((grant === undefined && !isUnlimited) || !view.isAvailable(id, readTime()) || !this.mayRun(job)) {
            claim.cancel();
            ready.admission?.finish();
            return undefined;
        }
        return { ...ready, choice: { ...ready.choice, costMs: ready.choice.costMs - waitMs }, grant };
    }

    /** How long a request may wait for a part of an upstream's limit, in milliseconds: until another one is sooner. */
    private readLimitPatienceMs(job: Job, choice: UpstreamChoice, now: number): number {
        const { id } = choice.state.upstream;
        const other = this.choose(job, now, id);
        const costMs = choice.costMs - this.options.view.limits.readWaitMs(id, now);
        const leftMs = readLastSendAt(job) - now;
        return Math.max(0, Math.min(leftMs, other === undefined ? leftMs : other.costMs - costMs));
    }

    /** Waits for a grant; undefined if there is none, or if a change requires the request to choose again. */
    private async waitForGrant(job: Job, id: string, claim: LimitClaim): Promise<LimitGrant | undefined> {
        const { view, readTime } = this.options;
        let outcome: { readonly grant: LimitGrant | undefined; } | undefined;
        const settled = claim.grant.then(grant => outcome = { grant });
        while (outcome === undefined) {
            const leftMs = readLastSendAt(job) - readTime();
            const isChanged = view.limits.find(id) === undefined || !view.isAvailable(id, readTime());
            if (job.claimant.hasLeft || leftMs <= 0 || isChanged || !this.mayRun(job)) {
                claim.cancel();
                return undefined;
            }
            await Promise.race([settled, this.waitForChange(Math.min(reviewIntervalMs, leftMs)), job.claimant.left]);
        }
        return outcome.grant;
    }

    /**
     * Finds the limit of which a request would be granted a part first, if all upstreams that could serve it are
     * limited; undefined if one is not, or if none is available.
     */
    findSoonestLimit(job: Job, now: number): SoonestLimit | undefined {
        const { limits } = this.options.view;
        const found = this.listAvailable(job, now).map(({ upstream }) => upstream.id)
            .filter(id => !isExcluded(job.tried.get(id)))
            .map(id => ({ upstream: id, limit: limits.find(id), waitMs: limits.readWaitMs(id, now) }));
        if (found.some(({ limit }) => limit === undefined)) {
            return undefined;
        }
        const [first] = found.sort((left, right) => left.waitMs - right.waitMs);
        return first?.limit === undefined ? undefined : { ...first, limit: first.limit };
    }

    /**
     * Whether an upstream may become available in time: there are engines whose owners are expected back, or all
     * upstreams are backing off and the first backoff ends soon enough. A plain service without any server is refused
     * immediately.
     */
    private mayWait(job: Job, now: number): boolean {
        const halfTimeAt = readHalfTime(job);
        const hasEngine = job.service.engine !== undefined
            && this.listAvailable(job, now).some(state =>
                !this.isLimitedForTooLong(job, state, now) && mayServeLater(job, state, this.options.admissions, now)
            );
        const backoffEndAt = hasEngine ? undefined : this.findBackoffEnd(job, now);
        return hasEngine
            ? now < halfTimeAt
            : backoffEndAt !== undefined && backoffEndAt < Math.min(halfTimeAt, readLastSendAt(job));
    }

    /** Finds the first end of a backoff among the upstreams that could serve a request; undefined if none backs off. */
    findBackoffEnd(job: Job, now: number): number | undefined {
        const { view } = this.options;
        const ends = view.listUsable(job.service.name)
            .filter(({ upstream }) => canContinue(job, upstream) && !isExcluded(job.tried.get(upstream.id)))
            .map(({ upstream }) => view.backoffs.findEnd(upstream.id, now) ?? Infinity);
        const first = Math.min(...ends);
        return first === Infinity ? undefined : first;
    }

    /** Lists the upstreams that could serve a request now. */
    listAvailable(job: Job, now: number): UpstreamState[] {
        return this.options.view.listAvailable(job.service.name, now)
            .filter(({ upstream }) => canContinue(job, upstream));
    }

    /** Whether the request continues a stream and no upstream is left that could. */
    hasEndedStream(job: Job): boolean {
        return job.origin !== undefined
            && !this.options.view.listUsable(job.service.name).some(({ upstream }) => canContinue(job, upstream));
    }

    /** Whether the software version of an upstream allows a request to run there. */
    isEligible(job: Job, upstream: Upstream): boolean {
        const { versions } = this.options;
        const mayBegin = job.route.kind !== "stream" || job.origin !== undefined
            || versions === undefined || versions.mayBegin(upstream.service, upstream.softwareVersion);
        return mayBegin && canContinue(job, upstream);
    }

    private mayChoose({ claimant }: Job, { id }: Upstream): boolean {
        const state = claimant.mayChoose === undefined ? undefined : this.options.view.findUpstream(id);
        return state === undefined || claimant.mayChoose?.(state) !== false;
    }

    /**
     * Adds a cost to the upstreams of a software version that has no other upstream, for streams that begin: nowhere
     * else could such a stream go on.
     */
    private addVersionCosts(job: Job, penalties: Map<string, number>): void {
        const { view, versions } = this.options;
        const { name } = job.service;
        if (job.origin !== undefined || job.route.kind !== "stream" || versions?.hasSeveral(name) !== true) {
            return;
        }
        const upstreams = view.listUsable(name).map(({ upstream }) => upstream);
        const hasOther = ({ id, softwareVersion }: Upstream): boolean =>
            upstreams.some(other => other.id !== id && other.softwareVersion === softwareVersion);
        if (!upstreams.some(hasOther)) {
            return;
        }
        for (const { id } of upstreams.filter(upstream => !hasOther(upstream))) {
            penalties.set(id, (penalties.get(id) ?? 0) + singleUpstreamCostMs);
        }
    }

    /** @param excludedEngine Id of an engine that must not be chosen. */
    private choose(job: Job, now: number, excludedEngine?: string): UpstreamChoice | undefined {
        const { view, dataCentre, longPromptThreshold, prefixCache } = this.options;
        this.options.onChoice();
        const active = [...job.tried].filter(([, { until }]) => until > now);
        const penalties = new Map(active.map(([id, { costMs }]) => [id, costMs]));
        if (excludedEngine !== undefined) {
            penalties.set(excludedEngine, Infinity);
        }
        this.addVersionCosts(job, penalties);
        const base = {
            view,
            service: job.service,
            dataCentre,
            now,
            bootNow: this.readBoot(),
            penalties,
            isEligible: (upstream: Upstream) => this.isEligible(job, upstream) && this.mayChoose(job, upstream),
            slackMs: job.startedAt + job.route.aimMs - now,
        };
        const { model } = job.demand;
        if (job.service.engine === undefined || model === undefined) {
            return chooseServer(base);
        }
        const options: EngineChoiceOptions = {
            ...base,
            demand: model,
            priority: readJobPriority(job),
            longPromptTokens: longPromptThreshold.tokens,
            findCachedTokens: engine => prefixCache.countCachedTokens(engine, model, now),
            canAskOwner: state => this.canAskOwner(state),
        };
        const choice = chooseEngine(options);
        return choice === undefined ? undefined : this.chooseNewest(job, options, choice);
    }

    /**
     * Replaces the choice of an engine with an older version by one with the newest version, if that adds little delay.
     * Otherwise has the newest version loaded, so that it is available before the older version expires.
     */
    private chooseNewest(job: Job, options: EngineChoiceOptions, choice: UpstreamChoice): UpstreamChoice {
        const key = findAdapterKey(options.demand);
        const newest = key === undefined ? undefined : this.options.view.versions.findNewest(key);
        if (key === undefined || !choice.isReady || (choice.version ?? 0) >= (newest?.version ?? 0)) {
            return choice;
        }
        this.options.onChoice();
        const next = chooseEngine({ ...options, needsNewest: true });
        if (next?.isReady === true && next.rankMs < choice.rankMs + maxNewestDelayMs) {
            return next;
        }
        if (next?.isReady === false) {
            const { runMs, onTimeMs } = createDetails(job, options.demand, options.now);
            const want = { key, version: newest!.version, runMs, onTimeMs, lifeMs: preparationLifetimeMs };
            this.options.sendPreparation({ engine: next.state.upstream.id, want });
        }
        return choice;
    }

    /** Waits for admission by the owner of the chosen engine; undefined if the request must choose again. */
    private async askOwner(job: Job, choice: UpstreamChoice, now: number): Promise<ReadyUpstream | undefined> {
        const { model } = job.demand;
        const { state } = choice;
        if (job.service.engine === undefined || model === undefined) {
            return { choice, admission: undefined };
        }
        const { admissions } = this.options;
        const engine = state.upstream.id;
        const details: AdmissionDetails = {
            ...createDetails(job, model, now, this.options.admissions.hasReturns),
            version: choice.isReady ? this.findOldestVersion(model) : this.findNewestVersion(model),
            prefillTokens: choice.prefillTokens,
            expectedQueueMs: job.redirects < maxRedirects ? choice.waitMs : undefined,
        };
        if (!this.canAskOwner(state)) {
            const run = admissions.addRun(engine, { ...details, version: choice.version });
            return { choice, admission: run };
        }
        this.recordAsked(job, choice, details);
        const admission = admissions.ask(state.owner!, engine, details);
        const outcome = await this.waitForOutcome(job, admission);
        // Waits can last seconds, and the owner may know less than this VM, so the conditions are checked again.
        const { view } = this.options;
        const isUsable = view.isAvailable(engine, this.options.readTime());
        const isVersionAllowed = outcome?.kind === "admitted"
            && (outcome.version ?? Infinity) >= (this.findOldestVersion(model) ?? 0);
        if (isUsable && isVersionAllowed) {
            return finishReady(job, { choice: { ...choice, version: outcome.version }, admission });
        }
        admission.finish();
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
     * Waits for an owner's decision; undefined if the caller left, the latest send time has passed, another engine is
     * sooner, the engine is leaving or backs off for longer, or the request may no longer run.
     */
    private async waitForOutcome(job: Job, admission: Admission): Promise<AdmissionOutcome | undefined> {
        const { readTime } = this.options;
        for (;;) {
            const leftMs = readLastSendAt(job) - readTime();
            if (job.claimant.hasLeft || leftMs <= 0 || !this.mayRun(job)) {
                return undefined;
            }
            const outcome = await this.waitAtMost(job, admission.outcome, Math.min(reviewIntervalMs, leftMs));
            if (outcome !== undefined) {
                return outcome;
            }
            if (!this.options.view.isUsable(admission.engine) || this.isBackoffLonger(admission)) {
                return undefined;
            }
            if (job.moves < maxMoves && this.isOtherSooner(job, admission)) {
                job.moves += 1;
                return undefined;
            }
        }
    }

    /** Whether an engine will still be backing off when its owner expects to admit the request. */
    private isBackoffLonger({ engine, expectedAt }: Admission): boolean {
        const backoffEndAt = this.options.view.backoffs.findEnd(engine, this.options.readTime());
        return backoffEndAt !== undefined && backoffEndAt > expectedAt;
    }

    /** Waits for a value; undefined if the time passes or the caller leaves first. */
    private async waitAtMost<Value>(job: Job, value: Promise<Value>, ms: number): Promise<Value | undefined> {
        let timer: NodeJS.Timeout | undefined;
        const timeout = new Promise<undefined>(resolve => {
            timer = setTimeout(() => resolve(undefined), Math.max(1, ms));
        });
        const result = await Promise.race([value, timeout, job.claimant.left]);
        clearTimeout(timer);
        return result;
    }

    /** Whether another engine is expected to serve a request clearly sooner than the engine at which it waits. */
    private isOtherSooner(job: Job, admission: Admission): boolean {
        const now = this.options.readTime();
        const other = this.choose(job, now, admission.engine);
        const remainingWaitMs = admission.expectedAt > now ? admission.expectedAt - now : overdueWaitMs;
        return other !== undefined && !hasDeclined(job, other, now) && other.costMs + minMoveGainMs < remainingWaitMs;
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
            recordDeclined(job, engine, outcome, now);
            return;
        }
        job.tried.set(engine, { costMs: lostOwnerPenaltyMs, until: now + lostOwnerPauseMs, hasDeclined: false });
    }

    /** Finds the oldest version of the request's adapter that may be used now; undefined if any may be used. */
    private findOldestVersion(model: ModelDemand): number | undefined {
        const key = findAdapterKey(model);
        return key === undefined ? undefined : this.options.view.versions.findOldestUsable(key, this.readBoot());
    }

    /** Finds the version that a load would bring; undefined if none was announced. */
    private findNewestVersion(model: ModelDemand): number | undefined {
        const key = findAdapterKey(model);
        return key === undefined ? undefined : this.options.view.versions.findNewest(key)?.version;
    }

    /** Waits until a change that may affect waiting requests, or until the time has passed. */
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

/** Whether an upstream can continue the request's stream, if its caller has received any events. */
function canContinue({ origin }: Job, { softwareVersion }: Upstream): boolean {
    return origin === undefined || origin.softwareVersion === softwareVersion;
}

/** Returns when half of a request's time has passed. */
function readHalfTime(job: Job): number {
    return job.startedAt + (job.deadlineAt - job.startedAt) / 2;
}

/**
 * Whether the owner of the chosen engine recently declined the request. The choice includes the penalty for that, so no
 * other engine is expected to serve the request sooner.
 */
function hasDeclined(job: Job, choice: UpstreamChoice, now: number): boolean {
    const tried = job.tried.get(choice.state.upstream.id);
    return tried !== undefined && tried.hasDeclined && tried.until > now;
}
