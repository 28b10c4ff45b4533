import TinyQueue from "tinyqueue";
import { Popularity } from "./popularity.js";
import { WaitRank } from "./rank.js";
import type { ModelDemand } from "./types.js";

/** Requests of one gateway, or of all, that wait for a model. `start` is the sum of their arrival times. */
interface WaitingSum {
    payingCount: number;
    payingStart: number;
    trialCount: number;
    trialStart: number;
}

/** What is known of one model that is loaded or waited for. */
export interface ModelState extends Readonly<WaitingSum> {
    /** Engines that hold the model, in any state. */
    readonly engines: ReadonlySet<string>;
    /** Whether a paying customer has asked for it since it was last forgotten. */
    readonly isPaying: boolean;
}

interface MutableModel extends WaitingSum {
    readonly gateways: Map<string, WaitingSum>;
    readonly engines: Set<string>;
    isPaying: boolean;
}

interface HotEntry {
    readonly model: string;
    readonly score: number;
}

/** Entries of the heap of popular models that are tolerated for each model counted, before the stale ones are dropped. */
const maxHotEntries = 4;
const minHotEntries = 1000;

/** Interval at which models that are hardly asked for are forgotten, in milliseconds. */
const forgetEveryMs = 60_000;

/** Who waits for which model and how popular each is, ranked for the placer. */
export class DemandTable {
    /** Models that are loaded nowhere, by the total time that paying requests have waited. */
    readonly paying = new WaitRank();
    /** The same for trial requests. */
    readonly trial = new WaitRank();
    /** Models that are waited for although they are loaded, since no engine that holds them has room. */
    readonly replica = new WaitRank();
    readonly popularity: Popularity;
    private readonly models = new Map<string, MutableModel>();
    private hot = this.createHot([]);
    private forgottenAt = 0;

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

    /** An engine holds the model from now on. */
    addPlace(engineId: string, model: string): void {
        const state = this.findOrCreate(model);
        if (!state.engines.has(engineId)) {
            state.engines.add(engineId);
            this.updateRanks(model, state);
        }
    }

    /** An engine does not hold the model any more. */
    removePlace(engineId: string, model: string): void {
        const state = this.models.get(model);
        if (state === undefined) {
            return;
        }
        state.engines.delete(engineId);
        this.updateRanks(model, state);
        this.hot.push({ model, score: this.popularity.readScore(model) });
        this.removeIfUnused(model, state);
    }

    /** Takes one gateway's word on one model. */
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

    /** A gateway has gone, and what waited there with it. */
    removeGateway(gateway: string): void {
        for (const [model, state] of this.models) {
            if (state.gateways.has(gateway)) {
                this.removeGatewayWaiting(state, gateway);
                this.updateRanks(model, state);
                this.removeIfUnused(model, state);
            }
        }
    }

    /** The most popular model that is loaded nowhere; undefined if none was asked for of late. */
    findHottest(now: number): string | undefined {
        while (this.hot.length > 0) {
            const entry = this.hot.peek()!;
            if (!this.isStale(entry) && this.popularity.readCount(entry.model, now) >= 1) {
                return entry.model;
            }
            this.hot.pop();
        }
        return undefined;
    }

    /** Forgets what is hardly asked for. */
    expire(now: number): void {
        if (now - this.forgottenAt >= forgetEveryMs) {
            this.forgottenAt = now;
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
        this.hot.push({ model, score });
        if (this.hot.length > minHotEntries + maxHotEntries * this.popularity.size) {
            this.hot = this.createHot(this.hot.data.filter(entry => !this.isStale(entry)));
        }
    }

    private createHot(entries: HotEntry[]): TinyQueue<HotEntry> {
        return new TinyQueue(entries, (left, right) => right.score - left.score);
    }

    /** A later arrival has made another entry, or the model is loaded. */
    private isStale({ model, score }: HotEntry): boolean {
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
        const isPlaced = state.engines.size > 0;
        this.paying.setWaiting(model, isPlaced ? 0 : state.payingCount, state.payingStart);
        this.trial.setWaiting(model, isPlaced ? 0 : state.trialCount, state.trialStart);
        this.replica.setWaiting(model, isPlaced ? state.payingCount : 0, state.payingStart);
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

    /** Memory is bounded by what is loaded or waited for; popularity alone is kept longer, and more compactly. */
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
