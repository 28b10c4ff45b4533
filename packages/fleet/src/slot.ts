import { firstVersion } from "./versions.js";

/** Half-life of an adapter's popularity, in milliseconds: demand shifts to other adapters within seconds. */
const popularityHalfLifeMs = 8000;

/**
 * An adapter with this many recent uses is not evicted only to keep a slot free. At a half-life of 8 s this means about
 * one request in 5 s.
 */
export const minPopularUses = 2.5;

/** Shortest idle time before an adapter may be evicted, in milliseconds: its next request may be in transit. */
const minIdleMs = 150;

/**
 * Shortest time that an unused adapter stays loaded, in milliseconds. When slots are scarce it would otherwise be
 * evicted before the first request that waited for it arrives.
 */
const minLoadedMs = 400;

/** Lower bound of the time for which a queued request is expected to occupy a slot, in milliseconds. */
const minOccupancyMs = 200;

/** An occupied adapter slot of an engine, as its owner knows it. */
export interface AdapterSlot {
    /** `retiring`: no more requests are admitted, and an unload order follows. */
    state: "loaded" | "loading" | "retiring" | "unloading" | "unknown";
    /** 0 if the adapter was ordered without a version, since the operator had announced none. */
    version: number;
    checkAt: number;
    checkPauseMs: number;
    /** When the state or the version last changed. */
    changedAt: number;
    /** Sequence of the report that last named the adapter; undefined if an order of this owner has changed it since. */
    reportedSequence: number | undefined;
    /** Expected duration of the load, in milliseconds. */
    expectedMs: number;
    /** Time from the load order to the first check that found the load overdue, in milliseconds; undefined before. */
    incompleteMs: number | undefined;
    /** Whether the engine was expected to have the adapter in host memory when the load started. */
    isWarm: boolean;
    usedAt: number;
    popularity: number;
    decayedAt: number;
}

/** Version of the adapter in a slot: the first version if the adapter was ordered without one. */
export function readSlotVersion({ version }: AdapterSlot): number {
    return version === 0 ? firstVersion : version;
}

/** Whether an adapter is loading, or may be loading after an order with unknown outcome. */
export function isLoading(slot: AdapterSlot): boolean {
    return slot.state === "loading" || slot.state === "unknown";
}

/** Number of recent uses of an adapter, with exponential decay. */
export function readPopularity(slot: AdapterSlot, now: number): number {
    return slot.popularity * 0.5 ** (Math.max(0, now - slot.decayedAt) / popularityHalfLifeMs);
}

/**
 * Expected uses of an adapter per millisecond: its recent uses, but not more than one in the time for which it has been
 * idle. An adapter that was requested often before demand shifted would otherwise keep its slot for tens of seconds.
 */
export function readUseRate(slot: AdapterSlot, now: number): number {
    const idleMs = Math.max(1, now - Math.max(slot.usedAt, slot.changedAt));
    return Math.min(readRate(readPopularity(slot, now)), 1 / idleMs);
}

/** Uses per millisecond that keep an adapter at a popularity. */
export function readRate(popularity: number): number {
    return popularity * Math.LN2 / popularityHalfLifeMs;
}

/** Counts one use of the adapter in a slot. */
export function recordSlotUse(slot: AdapterSlot, now: number): void {
    slot.popularity = readPopularity(slot, now) + 1;
    slot.decayedAt = now;
    slot.usedAt = now;
}

/**
 * Popularity up to which an idle adapter is evicted for a queued one. A slot serves the queued adapter once in the time
 * of a load and a run; an adapter that is requested more often than that serves more requests in the slot. A minimum
 * wait before a popular adapter is evicted would leave requests queued beside idle adapters: with a wait of 600 ms,
 * 0.900 of the requests at an overloaded engine are within their latency target, with this rule 0.922
 * (`test/hotset.test.ts`).
 */
export function readEvictablePopularity(loadMs: number, runMs: number): number {
    return popularityHalfLifeMs / Math.LN2 / Math.max(loadMs + runMs, minOccupancyMs);
}

/** Whether an adapter is loaded, unused and has been idle for long enough to be evicted. */
export function isEvictable(
    key: string,
    slot: AdapterSlot,
    now: number,
    countUses: (key: string) => number,
): boolean {
    return slot.state === "loaded"
        && countUses(key) === 0
        && now - slot.usedAt >= minIdleMs
        && (slot.usedAt > slot.changedAt || now - slot.changedAt >= minLoadedMs);
}

/** Criteria for the choice of an eviction candidate. */
interface EvictionQuery {
    readonly slots: ReadonlyMap<string, AdapterSlot>;
    readonly now: number;
    readonly countUses: (key: string) => number;
    /** Whether requests are queued for an adapter. */
    readonly isRequested: (key: string) => boolean;
    readonly maxPopularity: number;
}

/** Chooses the idle adapter with the lowest popularity, whose next request is least likely to come soon. */
export function chooseEvictionCandidate(query: EvictionQuery): string | undefined {
    const { slots, now, countUses, isRequested } = query;
    let candidate: string | undefined;
    let lowest = query.maxPopularity;
    for (const [key, slot] of slots) {
        const popularity = readPopularity(slot, now);
        if (isEvictable(key, slot, now, countUses) && !isRequested(key) && popularity < lowest) {
            lowest = popularity;
            candidate = key;
        }
    }
    return candidate;
}

/** Number of an engine's slots by use. */
export interface SlotCounts {
    inUse: number;
    popular: number;
    idle: number;
    moving: number;
    free: number;
}

/** Counts an engine's slots by use, for logs and status pages. */
export function countSlotsByUse(
    slots: ReadonlyMap<string, AdapterSlot>,
    total: number,
    now: number,
    countUses: (key: string) => number,
): SlotCounts {
    const counts: SlotCounts = { inUse: 0, popular: 0, idle: 0, moving: 0, free: total - slots.size };
    for (const [key, slot] of slots) {
        if (slot.state !== "loaded") {
            counts.moving += 1;
        }
        else if (countUses(key) > 0) {
            counts.inUse += 1;
        }
        else if (readPopularity(slot, now) >= minPopularUses) {
            counts.popular += 1;
        }
        else {
            counts.idle += 1;
        }
    }
    return counts;
}
