/** Load time from the weight store that is assumed before the first such load, in milliseconds. */
const initialColdLoadMs = 250;

/** Load time from the engine's host memory that is assumed before the first such load, in milliseconds. */
const initialWarmLoadMs = 25;

/** Bounds of the learned load times, in milliseconds: a load that hangs must not distort them. */
const minLoadMs = 5;
const maxLoadMs = 3000;

/**
 * Factor on the expected time after a load that was complete at the first check, so that the next check comes earlier.
 */
const shorteningFactor = 0.93;

/** Weight of a load that took longer than expected in the moving average. */
const slowLoadWeight = 0.5;

/** Decay per load of the floor: the latest time at which a load was still incomplete. */
const floorDecayFactor = 0.995;

/** Shortest time between the floor and the first check of a load, in milliseconds. */
const floorMarginMs = 5;

/**
 * If a load that was expected to come from host memory takes longer than this share of a load from the weight store,
 * the adapter came from the weight store.
 */
const minColdShare = 0.6;

interface LoadTimeEstimate {
    expectedMs: number;
    floorMs: number;
}

/** Learns how long an engine takes to load an adapter. */
export class LoadTimes {
    private readonly cold: LoadTimeEstimate = { expectedMs: initialColdLoadMs, floorMs: 0 };
    private readonly warm: LoadTimeEstimate = { expectedMs: initialWarmLoadMs, floorMs: 0 };

    /** Expected duration of a load, in milliseconds. */
    read(isWarm: boolean): number {
        return (isWarm ? this.warm : this.cold).expectedMs;
    }

    /**
     * Records a complete load.
     * @param ms Time from the load order to the outcome `holds`.
     * @param incompleteMs Time from the load order to the first check that found the load incomplete; undefined if the
     * first check found it complete.
     */
    record(isWarm: boolean, ms: number, incompleteMs: number | undefined): void {
        if (isWarm && ms > this.cold.expectedMs * minColdShare) {
            return;
        }
        const time = isWarm ? this.warm : this.cold;
        if (incompleteMs === undefined) {
            time.floorMs *= floorDecayFactor;
            time.expectedMs = Math.max(time.expectedMs * shorteningFactor, time.floorMs + floorMarginMs);
        }
        else {
            time.floorMs = Math.max(time.floorMs, incompleteMs);
            time.expectedMs += (ms - time.expectedMs) * slowLoadWeight;
        }
        time.expectedMs = Math.min(Math.max(time.expectedMs, minLoadMs), maxLoadMs);
    }
}
