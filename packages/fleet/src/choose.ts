import type { EngineLimits, Service } from "@radishreel/routing";
import { engineSilenceMs } from "./activity.js";
import { prefillTokensPerMs, readQueueMs } from "./enginecosts.js";
import { readLoadCost } from "./loadcost.js";
import { readLongPromptCost } from "./longprompts.js";
import { rankByRendezvous } from "./rank.js";
import { readLatenessCost, readSpreadCost } from "./speeds/index.js";
import { findAdapterKey, type ModelDemand, type Upstream } from "./types.js";
import type { FleetView, UpstreamState } from "./view.js";

/** Cost of a request for which an engine must preempt another request, since its memory is full, in milliseconds. */
const preemptionCostMs = 1500;

/** Share of an engine's KV memory that requests may fill; the prefix cache uses the rest. */
const kvFillShare = 0.85;

/** Cost of an upstream in another data centre, in milliseconds: breaks ties between otherwise equal upstreams. */
const otherDataCentreCostMs = 4;

/** Cost of an upstream to which connections fail, in milliseconds: such an upstream is the last choice. */
const unreachableCostMs = 3000;

/**
 * Cost of an engine that its owner cannot reach, in milliseconds. Lower than that of an engine that this VM cannot
 * reach, since this VM may use another network path.
 */
const unreachableByOwnerCostMs = 1500;

/** Cost of an upstream that fails every request, in milliseconds; scaled by the share of failed responses. */
const failingCostMs = 1200;

/** An engine that shuts down within this time gets no new requests, in milliseconds: most streams end within it. */
const minRemainingMs = 1500;

/** The upstream chosen for one request. */
export interface UpstreamChoice {
    readonly state: UpstreamState;
    /** Expected time to the first byte of the response, in milliseconds, with penalties for uncertainties. */
    readonly costMs: number;
    /** Part of the cost before the prompt is read: time for other requests or for an adapter load, in milliseconds. */
    readonly waitMs: number;
    /**
     * Value by which upstreams are compared, in milliseconds: the cost plus the delays among this and other requests.
     */
    readonly rankMs: number;
    /** Whether the upstream can serve the request now; otherwise the adapter must be loaded first. */
    readonly isReady: boolean;
    /** Version of the adapter that serves the request; undefined for requests without an adapter. */
    readonly version: number | undefined;
    /** Prompt tokens that the upstream has to read. */
    readonly prefillTokens: number;
}

/** Options of {@link chooseServer}. */
export interface ChoiceOptions {
    readonly view: FleetView;
    readonly service: Service;
    readonly dataCentre: string;
    readonly now: number;
    /**
     * Current time of a clock that runs on while the VM is suspended, in milliseconds; used for versions.
     * @default now
     */
    readonly bootNow?: number | undefined;
    /** Cost added to upstreams that this request has tried, in milliseconds by id; Infinity excludes an upstream. */
    readonly penalties: ReadonlyMap<string, number>;
    /** Whether an upstream may serve the request at all. @default all may */
    readonly isEligible?: ((upstream: Upstream) => boolean) | undefined;
    /** Time until the latency target, in milliseconds; used where speeds differ. @default no target */
    readonly slackMs?: number | undefined;
}

/** Options of {@link chooseEngine}. */
export interface EngineChoiceOptions extends ChoiceOptions {
    readonly demand: ModelDemand;
    /** Priority of the request. @default unknown */
    readonly priority?: number | undefined;
    /** Whether the request needs the newest version of the adapter. @default false */
    readonly needsNewest?: boolean;
    /** Prompt tokens from which on a prompt delays other streams of its engine. */
    readonly longPromptTokens: number;
    /** Reads how many of the request's prompt tokens an engine has cached, by engine id. */
    readonly findCachedTokens: (engine: string) => number;
    /** Whether this VM can request admission from an engine's owner. */
    readonly canAskOwner: (state: UpstreamState) => boolean;
}

/** Costs that apply to engines and plain servers alike, in milliseconds. */
function readCommonCost(options: ChoiceOptions, state: UpstreamState): number {
    const { view, dataCentre, now, penalties } = options;
    const isUnreachable = state.health.isPaused(now);
    return (penalties.get(state.upstream.id) ?? 0)
        + (state.upstream.dataCentre === dataCentre ? 0 : otherDataCentreCostMs)
        + (isUnreachable ? unreachableCostMs : 0)
        + (state.status?.isReachable === false ? unreachableByOwnerCostMs : 0)
        + state.health.readFailureShare(now) * failingCostMs
        + view.limits.readWaitMs(state.upstream.id, now);
}

/** Longest silence that adds to the cost, in milliseconds. Detection of failures takes over from then on. */
const maxSilenceMs = 2000;

/** Cost of an engine whose streams have stopped: it is expected to be silent for as long again. */
function readSilenceCost(state: UpstreamState, now: number): number {
    const silenceMs = state.activity.readSilenceMs(now);
    return silenceMs < engineSilenceMs ? 0 : Math.min(silenceMs, maxSilenceMs);
}

/** Chooses a server of a plain service: the least loaded and fastest one that is available. */
export function chooseServer(options: ChoiceOptions): UpstreamChoice | undefined {
    const { view, service, now, penalties, isEligible = () => true } = options;
    const factors = view.readSpeedFactors(service.name, now);
    let best: UpstreamChoice | undefined;
    for (const state of view.listAvailable(service.name, now)) {
        if (penalties.get(state.upstream.id) === Infinity || !isEligible(state.upstream)) {
            continue;
        }
        const { active } = view.readLoad(state.upstream.id);
        const slots = Math.max(1, state.upstream.slots);
        // The usual time of one request, scaled up for the requests that the server already runs.
        const workMs = serverWorkMs / (factors?.get(state.upstream.id) ?? 1) * state.health.readSlowdown(now)
            * (1 + (active / slots) ** 2 + active * serverActiveCostShare);
        const costMs = workMs + readCommonCost(options, state);
        if (best === undefined || costMs < best.costMs) {
            best = { state, costMs, waitMs: 0, rankMs: costMs, isReady: true, version: undefined, prefillTokens: 0 };
        }
    }
    return best;
}

/** Usual time of one request of a plain service, in milliseconds: services take from 21 to 86 ms. */
const serverWorkMs = 60;

/** Cost of each active request on a server, as a share of the usual time: spreads requests over idle servers. */
const serverActiveCostShare = 0.15;

/** Chooses an engine for a model request. The adapter may have to be loaded there first. */
export function chooseEngine(options: EngineChoiceOptions): UpstreamChoice | undefined {
    const { view, service, demand, now, penalties, isEligible = () => true } = options;
    const limits = service.engine;
    if (limits === undefined) {
        return undefined;
    }
    const usable = view.listAvailable(service.name, now).filter(state =>
        penalties.get(state.upstream.id) !== Infinity
        && isEligible(state.upstream)
        && (state.shutdownAt === undefined || state.shutdownAt - now > minRemainingMs)
    );
    const key = findAdapterKey(demand);
    const factors = view.readSpeedFactors(service.name, now);
    const preferredEngines = key === undefined
        ? []
        : rankByRendezvous(key, usable.map(({ upstream: { id } }) => ({ id, weight: factors?.get(id) })));
    const preferenceRanks = new Map(preferredEngines.map(({ id }, rank) => [id, rank]));
    const candidates = usable.map(state => {
        const version = key === undefined ? undefined : findUsableVersion(options, state, key);
        const hasAdapter = version !== undefined || (key !== undefined && state.status?.coming.includes(key) === true);
        return { state, version, hasAdapter };
    });
    const hasCopy = candidates.some(({ state, hasAdapter }) => hasAdapter && isBelievedReachable(state, now));
    let best: UpstreamChoice | undefined;
    for (const { state, version, hasAdapter } of candidates) {
        const preferenceRank = preferenceRanks.get(state.upstream.id) ?? preferredEngines.length;
        const isSecondCopy = hasCopy && !hasAdapter;
        const speed = factors === undefined ? undefined : factors.get(state.upstream.id) ?? 1;
        const choice = createChoice({ options, limits, state, key, version, preferenceRank, isSecondCopy, speed });
        if (choice !== undefined && (best === undefined || choice.rankMs < best.rankMs)) {
            best = choice;
        }
    }
    return best;
}

/** Whether neither the owner nor this VM has found the engine unreachable. */
function isBelievedReachable(state: UpstreamState, now: number): boolean {
    return state.status?.isReachable !== false && !state.health.isPaused(now);
}

/** One engine as a candidate for a request. */
interface EngineCandidate {
    readonly options: EngineChoiceOptions;
    readonly limits: EngineLimits;
    readonly state: UpstreamState;
    readonly key: string | undefined;
    /** Version of the adapter with which the engine may serve the request. */
    readonly version: number | undefined;
    /** Rank among the adapter's preferred engines. */
    readonly preferenceRank: number;
    /** Whether another engine holds or loads the adapter and this engine does not. */
    readonly isSecondCopy: boolean;
    /** Speed relative to the median of the service; undefined where speeds do not differ. */
    readonly speed: number | undefined;
}

/** Rates one engine as a choice; undefined if the engine cannot serve the request. */
function createChoice(candidate: EngineCandidate): UpstreamChoice | undefined {
    const { options, limits, state, key, version, preferenceRank, isSecondCopy, speed } = candidate;
    const { view, demand, now } = options;
    const isReady = key === undefined ? view.hasModel(state, demand.model) : version !== undefined;
    const canLoad = (state.status?.canOrder ?? false) && options.canAskOwner(state);
    if (!isReady && !canLoad) {
        return undefined;
    }
    const load = view.readLoad(state.upstream.id);
    const cachedTokens = isReady ? options.findCachedTokens(state.upstream.id) : 0;
    const prefillTokens = Math.max(0, demand.promptTokens - cachedTokens);
    const neededKv = load.kvTokens + demand.promptTokens + demand.outputTokens;
    const exceedsCapacity = neededKv > limits.kvTokens * kvFillShare || load.active >= limits.batchSlots;
    const queueMs = readQueueMs(load) / (speed ?? 1);
    const readMs = prefillTokens / prefillTokensPerMs / (speed ?? 1);
    // The engine reads the prompts ahead of this one while it loads the adapter.
    const waitMs = isReady ? queueMs : Math.max(queueMs, readLoadCost(options, state, key, preferenceRank));
    const expectedMs = (waitMs + readMs) * state.health.readSlowdown(now);
    const costMs = expectedMs
        + (exceedsCapacity ? preemptionCostMs : 0)
        + (isSecondCopy ? view.copies.secondCopyCostMs : 0)
        + readSilenceCost(state, now)
        + readCommonCost(options, state);
    if (version !== undefined && !mayStartInTime(options, key, version, costMs)) {
        return createChoice({ ...candidate, version: undefined });
    }
    const rankMs = costMs + readLongPromptCost(options, state, prefillTokens, load.longAnswers)
        + (speed === undefined
            ? 0
            : readLatenessCost(expectedMs, options.slackMs)
                + (isReady ? readSpreadCost(view.vm, state.upstream.id) : 0));
    return { state, costMs, waitMs, rankMs, isReady, version, prefillTokens };
}

/** Whether the engine is expected to start the request while the adapter version may still be used. */
function mayStartInTime(
    options: EngineChoiceOptions,
    key: string | undefined,
    version: number,
    expectedMs: number,
): boolean {
    const { view, now, bootNow = now } = options;
    return key === undefined || view.versions.mayUse(key, version, bootNow, expectedMs);
}

/** The adapter version with which an engine may serve a request: the newest, or for a short time a replaced one. */
export function findUsableVersion(
    options: Pick<EngineChoiceOptions, "view" | "now" | "bootNow" | "needsNewest">,
    state: UpstreamState,
    key: string,
): number | undefined {
    const { view, now, bootNow = now, needsNewest = false } = options;
    const held = view.findHeldVersion(state, key);
    if (held === undefined) {
        return undefined;
    }
    const isAllowed = needsNewest
        ? held >= (view.versions.findNewest(key)?.version ?? held)
        : view.versions.mayUse(key, held, bootNow);
    return isAllowed ? held : undefined;
}
