import TinyQueue from "tinyqueue";
import { Popularity } from "./popularity.js";
import { WaitRank } from "./rank.js";
import type { ModelDemand } from "./types.js";

/** Waiting requests for a model, at one gateway or in total. The `...Start` fields are sums of arrival times. */
interface WaitingSum {
    payingCount: number;
    payingStart: number;
    trialCount: number;
    trialStart: number;
}

/** State of one model that an engine holds or that requests wait for. */
export interface ModelState extends Readonly<WaitingSum> {
    /** Engines that hold the model, in any state. */
    readonly engines: ReadonlySet<string>;
    /** Whether a paying account has requested the model since its state was last removed. */
    readonly isPaying: boolean;
}

interface MutableModel extends WaitingSum {
    readonly gateways: Map<string, WaitingSum>;
    readonly engines: Set<string>;
    isPaying: boolean;
}

interface PopularityEntry {
    readonly model: string;
    readonly score: number;
}

/**
 * Size limits of the heap of popular models: its stale entries are removed when it holds more than the minimum plus
 * this many entries per counted model.
 */
const maxPopularEntriesPerModel = 4;
const minPopularEntries = 1000;

/** Interval at which the popularity of rarely requested models is removed, in milliseconds. */
const expiryIntervalMs = 60_000;

/** Waiting requests and popularity of each model, ranked for the placer. */
export class DemandTable {
    /** Models that no engine holds, ranked by the total wait of their paying requests. */
    readonly paying = new WaitRank();
    /** Models that no engine holds, ranked by the total wait of their trial requests. */
    readonly trial = new WaitRank();
    /** Models that paying requests wait for although an engine holds them, since no such engine has batch room. */
    readonly replica = new WaitRank();
    readonly popularity: Popularity;
    private readonly models = new Map<string, MutableModel>();
    private popularModels = this.createPopularModels([]);
    private expiredAt = 0;

    constructor(halfLifeMs: number | undefined) {
        this.popularity = new Popularity({ halfLifeMs });
    }

    find(model: string): ModelState | undefined {
        return this.models.get(model);
    }

    /** Whether the engine holds the model, in any state. */
    isHeld(engineId: string, model: string): boolean {
        return this.models.get(model)?.engines.has(engineId) ?? false;
    }

    /** Records that an engine holds the model. */
    addSlot(engineId: string, model: string): void {
        const state = this.findOrCreate(model);
        if (!state.engines.has(engineId)) {
            state.engines.add(engineId);
            this.updateRanks(model, state);
        }
    }

    /** Records that an engine no longer holds the model. */
    removeSlot(engineId: string, model: string): void {
        const state = this.models.get(model);
        if (state === undefined) {
            return;
        }
        state.engines.delete(engineId);
        this.updateRanks(model, state);
        this.popularModels.push({ model, score: this.popularity.readScore(model) });
        this.removeIfUnused(model, state);
    }

    /** Applies one gateway's demand report for one model. */
    receive(gateway: string, change: ModelDemand, now: number): void {
        const { model, paying, trial } = change;
        const state = this.findOrCreate(model);
        this.removeGatewayWaiting(state, gateway);
        if (paying.count > 0 || trial.count > 0) {
            const waiting: WaitingSum = {
                payingCount: paying.count,
                payingStart: paying.count * now - paying.ageMs,
                trialCount: trial.count,
                trialStart: trial.count * now - trial.ageMs,
            };
            state.gateways.set(gateway, waiting);
            addWaiting(state, waiting, 1);
        }
        state.isPaying ||= change.payingArrivals > 0;
        this.recordArrivals(model, state, change.payingArrivals + change.trialArrivals, now);
        this.updateRanks(model, state);
        this.removeIfUnused(model, state);
    }

    /** Removes a gateway that is gone, together with its waiting requests. */
    removeGateway(gateway: string): void {
        for (const [model, state] of this.models) {
            if (state.gateways.has(gateway)) {
                this.removeGatewayWaiting(state, gateway);
                this.updateRanks(model, state);
                this.removeIfUnused(model, state);
            }
        }
    }

    /** Returns the most popular model that no engine holds; undefined if no such model was requested recently. */
    findMostPopular(now: number): string | undefined {
        while (this.popularModels.length > 0) {
            const entry = this.popularModels.peek()!;
            if (!this.isStale(entry) && this.popularity.readCount(entry.model, now) >= 1) {
                return entry.model;
            }
            this.popularModels.pop();
        }
        return undefined;
    }

    /** Removes the popularity of rarely requested models, at most once per interval. */
    expire(now: number): void {
        if (now - this.expiredAt >= expiryIntervalMs) {
            this.expiredAt = now;
            this.popularity.expire(now);
        }
    }

    private recordArrivals(model: string, state: MutableModel, count: number, now: number): void {
        if (count === 0) {
            return;
        }
        const score = this.popularity.recordArrivals(model, count, now);
        if (state.engines.size > 0) {
            return;
        }
        this.popularModels.push({ model, score });
        if (this.popularModels.length > minPopularEntries + maxPopularEntriesPerModel * this.popularity.size) {
            this.popularModels = this.createPopularModels(
                this.popularModels.data.filter(entry => !this.isStale(entry)),
            );
        }
    }

    private createPopularModels(entries: PopularityEntry[]): TinyQueue<PopularityEntry> {
        return new TinyQueue(entries, (left, right) => right.score - left.score);
    }

    /** Whether a later arrival has added a newer entry for the model, or an engine holds the model. */
    private isStale({ model, score }: PopularityEntry): boolean {
        return this.popularity.readScore(model) !== score || (this.models.get(model)?.engines.size ?? 0) > 0;
    }

    private removeGatewayWaiting(state: MutableModel, gateway: string): void {
        const waiting = state.gateways.get(gateway);
        if (waiting !== undefined) {
            addWaiting(state, waiting, -1);
            state.gateways.delete(gateway);
        }
    }

    private updateRanks(model: string, state: MutableModel): void {
        const isHeldAnywhere = state.engines.size > 0;
        this.paying.setWaiting(model, isHeldAnywhere ? 0 : state.payingCount, state.payingStart);
        this.trial.setWaiting(model, isHeldAnywhere ? 0 : state.trialCount, state.trialStart);
        this.replica.setWaiting(model, isHeldAnywhere ? state.payingCount : 0, state.payingStart);
    }

    private findOrCreate(model: string): MutableModel {
        const known = this.models.get(model);
        if (known !== undefined) {
            return known;
        }
        const state: MutableModel = {
            gateways: new Map(),
            payingCount: 0,
            payingStart: 0,
            trialCount: 0,
            trialStart: 0,
            engines: new Set(),
            isPaying: false,
        };
        this.models.set(model, state);
        return state;
    }

    /**
     * Bounds memory by the models that an engine holds or that requests wait for. Only the popularity, which is more
     * compact, is kept longer.
     */
    private removeIfUnused(model: string, state: MutableModel): void {
        if (state.engines.size === 0 && state.gateways.size === 0) {
            this.models.delete(model);
        }
    }
}

function addWaiting(state: WaitingSum, waiting: WaitingSum, sign: 1 | -1): void {
    state.payingCount += sign * waiting.payingCount;
    state.payingStart += sign * waiting.payingStart;
    state.trialCount += sign * waiting.trialCount;
    state.trialStart += sign * waiting.trialStart;
}
