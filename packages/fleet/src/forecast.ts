import { DecayingCount } from "./decayingcount.js";

/** Adapters that an engine loads at a time, a limit of the engines' API. */
export const maxConcurrentLoads = 4;

/** Shortest load queue in which late requests are expected to be overtaken. */
const minOvertakenQueue = 3;

/**
 * Smallest share of the loads that late requests are expected to get, since requests come in waves. At 0.15, a further
 * 0.01 of the requests is declined for 0.015 more within their latency target.
 */
const minLoadShare = 0.25;

/** Position of an adapter in an engine's load queue, and the state of its slots. */
export interface QueuedLoad {
    /** Number of queued loads ahead of this one. */
    readonly position: number;
    /** Number of queued loads, including this one if it is queued. */
    readonly queued: number;
    /** Number of adapters that are loading. */
    readonly loading: number;
    readonly adapterSlots: number;
    /** Expected times until slots in use become free, in milliseconds, soonest first. */
    readonly releases: readonly number[];
    /** Duration of a load from the weight store, in milliseconds. */
    readonly coldLoadMs: number;
    /** Until when a request that waits for the adapter can be sent and still be within its latency target. */
    readonly onTimeUntil: number;
}

/** Predicts when an engine will start a queued load. */
export class LoadForecast {
    /** Recent rates of adapters that were queued, and of loads that were started. */
    private readonly arrivals = new DecayingCount();
    private readonly loadStarts = new DecayingCount();

    recordArrival(now: number): void {
        this.arrivals.record(now);
    }

    recordLoadStart(now: number): void {
        this.loadStarts.record(now);
    }

    /** Expected time until a load starts, in milliseconds. */
    readWaitMs(load: QueuedLoad, now: number): number {
        const { position, loading, adapterSlots, releases, coldLoadMs } = load;
        const missingSlots = position + 1 - Math.max(0, adapterSlots - releases.length - loading);
        const freeSlotMs = missingSlots <= 0 ? 0 : releases[Math.min(missingSlots, releases.length) - 1] ?? coldLoadMs;
        const waitMs = Math.max(freeSlotMs, Math.floor((position + loading) / maxConcurrentLoads) * coldLoadMs);
        const isOvertaken = load.onTimeUntil < now + waitMs && load.queued >= minOvertakenQueue;
        return isOvertaken ? waitMs / this.readLateShare(now) : waitMs;
    }

    /**
     * Share of the loads that is left for late requests, since requests that can still meet their latency target are
     * loaded first. With this share in the expected wait, a request that cannot be served is declined early, while its
     * caller can still go elsewhere.
     */
    private readLateShare(now: number): number {
        const onTimeShare = this.arrivals.read(now) / Math.max(1, this.loadStarts.read(now));
        return Math.min(1, Math.max(minLoadShare, 1 - onTimeShare));
    }
}
