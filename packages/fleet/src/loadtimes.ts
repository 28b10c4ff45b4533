/** Time to load an adapter from the weight store until one has been seen, in milliseconds. */
const startColdLoadMs = 250;

/** Time to load an adapter that the engine keeps in host memory until one has been seen, in milliseconds. */
const startWarmLoadMs = 25;

/** Shortest and longest time that is believed, in milliseconds: a load that hangs must not hold up what is learned. */
const minLoadMs = 5;
const maxLoadMs = 3000;

/** How much earlier the next load is asked about when one was complete at the first question, as a factor. */
const earlierFactor = 0.93;

/** Weight of a load that took longer than expected. */
const longerWeight = 0.5;

/** The time at which a load was seen incomplete holds as a floor; it fades by this factor a load. */
const floorFactor = 0.995;

/** A load is asked about this long after the latest time at which one was seen incomplete, in milliseconds. */
const floorMarginMs = 5;

/** A load taken to be from host memory that takes this share of one from the store was one from the store. */
const coldShare = 0.6;

interface LoadTime {
    expectedMs: number;
    floorMs: number;
}

/** What has been learned of how long an engine takes to load an adapter. */
export class LoadTimes {
    private readonly cold: LoadTime = { expectedMs: startColdLoadMs, floorMs: 0 };
    private readonly warm: LoadTime = { expectedMs: startWarmLoadMs, floorMs: 0 };

    /** Expected time of a load, in milliseconds. */
    read(isWarm: boolean): number {
        return (isWarm ? this.warm : this.cold).expectedMs;
    }

    /**
     * Takes a load that is complete.
     * @param ms Time from its order to the answer that it holds.
     * @param incompleteMs When it was first asked about and not complete; undefined if it was complete then.
     */
    record(isWarm: boolean, ms: number, incompleteMs: number | undefined): void {
        if (isWarm && ms > this.cold.expectedMs * coldShare) {
            return;
        }
        const time = isWarm ? this.warm : this.cold;
        if (incompleteMs === undefined) {
            time.floorMs *= floorFactor;
            time.expectedMs = Math.max(time.expectedMs * earlierFactor, time.floorMs + floorMarginMs);
        }
        else {
            time.floorMs = Math.max(time.floorMs, incompleteMs);
            time.expectedMs += (ms - time.expectedMs) * longerWeight;
        }
        time.expectedMs = Math.min(Math.max(time.expectedMs, minLoadMs), maxLoadMs);
    }
}
