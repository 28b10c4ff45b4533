import type { EngineLimits, Service } from "@radishreel/routing";
import { rankHomes } from "./rank.js";
import { findAdapterKey, type ModelDemand, type UpstreamLoad } from "./types.js";
import type { FleetView, UpstreamState } from "./view.js";

/** Prompt tokens that an engine reads in a millisecond, by the users' sheets for both of their engines. */
export const prefillTokensPerMs = 38.4;

/** Time that each running request adds to the first token of another, in milliseconds: its share of a batch's steps. */
const activeCostMs = 1.5;

/** Cost of a request that would not fit into an engine's memory beside those that run: it would preempt another. */
const overfullCostMs = 1500;

/** Share of an engine's memory that is filled on purpose; kept prompt parts live in the rest. */
const kvFillShare = 0.85;

/** Cost of leaving the data centre: breaks ties between otherwise equal upstreams. */
const otherDataCentreCostMs = 4;

/** Cost of an upstream to which connections fail: used only if nothing else is left. */
const doubtfulCostMs = 3000;

/**
 * Cost of an engine that its owner cannot reach, in milliseconds. Less than that of one which this VM itself could not
 * reach: the path from here may be another one.
 */
const ownerDoubtCostMs = 1500;

/** Cost of an upstream that fails every request; a share of failures costs its share of this. */
const failingCostMs = 1200;

/**
 * Cost of loading a newer version of an adapter where an older one is in use, in milliseconds: the load comes after its
 * runs, which take seconds.
 */
const replacedInUseCostMs = 2000;

/**
 * Cost of each step away from an adapter's first home when it must be loaded from the weight store: where nobody knows
 * which engine held it lately, its home is the likely one, and VMs that ask at the same time ask there. At 110 ms a step a
 * home outweighed what the engines had to do: Armor's quiet day earned 0.686, and 0.710 at 30 ms.
 */
const otherHomeCostMs = 30;

/**
 * Cost of loading an adapter on one more engine, in milliseconds: it takes a place from another adapter and reads the
 * shared parts of its prompts again. A busy adapter gets a second engine once the first is behind by this and a load.
 */
const secondCopyCostMs = 250;

/** Whether an answer lasts long enough to be held up by other requests' prompts. */
export function hasLongAnswer(model: ModelDemand | undefined): boolean {
    return model !== undefined && model.outputTokens > longAnswerTokens;
}

/** An answer of more tokens than this lasts long enough to be held up by other requests' prompts: half a second or more. */
const longAnswerTokens = 100;

/**
 * Cost of each long answer on an engine to a prompt that would hold them up, in milliseconds. One answer that is late
 * loses what about 700 ms do to a draft; most of them have been held up once, or end before.
 */
const heldUpCostMs = 150;

/**
 * Cost of an engine that has just read such a prompt to a long answer, in milliseconds: more than a load elsewhere. Once
 * one engine reads them, answers leave it, so that the next one goes there too.
 */
const longPromptNearMs = 500;

/** How long ago it may have read one, in milliseconds: under load the next one is there by then. */
const longPromptRecentMs = 1500;

/** An engine that loses its place this soon gets no new stream, in milliseconds: most streams end within it. */
const minRemainingMs = 1500;

/** A choice of an upstream for one request. */
export interface UpstreamChoice {
    readonly state: UpstreamState;
    /** Expected time to the first byte of the answer, in milliseconds, with penalties for what is in doubt. */
    readonly costMs: number;
    /** Part of it before its prompt is read: for other requests on the upstream, or for a load, in milliseconds. */
    readonly waitMs: number;
    /** What the choice is made by, in milliseconds: the cost, and what others on the upstream would lose or make it lose. */
    readonly rankMs: number;
    /** Whether the request can be sent now; otherwise its adapter must be loaded first. */
    readonly isReady: boolean;
    /** Version of the adapter that answers; undefined for requests without an adapter. */
    readonly version: number | undefined;
    /** Prompt tokens that it has to read. */
    readonly prefillTokens: number;
}

/** What a choice starts from. */
export interface ChoiceOptions {
    readonly view: FleetView;
    readonly service: Service;
    readonly dataCentre: string;
    readonly now: number;
    /** The same by a clock that goes on while the VM is suspended, in milliseconds: versions are judged by it. @default now */
    readonly bootNow?: number | undefined;
    /** Cost added to upstreams that this request has tried, in milliseconds by id; Infinity rules one out. */
    readonly penalties: ReadonlyMap<string, number>;
}

/** What a choice among engines starts from. */
export interface EngineChoiceOptions extends ChoiceOptions {
    readonly demand: ModelDemand;
    /** Whether only the newest version of the adapter will do. @default false */
    readonly needsNewest?: boolean;
    /** Prompt tokens from which on streams beside a prompt are held up. */
    readonly longPromptTokens: number;
    /** Prompt tokens that an engine keeps of the request, by engine id. */
    readonly findKeptTokens: (engine: string) => number;
    /** Whether an engine's owner can be asked. */
    readonly canAsk: (state: UpstreamState) => boolean;
}

/** Costs that hold for every kind of upstream. */
function readCommonCost(options: ChoiceOptions, state: UpstreamState): number {
    const { dataCentre, now, penalties } = options;
    const isDoubtful = state.health.isPaused(now);
    return (penalties.get(state.upstream.id) ?? 0)
        + (state.upstream.dataCentre === dataCentre ? 0 : otherDataCentreCostMs)
        + (isDoubtful ? doubtfulCostMs : 0)
        + (state.news?.isReachable === false ? ownerDoubtCostMs : 0)
        + state.health.readFailureShare(now) * failingCostMs;
}

/** Picks a server of a plain service: the least loaded and fastest one that answers. */
export function chooseServer(options: ChoiceOptions): UpstreamChoice | undefined {
    const { view, service, now, penalties } = options;
    let best: UpstreamChoice | undefined;
    for (const state of view.listAwake(service.name, now)) {
        if (penalties.get(state.upstream.id) === Infinity) {
            continue;
        }
        const { active } = view.readLoad(state.upstream.id);
        const slots = Math.max(1, state.upstream.slots);
        // Work is in units of one request's usual time; a full server makes the next one wait.
        const workMs = serverWorkMs * state.health.readPace(now)
            * (1 + (active / slots) ** 2 + active * serverShareCost);
        const costMs = workMs + readCommonCost(options, state);
        if (best === undefined || costMs < best.costMs) {
            best = { state, costMs, waitMs: 0, rankMs: costMs, isReady: true, version: undefined, prefillTokens: 0 };
        }
    }
    return best;
}

/** Usual time of one request of a plain service, in milliseconds: between the users' 21 and 86 ms. */
const serverWorkMs = 60;

/** Cost of each request already on a server, as a share of its usual time: spreads requests over idle servers. */
const serverShareCost = 0.15;

/** Picks an engine for a model request, and says whether its adapter must be loaded there first. */
export function chooseEngine(options: EngineChoiceOptions): UpstreamChoice | undefined {
    const { view, service, demand, now, penalties } = options;
    const limits = service.engine;
    if (limits === undefined) {
        return undefined;
    }
    const usable = view.listAwake(service.name, now).filter(state =>
        penalties.get(state.upstream.id) !== Infinity
        && (state.goneAt === undefined || state.goneAt - now > minRemainingMs)
    );
    const key = findAdapterKey(demand);
    const homes = key === undefined ? [] : rankHomes(key, usable.map(state => ({ id: state.upstream.id })));
    const homeRanks = new Map(homes.map(({ id }, rank) => [id, rank]));
    const seen = usable.map(state => {
        const version = key === undefined ? undefined : findUsableVersion(options, state, key);
        const hasAdapter = version !== undefined || (key !== undefined && state.news?.coming.includes(key) === true);
        return { state, version, hasAdapter };
    });
    const hasCopy = seen.some(({ state, hasAdapter }) => hasAdapter && isTrusted(state, now));
    let best: UpstreamChoice | undefined;
    for (const { state, version, hasAdapter } of seen) {
        const homeRank = homeRanks.get(state.upstream.id) ?? homes.length;
        const isSecondCopy = hasCopy && !hasAdapter;
        const choice = createChoice({ options, limits, state, key, version, homeRank, isSecondCopy });
        if (choice !== undefined && (best === undefined || choice.rankMs < best.rankMs)) {
            best = choice;
        }
    }
    return best;
}

/** Whether an engine can be reached, as far as its owner and this VM know. */
function isTrusted(state: UpstreamState, now: number): boolean {
    return state.news?.isReachable !== false && !state.health.isPaused(now);
}

/** One engine as a candidate for a request. */
interface EngineCandidate {
    readonly options: EngineChoiceOptions;
    readonly limits: EngineLimits;
    readonly state: UpstreamState;
    readonly key: string | undefined;
    /** Version of the adapter that it may answer with. */
    readonly version: number | undefined;
    /** Place among the adapter's homes. */
    readonly homeRank: number;
    /** Whether another engine has the adapter and this one has not. */
    readonly isSecondCopy: boolean;
}

/** The choice of one engine; undefined if it cannot serve the request. */
function createChoice(candidate: EngineCandidate): UpstreamChoice | undefined {
    const { options, limits, state, key, version, homeRank, isSecondCopy } = candidate;
    const { view, demand, now } = options;
    const isReady = key === undefined ? view.hasModel(state, demand.model) : version !== undefined;
    const canLoad = (state.news?.canOrder ?? false) && options.canAsk(state);
    if (!isReady && !canLoad) {
        return undefined;
    }
    const load = view.readLoad(state.upstream.id);
    const kept = isReady ? options.findKeptTokens(state.upstream.id) : 0;
    const prefillTokens = Math.max(0, demand.promptTokens - kept);
    const neededKv = load.kvTokens + demand.promptTokens + demand.outputTokens;
    const isOverfull = neededKv > limits.kvTokens * kvFillShare || load.active >= limits.batchSlots;
    const queueMs = readQueueMs(load);
    const readMs = prefillTokens / prefillTokensPerMs;
    // While an adapter is loaded the engine reads the prompts in front.
    const waitMs = isReady ? queueMs : Math.max(queueMs, readLoadCost(view, state, key, homeRank));
    const costMs = (waitMs + readMs) * state.health.readPace(now)
        + (isOverfull ? overfullCostMs : 0)
        + (isSecondCopy ? secondCopyCostMs : 0)
        + readCommonCost(options, state);
    if (version !== undefined && !mayBegin(options, key, version, costMs)) {
        return createChoice({ ...candidate, version: undefined });
    }
    const rankMs = costMs + readHeldUpCost(options, state, prefillTokens, load.longAnswers);
    return { state, costMs, waitMs, rankMs, isReady, version, prefillTokens };
}

/** Whether an engine will have begun a request while its version may still answer, as far as can be expected. */
function mayBegin(options: EngineChoiceOptions, key: string | undefined, version: number, expectedMs: number): boolean {
    const { view, now, bootNow = now } = options;
    return key === undefined || view.versions.mayUse(key, version, bootNow, expectedMs);
}

/** How long the requests on an engine hold up one more, in milliseconds. */
export function readQueueMs(load: Readonly<UpstreamLoad>): number {
    return load.backlogTokens / prefillTokensPerMs + load.active * activeCostMs;
}

/** What a long prompt does to the long answers on an engine, and those that read there to a new one. */
function readHeldUpCost(
    options: EngineChoiceOptions,
    state: UpstreamState,
    prefillTokens: number,
    longAnswers: number,
): number {
    const { demand, now, longPromptTokens } = options;
    if (prefillTokens >= longPromptTokens) {
        return longAnswers * heldUpCostMs;
    }
    const isNear = demand.outputTokens > longAnswerTokens
        && state.prompts.findLargest(now - longPromptRecentMs) >= longPromptTokens;
    return isNear ? longPromptNearMs : 0;
}

/** Expected wait for an adapter that has to be loaded first, in milliseconds. */
function readLoadCost(view: FleetView, state: UpstreamState, key: string | undefined, homeRank: number): number {
    const { news } = state;
    if (news === undefined || key === undefined) {
        return 0;
    }
    if (view.findHeldVersion(state, key) !== undefined) {
        // One that is not in use has been replaced by its owner already.
        return news.coldLoadMs + replacedInUseCostMs;
    }
    if (news.coming.includes(key)) {
        return news.coldLoadMs / 2;
    }
    return news.waitMs + (state.warm.has(key) ? news.warmLoadMs : news.coldLoadMs + homeRank * otherHomeCostMs);
}

/** The version of an adapter that an engine may answer with: the newest, or for a short time one that was replaced. */
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
