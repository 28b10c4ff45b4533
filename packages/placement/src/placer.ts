import { DemandTable } from "./demand.js";
import type { EngineSummary, LoadOutcome, ModelDemand } from "./types.js";

/** Options of {@link Placer}. */
export interface PlacerOptions {
    /** Weight of load stalls against batch fullness: 1 considers only stalls, 0 only fullness. @default 0.7 */
    readonly stallWeight?: number;
    /** Share of the adapter slots that adapters requested only by trial accounts may hold. @default 0.25 */
    readonly trialSlotShare?: number;
    /** Half-life of an arrival's weight, in milliseconds. @default 150000 */
    readonly halfLifeMs?: number;
    /** Returns the permitted load starts per second. @default limited only to one load at a time */
    readonly readRate?: (now: number) => number;
    /** Time after which an unfinished load counts as failed, in milliseconds. @default 60000 */
    readonly loadTimeoutMs?: number;
}

/** Events that a placer handles. */
export type PlacerEvent =
    | { readonly type: "engine"; readonly engine: EngineSummary; }
    | { readonly type: "engineGone"; readonly engineId: string; }
    /** The engine has another owner, or orders to its owner may have been lost: their outcome may never be reported. */
    | { readonly type: "ordersLost"; readonly engineId: string; }
    | { readonly type: "demand"; readonly gateway: string; readonly changes: readonly ModelDemand[]; }
    | { readonly type: "gatewayGone"; readonly gateway: string; }
    | { readonly type: "loadEnded"; readonly engineId: string; readonly model: string; readonly outcome: LoadOutcome; }
    | { readonly type: "tick"; };

/** Order of a placer to an engine's owner. */
export interface PlacerCommand {
    readonly type: "load" | "evict";
    readonly engineId: string;
    readonly model: string;
}

/** Expected wait of a load that is requested now, in milliseconds. */
export interface LoadOutlook {
    readonly payingWaitMs: number;
    readonly trialWaitMs: number;
    /** Mean duration of one load. */
    readonly loadMs: number;
    /** Model that is currently loading. */
    readonly loading: string | undefined;
}

/** Engines that hold a model, and what its next load waits for. */
export interface PlacementExplanation {
    readonly engines: readonly { readonly engineId: string; readonly state: string; }[];
    readonly payingWaiting: number;
    readonly trialWaiting: number;
    /** Number of arrivals, weighted by exponential decay. */
    readonly decayedArrivals: number;
    readonly isNext: boolean;
    readonly isLoading: boolean;
    /** Number of models that no engine holds and paying requests wait for. */
    readonly modelsAhead: number;
    readonly outlook: LoadOutlook;
}

interface Order {
    readonly engineId: string;
    readonly model: string;
    readonly orderedAt: number;
}

interface Backoff {
    failures: number;
    until: number;
}

/** First backoff after a failed load, in milliseconds; it doubles with each failure up to `maxBackoffMs`. */
const minBackoffMs = 500;
const maxBackoffMs = 60_000;

/**
 * Weight of a replica's waiting time against that of a first load: requests that wait for a replica are served
 * eventually, requests that wait for a first load are not.
 */
const replicaWeight = 0.25;

/** Time after which an eviction that its owner has not confirmed is ordered again, in milliseconds. */
const evictTimeoutMs = 10_000;

/** Weight of a new measurement in the moving average of the load time. */
const loadTimeSmoothing = 0.2;

/** Load time assumed before the first measurement, in milliseconds. */
const initialLoadMs = 500;

/** Ratio of requests in flight to batch room at which placement regards an engine as full. */
const fullPackingRatio = 1;

/**
 * Decides which adapters one data centre loads and evicts. One load runs at a time, since the weight store is fastest
 * that way. The next load is the one whose requests have the longest total wait; paying accounts have strict priority
 * over trial ones. See docs/design/placement.md.
 */
export class Placer {
    private readonly engines = new Map<string, EngineSummary>();
    private readonly demand: DemandTable;
    private readonly backoffs = new Map<string, Backoff>();
    private readonly evictions = new Map<string, Order>();
    private pendingLoad: Order | undefined;
    private nextLoadAt = 0;
    private meanLoadMs = initialLoadMs;

    constructor(private options: PlacerOptions = {}) {
        this.demand = new DemandTable(options.halfLifeMs);
    }

    /** Applies new offerings. The half-life stays as it was at the start. */
    setOptions(options: PlacerOptions): void {
        this.options = { ...options, halfLifeMs: this.options.halfLifeMs };
    }

    /** Handles one event and returns the resulting orders. */
    decide(event: PlacerEvent, now: number): PlacerCommand[] {
        this.receive(event, now);
        return this.plan(now);
    }

    /** Whether a load is running or requests in this data centre wait for one. */
    get hasLoadRequests(): boolean {
        return this.pendingLoad !== undefined || this.demand.paying.size > 0 || this.demand.trial.size > 0;
    }

    /** Explains a model's placement to operators. */
    explain(model: string, now: number): PlacementExplanation {
        const state = this.demand.find(model);
        return {
            engines: [...state?.engines ?? []].map(engineId => ({
                engineId,
                state: this.engines.get(engineId)?.models.find(slot => slot.model === model)?.state ?? "loading",
            })),
            payingWaiting: state?.payingCount ?? 0,
            trialWaiting: state?.trialCount ?? 0,
            decayedArrivals: this.demand.popularity.readCount(model, now),
            isNext: this.findLoadRequest(now)?.model === model,
            isLoading: this.pendingLoad?.model === model,
            modelsAhead: this.demand.paying.size,
            outlook: this.readOutlook(now),
        };
    }

    /** Returns the expected waits, so that gateways can immediately refuse requests whose model cannot load in time. */
    readOutlook(now: number): LoadOutlook {
        const rate = this.options.readRate?.(now) ?? Infinity;
        const perLoadMs = Math.max(this.meanLoadMs, 1000 / rate);
        const running = this.pendingLoad === undefined ? 0 : 1;
        return {
            payingWaitMs: (running + this.demand.paying.size) * perLoadMs,
            trialWaitMs: (running + this.demand.paying.size + this.demand.trial.size) * perLoadMs,
            loadMs: this.meanLoadMs,
            loading: this.pendingLoad?.model,
        };
    }

    private receive(event: PlacerEvent, now: number): void {
        switch (event.type) {
            case "engine":
                this.receiveEngine(event.engine);
                return;
            case "engineGone":
                this.removeEngine(event.engineId);
                return;
            case "ordersLost":
                this.removeOrders(event.engineId);
                return;
            case "demand":
                for (const change of event.changes) {
                    this.demand.receive(event.gateway, change, now);
                }
                return;
            case "gatewayGone":
                this.demand.removeGateway(event.gateway);
                return;
            case "loadEnded":
                this.receiveLoadEnd(event.engineId, event.model, event.outcome, now);
                return;
            case "tick":
                this.expire(now);
        }
    }

    // Engines.

    private receiveEngine(summary: EngineSummary): void {
        // A leaving engine gets no new requests, so its models count as not loaded.
        const engine = summary.isLeaving ? { ...summary, models: [] } : summary;
        const before = this.engines.get(engine.id);
        const present = new Set(engine.models.map(slot => slot.model));
        for (const { model } of before?.models ?? []) {
            if (!present.has(model)) {
                this.evictions.delete(formatSlotKey(engine.id, model));
                this.demand.removeSlot(engine.id, model);
            }
        }
        this.engines.set(engine.id, engine);
        for (const { model } of engine.models) {
            this.demand.addSlot(engine.id, model);
        }
    }

    private removeEngine(engineId: string): void {
        for (const { model } of this.engines.get(engineId)?.models ?? []) {
            this.demand.removeSlot(engineId, model);
        }
        this.engines.delete(engineId);
        this.removeOrders(engineId);
    }

    /**
     * Removes the orders for an engine. An order blocks every other load or eviction in the data centre until its
     * outcome is reported or its timeout expires. If an order that is removed here is still carried out, the engine's
     * next summary shows the result.
     */
    private removeOrders(engineId: string): void {
        if (this.pendingLoad?.engineId === engineId) {
            this.pendingLoad = undefined;
        }
        for (const [slotKey, order] of this.evictions) {
            if (order.engineId === engineId) {
                this.evictions.delete(slotKey);
            }
        }
    }

    // Loads.

    private receiveLoadEnd(engineId: string, model: string, outcome: LoadOutcome, now: number): void {
        const slotKey = formatSlotKey(engineId, model);
        if (outcome === "loaded") {
            this.backoffs.delete(slotKey);
        }
        else {
            // Owners report an eviction that was not carried out in the same way. The backoff of the slot applies to
            // evictions too, since an owner that has just lost its engine refuses each of them immediately.
            this.evictions.delete(slotKey);
            const failures = (this.backoffs.get(slotKey)?.failures ?? 0) + 1;
            this.backoffs.set(slotKey, {
                failures,
                until: now + Math.min(minBackoffMs * 2 ** (failures - 1), maxBackoffMs),
            });
        }
        if (this.pendingLoad?.engineId !== engineId || this.pendingLoad.model !== model) {
            return;
        }
        if (outcome === "loaded") {
            this.meanLoadMs += loadTimeSmoothing * (now - this.pendingLoad.orderedAt - this.meanLoadMs);
        }
        this.pendingLoad = undefined;
    }

    private expire(now: number): void {
        this.demand.expire(now);
        if (
            this.pendingLoad !== undefined && now - this.pendingLoad.orderedAt > (this.options.loadTimeoutMs ?? 60_000)
        ) {
            this.receiveLoadEnd(this.pendingLoad.engineId, this.pendingLoad.model, "failed", now);
        }
        for (const [slotKey, order] of this.evictions) {
            if (now - order.orderedAt > evictTimeoutMs) {
                this.evictions.delete(slotKey);
            }
        }
        for (const [slotKey, backoff] of this.backoffs) {
            if (now - backoff.until > maxBackoffMs) {
                this.backoffs.delete(slotKey);
            }
        }
    }

    private plan(now: number): PlacerCommand[] {
        const commands: PlacerCommand[] = [];
        const isBusy = this.pendingLoad !== undefined || now < this.nextLoadAt;
        const loadRequest = this.findLoadRequest(now);
        if (loadRequest === undefined) {
            return commands;
        }
        const free = this.findFreeEngine(loadRequest, now);
        if (!isBusy && free !== undefined) {
            commands.push(this.startLoad(loadRequest.model, free, now));
            // Free a slot for the next load while this one runs.
            const next = this.findLoadRequest(now);
            const isNextBlocked = next !== undefined && next.mayEvict && this.findFreeEngine(next, now) === undefined;
            return isNextBlocked ? commands.concat(this.startEviction(next, now)) : commands;
        }
        if (free === undefined && loadRequest.mayEvict) {
            commands.push(...this.startEviction(loadRequest, now));
        }
        return commands;
    }

    /** Returns the load with the highest value at present. */
    private findLoadRequest(now: number): LoadRequest | undefined {
        const isEligible = (model: string): boolean =>
            this.pendingLoad?.model !== model && this.hasEngineFor(model, now);
        const paying = this.demand.paying.findBest(now, isEligible);
        const replica = this.demand.replica.findBest(now, model => this.isReplicaNeeded(model) && isEligible(model));
        if (paying !== undefined || replica !== undefined) {
            const payingTotal = paying === undefined ? -1 : this.demand.paying.readTotal(paying, now);
            const replicaTotal = replica === undefined
                ? -1
                : replicaWeight * this.demand.replica.readTotal(replica, now);
            const model = payingTotal >= replicaTotal ? paying! : replica!;
            return { model, isTrial: false, mayEvict: true };
        }
        const trial = this.demand.trial.findBest(now, isEligible);
        if (trial !== undefined) {
            return { model: trial, isTrial: true, mayEvict: true };
        }
        const prefetch = this.findPrefetch(now);
        return prefetch === undefined ? undefined : { model: prefetch, isTrial: false, mayEvict: false };
    }

    /** Whether some engine could load the model: it is not leaving, does not hold the model and does not back off. */
    private hasEngineFor(model: string, now: number): boolean {
        for (const engine of this.engines.values()) {
            if (this.canLoadOn(engine, model, now)) {
                return true;
            }
        }
        return false;
    }

    private canLoadOn(engine: EngineSummary, model: string, now: number): boolean {
        if (engine.isLeaving || this.demand.isHeld(engine.id, model)) {
            return false;
        }
        return !this.isBackedOff(engine.id, model, now);
    }

    private isBackedOff(engineId: string, model: string, now: number): boolean {
        return this.backoffs.size > 0 && now < (this.backoffs.get(formatSlotKey(engineId, model))?.until ?? 0);
    }

    /** Whether every engine that holds the model is full, and no engine is loading or evicting it. */
    private isReplicaNeeded(model: string): boolean {
        for (const engineId of this.demand.find(model)?.engines ?? []) {
            const engine = this.engines.get(engineId);
            const slot = engine?.models.find(entry => entry.model === model);
            const isFull = engine !== undefined && engine.inFlight >= engine.batchRoom;
            if (slot?.state !== "loaded" || !isFull) {
                return false;
            }
        }
        return true;
    }

    /** Returns a popular model that no engine holds. It is loaded only into a free slot and while no request waits. */
    private findPrefetch(now: number): string | undefined {
        if (this.pendingLoad !== undefined) {
            return undefined;
        }
        const mostPopular = this.demand.findMostPopular(now);
        return mostPopular !== undefined && this.hasEngineFor(mostPopular, now) ? mostPopular : undefined;
    }

    private readFreeSlots(engine: EngineSummary): number {
        const isLoadPending = this.pendingLoad?.engineId === engine.id
            && !engine.models.some(slot => slot.model === this.pendingLoad?.model);
        return engine.slots - engine.models.length - (isLoadPending ? 1 : 0);
    }

    private findFreeEngine(loadRequest: LoadRequest, now: number): EngineSummary | undefined {
        let best: EngineSummary | undefined;
        let bestCost = Infinity;
        for (const engine of this.engines.values()) {
            if (this.readFreeSlots(engine) <= 0 || !this.canLoadOn(engine, loadRequest.model, now)) {
                continue;
            }
            const cost = this.readPackingCost(engine);
            if (cost < bestCost) {
                best = engine;
                bestCost = cost;
            }
        }
        return best;
    }

    /** Returns the cost of loading onto an engine; lower is better. Full engines rank last whatever the weights. */
    private readPackingCost(engine: EngineSummary): number {
        const fullness = engine.inFlight / engine.batchRoom;
        if (fullness >= fullPackingRatio) {
            return 2 + fullness;
        }
        const stallWeight = this.options.stallWeight ?? 0.7;
        return stallWeight * fullness + (1 - stallWeight) * (1 - fullness);
    }

    private startLoad(model: string, engine: EngineSummary, now: number): PlacerCommand {
        this.pendingLoad = { engineId: engine.id, model, orderedAt: now };
        const rate = this.options.readRate?.(now) ?? Infinity;
        this.nextLoadAt = now + 1000 / rate;
        return { type: "load", engineId: engine.id, model };
    }

    // Evictions.

    private startEviction(loadRequest: LoadRequest, now: number): PlacerCommand[] {
        if (this.hasPendingEviction()) {
            return [];
        }
        const candidate = this.findEvictionCandidate(loadRequest, now);
        if (candidate === undefined) {
            return [];
        }
        this.evictions.set(formatSlotKey(candidate.engineId, candidate.model), candidate);
        return [{ type: "evict", engineId: candidate.engineId, model: candidate.model }];
    }

    /** Limits evictions to one at a time. An eviction that its owner does not confirm in time no longer counts. */
    private hasPendingEviction(): boolean {
        return this.evictions.size > 0;
    }

    private findEvictionCandidate(loadRequest: LoadRequest, now: number): Order | undefined {
        let best: Order | undefined;
        let bestCost = Infinity;
        for (const engine of this.engines.values()) {
            if (!this.canLoadOn(engine, loadRequest.model, now)) {
                continue;
            }
            for (const slot of engine.models) {
                if (slot.state !== "loaded" || this.isBackedOff(engine.id, slot.model, now)) {
                    continue;
                }
                const cost = this.readEvictCost(slot.model, slot.inUse, now) + this.readPackingBias(engine);
                if (cost < bestCost && this.isWorthEvicting(loadRequest, slot.model)) {
                    bestCost = cost;
                    best = { engineId: engine.id, model: slot.model, orderedAt: now };
                }
            }
        }
        return best;
    }

    /** Returns the expected stalls per second that an eviction causes, plus a penalty for a model in use. */
    private readEvictCost(model: string, inUse: number, now: number): number {
        const copies = this.demand.find(model)?.engines.size ?? 1;
        const waiting = this.demand.find(model)?.payingCount ?? 0;
        const rate = this.demand.popularity.readArrivalRate(model, now) / copies;
        return rate + (inUse > 0 ? inUseCostPerSecond : 0) + waiting * inUseCostPerSecond;
    }

    private readPackingBias(engine: EngineSummary): number {
        const stallWeight = this.options.stallWeight ?? 0.7;
        return (1 - stallWeight) * maxPackingBias * this.readPackingCost(engine);
    }

    /**
     * Whether the load justifies the eviction. A load for trial requests evicts a model that paying accounts have
     * requested only while trial adapters hold less than their share of the slots.
     */
    private isWorthEvicting(loadRequest: LoadRequest, candidate: string): boolean {
        if (!loadRequest.isTrial) {
            return true;
        }
        return this.demand.find(candidate)?.isPaying !== true
            || this.readTrialSlotShare() < (this.options.trialSlotShare ?? 0.25);
    }

    private readTrialSlotShare(): number {
        let slots = 0;
        let trial = 0;
        for (const engine of this.engines.values()) {
            slots += engine.slots;
            trial += engine.models.filter(slot => this.demand.find(slot.model)?.isPaying !== true).length;
        }
        return slots === 0 ? 1 : trial / slots;
    }
}

/** Cost of evicting a model in use, in requests per second; high enough that any idle model is evicted first. */
const inUseCostPerSecond = 1e6;

/** Maximum request rate that the packing cost may outweigh in the choice of an eviction, in requests per second. */
const maxPackingBias = 0.06;

interface LoadRequest {
    readonly model: string;
    readonly isTrial: boolean;
    /** Whether a model may be evicted to free a slot for this load. */
    readonly mayEvict: boolean;
}

function formatSlotKey(engineId: string, model: string): string {
    return `${engineId} ${model}`;
}
