import { RecentCount } from "./rates.js";

/** Adapters that may be on their way to one engine at a time, by the engines' interface. */
export const maxComing = 4;

/** Shortest queue in which late requests are taken to be overtaken. */
const minOvertakingQueue = 3;

/**
 * Least part of the loads that late requests are taken to get: load comes in waves. At 0.15 a further 0.01 was declined for
 * 0.015 more on time.
 */
const minShareLeft = 0.25;

/** Where the load of an adapter stands in an engine's queue. */
export interface QueuedLoad {
    /** Loads in front of it. */
    readonly position: number;
    /** Loads that wait, itself included if it does. */
    readonly queued: number;
    /** Loads on their way. */
    readonly coming: number;
    readonly adapterPlaces: number;
    /** Times until places that are in use are expected to come free, in milliseconds, soonest first. */
    readonly releases: readonly number[];
    /** Time of a load from the weight store, in milliseconds. */
    readonly coldMs: number;
    /** Until when a request that waits for it can be sent and still be answered in time. */
    readonly onTimeUntil: number;
}

/** Predicts when an engine will begin a load that waits. */
export class LoadForecast {
    /** Adapters that began to wait, and loads that were begun. */
    private readonly arrivals = new RecentCount();
    private readonly loadsBegun = new RecentCount();

    recordArrival(now: number): void {
        this.arrivals.record(now);
    }

    recordLoad(now: number): void {
        this.loadsBegun.record(now);
    }

    /** Expected time until a load begins, in milliseconds. */
    readTurnMs(load: QueuedLoad, now: number): number {
        const { position, coming, adapterPlaces, releases, coldMs } = load;
        const missing = position + 1 - Math.max(0, adapterPlaces - releases.length - coming);
        const roomMs = missing <= 0 ? 0 : releases[Math.min(missing, releases.length) - 1] ?? coldMs;
        const turnMs = Math.max(roomMs, Math.floor((position + coming) / maxComing) * coldMs);
        const isOvertaken = load.onTimeUntil < now + turnMs && load.queued >= minOvertakingQueue;
        return isOvertaken ? turnMs / this.readShareLeft(now) : turnMs;
    }

    /**
     * Part of the loads that is left for requests that are late: those that can still be on time go before them. Counting it
     * declines what cannot be served early on, while its caller can still go elsewhere.
     */
    private readShareLeft(now: number): number {
        const taken = this.arrivals.read(now) / Math.max(1, this.loadsBegun.read(now));
        return Math.min(1, Math.max(minShareLeft, 1 - taken));
    }
}
