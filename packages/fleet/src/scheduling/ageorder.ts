import { readEvictablePopularity } from "../slot.js";
import type { LoadOrder, WaitingLoad } from "./order.js";

/**
 * Head start of shorter runs in the load order, as a share of the difference in run time. A run of 50 tokens occupies a
 * slot for 0.5 s, a run of 300 tokens for 3 s. Slots are the bottleneck under heavy load, and six short runs fit into
 * the time of one long run.
 */
const runTimeWeight = 1;

/**
 * Upper bound of the penalty of a long run, in milliseconds: the longest requests must not starve until their time
 * limit.
 */
const maxRunPenaltyMs = 2000;

/**
 * Head start of requests that can still meet their latency target over late ones, in milliseconds. Without it, eight
 * queued loads at each engine make every request late.
 */
const onTimeHeadStartMs = 2000;

/**
 * Orders loads by age, with a head start for requests that can still meet their latency target and for shorter runs, so
 * that long runs cannot occupy all slots. The head starts are bounded, so that age decides in the end.
 */
export class AgeOrder implements LoadOrder {
    list(loads: Iterable<readonly [string, WaitingLoad]>, now: number, loadMs: number): string[] {
        return [...loads]
            .sort(([, left], [, right]) => readSortKey(left, now, loadMs) - readSortKey(right, now, loadMs))
            .map(([key]) => key);
    }

    recordArrival(): void {}

    recordStart(): void {}

    readEvictablePopularity(load: WaitingLoad, loadMs: number): number {
        return readEvictablePopularity(loadMs, load.runMs);
    }

    countReserved(): number {
        return 0;
    }
}

/** Sort key of a queued load, lowest first. */
function readSortKey(load: WaitingLoad, now: number, loadMs: number): number {
    const isOnTime = now + loadMs <= load.onTimeUntil;
    return load.since + Math.min(load.runMs * runTimeWeight, maxRunPenaltyMs) - (isOnTime ? onTimeHeadStartMs : 0);
}
