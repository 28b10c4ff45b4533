import { DemandTable } from "./demand.js";
import type { EngineSummary, LoadOutcome, ModelDemand } from "./types.js";

/** Options of {@link Placer}. */
export interface PlacerOptions {
    /** 1 weighs load stalls only, 0 weighs batch fullness only. @default 0.7 */
    readonly stallWeight?: number;
    /** Share of an engine's slots that adapters wanted by trials alone may hold. @default 0.25 */
    readonly trialSlotShare?: number;
    /** Time after which an arrival counts half, in milliseconds. @default 150000 */
    readonly halfLifeMs?: number;
    /** Loads a second that may be started now. @default no limit but one at a time */
    readonly readRate?: (now: number) => number;
    /** A load that does not end within this long is counted as failed, in milliseconds. @default 60000 */
    readonly loadTimeoutMs?: number;
}

/** What a placer hears. */
export type PlacerEvent =
    | { readonly type: "engine"; readonly engine: EngineSummary; }
    | { readonly type: "engineGone"; readonly engineId: string; }
    /** The engine has another owner, or orders to its owner may have been lost: nobody may ever say how they ended. */
    | { readonly type: "ordersLost"; readonly engineId: string; }
    | { readonly type: "demand"; readonly gateway: string; readonly changes: readonly ModelDemand[]; }
    | { readonly type: "gatewayGone"; readonly gateway: string; }
    | { readonly type: "loadEnded"; readonly engineId: string; readonly model: string; readonly outcome: LoadOutcome; }
    | { readonly type: "tick"; };

/** What a placer orders of an engine's owner. */
export interface PlacerCommand {
    readonly type: "load" | "evict";
    readonly engineId: string;
    readonly model: string;
}

/** How long a load that is asked for now would wait, in milliseconds. */
export interface LoadOutlook {
    readonly payingWaitMs: number;
    readonly trialWaitMs: number;
    /** Mean time of one load. */
    readonly loadMs: number;
    /** Model that is being loaded now. */
    readonly loading: string | undefined;
}

/** Where a model is, and what its next load waits for. */
export interface PlacementExplanation {
    readonly engines: readonly { readonly engineId: string; readonly state: string; }[];
    readonly payingWaiting: number;
    readonly trialWaiting: number;
    /** Arrivals, each counting half after the half-life. */
    readonly decayedArrivals: number;
    readonly isNext: boolean;
    readonly isLoading: boolean;
    /** Models that paying customers wait for. */
    readonly modelsAhead: number;
    readonly outlook: LoadOutlook;
}

interface Order {
    readonly engineId: string;
    readonly model: string;
    readonly at: number;
}

interface Backoff {
    failures: number;
    until: number;
}

/** First wait after a failed load, in milliseconds; it doubles with each failure. */
const minBackoffMs = 500;
const maxBackoffMs = 60_000;

/** A replica relieves requests that would be served in the end, a first load relieves those that would not. */
const replicaDiscount = 0.25;

/** An eviction that its owner does not confirm is ordered again after this long, in milliseconds. */
const evictTimeoutMs = 10_000;

/** Weight of a new measurement in the mean load time. */
const loadTimeGain = 0.2;

/** Load time assumed before the first measurement, in milliseconds. */
const firstLoadMs = 500;

/** Engines may be filled up to this multiple of their batch room by placement. */
const packBound = 1;

/**
 * Decides what one data centre loads and evicts. One load runs at a time, since the weight store is fastest so; which
 * one is next is the total time waited that it relieves, paying customers strictly first.
 * See docs/design/placement.md.
 */
export class Placer {
    private readonly engines = new Map<string, EngineSummary>();
    private readonly demand: DemandTable;
    private readonly backoffs = new Map<string, Backoff>();
    private readonly evictions = new Map<string, Order>();
    private load: Order | undefined;
    private nextLoadAt = 0;
    private meanLoadMs = firstLoadMs;

    constructor(private options: PlacerOptions = {}) {
        this.demand = new DemandTable(options.halfLifeMs);
    }

    /** Takes new offerings. */
    setOptions(options: PlacerOptions): void {
        this.options = { ...options, halfLifeMs: this.options.halfLifeMs };
    }

    /** Takes one event and returns what to order. */
    decide(event: PlacerEvent, now: number): PlacerCommand[] {
        this.receive(event, now);
        return this.plan(now);
    }

    /** Whether anybody waits for a load here. */
    get isWanting(): boolean {
        return this.load !== undefined || this.demand.paying.size > 0 || this.demand.trial.size > 0;
    }

    /** What is known of a model, for operators. */
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
            isNext: this.findWanted(now)?.model === model,
            isLoading: this.load?.model === model,
            modelsAhead: this.demand.paying.size,
            outlook: this.readOutlook(now),
        };
    }

    /** What gateways need to know to refuse at once what cannot be loaded in time. */
    readOutlook(now: number): LoadOutlook {
        const rate = this.options.readRate?.(now) ?? Infinity;
        const perLoadMs = Math.max(this.meanLoadMs, 1000 / rate);
        const running = this.load === undefined ? 0 : 1;
        return {
            payingWaitMs: (running + this.demand.paying.size) * perLoadMs,
            trialWaitMs: (running + this.demand.paying.size + this.demand.trial.size) * perLoadMs,
            loadMs: this.meanLoadMs,
            loading: this.load?.model,
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

    // What is known of engines.

    private receiveEngine(summary: EngineSummary): void {
        // What a leaving engine holds is as good as not loaded: it gets nothing new.
        const engine = summary.isLeaving ? { ...summary, models: [] } : summary;
        const before = this.engines.get(engine.id);
        const present = new Set(engine.models.map(slot => slot.model));
        for (const { model } of before?.models ?? []) {
            if (!present.has(model)) {
                this.evictions.delete(formatPlace(engine.id, model));
                this.demand.removePlace(engine.id, model);
            }
        }
        this.engines.set(engine.id, engine);
        for (const { model } of engine.models) {
            this.demand.addPlace(engine.id, model);
        }
    }

    private removeEngine(engineId: string): void {
        for (const { model } of this.engines.get(engineId)?.models ?? []) {
            this.demand.removePlace(engineId, model);
        }
        this.engines.delete(engineId);
        this.removeOrders(engineId);
    }

    /**
     * Until somebody says how an order ended, or its time is over, it holds up every other load or eviction of the data
     * centre. If one that is dropped here is carried out all the same, the engine's next summary shows it.
     */
    private removeOrders(engineId: string): void {
        if (this.load?.engineId === engineId) {
            this.load = undefined;
        }
        for (const [place, order] of this.evictions) {
            if (order.engineId === engineId) {
                this.evictions.delete(place);
            }
        }
    }

    // Loads.

    private receiveLoadEnd(engineId: string, model: string, outcome: LoadOutcome, now: number): void {
        const place = formatPlace(engineId, model);
        if (outcome === "loaded") {
            this.backoffs.delete(place);
        }
        else {
            // Owners say in the same way that an eviction came to nothing. The time until the place is tried again holds
            // for evictions too: an owner that has just lost its engine refuses each at once.
            this.evictions.delete(place);
            const failures = (this.backoffs.get(place)?.failures ?? 0) + 1;
            this.backoffs.set(place, {
                failures,
                until: now + Math.min(minBackoffMs * 2 ** (failures - 1), maxBackoffMs),
            });
        }
        if (this.load?.engineId !== engineId || this.load.model !== model) {
            return;
        }
        if (outcome === "loaded") {
            this.meanLoadMs += loadTimeGain * (now - this.load.at - this.meanLoadMs);
        }
        this.load = undefined;
    }

    private expire(now: number): void {
        this.demand.expire(now);
        if (this.load !== undefined && now - this.load.at > (this.options.loadTimeoutMs ?? 60_000)) {
            this.receiveLoadEnd(this.load.engineId, this.load.model, "failed", now);
        }
        for (const [place, order] of this.evictions) {
            if (now - order.at > evictTimeoutMs) {
                this.evictions.delete(place);
            }
        }
        for (const [place, backoff] of this.backoffs) {
            if (now - backoff.until > maxBackoffMs) {
                this.backoffs.delete(place);
            }
        }
    }

    private plan(now: number): PlacerCommand[] {
        const commands: PlacerCommand[] = [];
        const isBusy = this.load !== undefined || now < this.nextLoadAt;
        const wanted = this.findWanted(now);
        if (wanted === undefined) {
            return commands;
        }
        const free = this.findFreeEngine(wanted, now);
        if (!isBusy && free !== undefined) {
            commands.push(this.startLoad(wanted.model, free, now));
            // While that load runs, a slot is made free for the next one.
            const next = this.findWanted(now);
            const isNextStuck = next !== undefined && next.mayEvict && this.findFreeEngine(next, now) === undefined;
            return isNextStuck ? commands.concat(this.startEviction(next, now)) : commands;
        }
        if (free === undefined && wanted.mayEvict) {
            commands.push(...this.startEviction(wanted, now));
        }
        return commands;
    }

    /** The load that is worth most now. */
    private findWanted(now: number): Wanted | undefined {
        const isEligible = (model: string): boolean => this.load?.model !== model && this.hasPlace(model, now);
        const paying = this.demand.paying.findBest(now, isEligible);
        const replica = this.demand.replica.findBest(now, model => this.isReplicaWanted(model) && isEligible(model));
        if (paying !== undefined || replica !== undefined) {
            const payingTotal = paying === undefined ? -1 : this.demand.paying.readTotal(paying, now);
            const replicaTotal = replica === undefined
                ? -1
                : replicaDiscount * this.demand.replica.readTotal(replica, now);
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

    /** Whether some engine could take the model: not leaving, not holding it, and not backed off. */
    private hasPlace(model: string, now: number): boolean {
        for (const engine of this.engines.values()) {
            if (this.isCandidate(engine, model, now)) {
                return true;
            }
        }
        return false;
    }

    private isCandidate(engine: EngineSummary, model: string, now: number): boolean {
        if (engine.isLeaving || this.demand.isHeld(engine.id, model)) {
            return false;
        }
        return !this.isBackedOff(engine.id, model, now);
    }

    private isBackedOff(engineId: string, model: string, now: number): boolean {
        return this.backoffs.size > 0 && now < (this.backoffs.get(formatPlace(engineId, model))?.until ?? 0);
    }

    /** A replica is wanted where every engine that holds the model is full, and none is about to hold it. */
    private isReplicaWanted(model: string): boolean {
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

    /** A popular model that is not loaded; loaded into free slots only, while nobody waits. */
    private findPrefetch(now: number): string | undefined {
        if (this.load !== undefined) {
            return undefined;
        }
        const hottest = this.demand.findHottest(now);
        return hottest !== undefined && this.hasPlace(hottest, now) ? hottest : undefined;
    }

    private readFreeSlots(engine: EngineSummary): number {
        const isLoadPending = this.load?.engineId === engine.id
            && !engine.models.some(slot => slot.model === this.load?.model);
        return engine.slots - engine.models.length - (isLoadPending ? 1 : 0);
    }

    private findFreeEngine(wanted: Wanted, now: number): EngineSummary | undefined {
        let best: EngineSummary | undefined;
        let bestCost = Infinity;
        for (const engine of this.engines.values()) {
            if (this.readFreeSlots(engine) <= 0 || !this.isCandidate(engine, wanted.model, now)) {
                continue;
            }
            const cost = this.readPackCost(engine);
            if (cost < bestCost) {
                best = engine;
                bestCost = cost;
            }
        }
        return best;
    }

    /** 0 for the engine that placement would rather fill; full ones come last whatever the weights. */
    private readPackCost(engine: EngineSummary): number {
        const fullness = engine.inFlight / engine.batchRoom;
        if (fullness >= packBound) {
            return 2 + fullness;
        }
        const stallWeight = this.options.stallWeight ?? 0.7;
        return stallWeight * fullness + (1 - stallWeight) * (1 - fullness);
    }

    private startLoad(model: string, engine: EngineSummary, now: number): PlacerCommand {
        this.load = { engineId: engine.id, model, at: now };
        const rate = this.options.readRate?.(now) ?? Infinity;
        this.nextLoadAt = now + 1000 / rate;
        return { type: "load", engineId: engine.id, model };
    }

    // Evictions.

    private startEviction(wanted: Wanted, now: number): PlacerCommand[] {
        if (this.hasEvictionUnderWay()) {
            return [];
        }
        const victim = this.findVictim(wanted, now);
        if (victim === undefined) {
            return [];
        }
        this.evictions.set(formatPlace(victim.engineId, victim.model), victim);
        return [{ type: "evict", engineId: victim.engineId, model: victim.model }];
    }

    /** One slot at a time is made free; an owner that is slow to do so is asked for another one after a while. */
    private hasEvictionUnderWay(): boolean {
        return this.evictions.size > 0;
    }

    private findVictim(wanted: Wanted, now: number): Order | undefined {
        let best: Order | undefined;
        let bestCost = Infinity;
        for (const engine of this.engines.values()) {
            if (!this.isCandidate(engine, wanted.model, now)) {
                continue;
            }
            for (const slot of engine.models) {
                if (slot.state !== "loaded" || this.isBackedOff(engine.id, slot.model, now)) {
                    continue;
                }
                const cost = this.readEvictCost(slot.model, slot.inUse, now) + this.readPackBias(engine);
                if (cost < bestCost && this.isWorthEvicting(wanted, slot.model)) {
                    bestCost = cost;
                    best = { engineId: engine.id, model: slot.model, at: now };
                }
            }
        }
        return best;
    }

    /** Expected stalls a second that an eviction causes. What is in use costs the wait for its end besides. */
    private readEvictCost(model: string, inUse: number, now: number): number {
        const copies = this.demand.find(model)?.engines.size ?? 1;
        const waiting = this.demand.find(model)?.payingCount ?? 0;
        const rate = this.demand.popularity.readRate(model, now) / copies;
        return rate + (inUse > 0 ? inUseCost : 0) + waiting * inUseCost;
    }

    private readPackBias(engine: EngineSummary): number {
        const stallWeight = this.options.stallWeight ?? 0.7;
        return (1 - stallWeight) * packBiasRate * this.readPackCost(engine);
    }

    /** A trial's adapter pushes out another trial's adapter, or what nobody paying has asked for. */
    private isWorthEvicting(wanted: Wanted, victim: string): boolean {
        if (!wanted.isTrial) {
            return true;
        }
        return this.demand.find(victim)?.isPaying !== true
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

/** Cost, in requests a second, that makes any idle model a better victim than one in use. */
const inUseCost = 1e6;

/** Requests a second of a victim's rate that packing may outweigh. */
const packBiasRate = 0.06;

interface Wanted {
    readonly model: string;
    readonly isTrial: boolean;
    /** Whether a slot may be made free for it. */
    readonly mayEvict: boolean;
}

function formatPlace(engineId: string, model: string): string {
    return `${engineId} ${model}`;
}
