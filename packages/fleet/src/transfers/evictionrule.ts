import {
    type AdapterSlot,
    chooseEvictionCandidate,
    isEvictable,
    minPopularUses,
    readRate,
    readUseRate,
} from "../slot.js";

/** A queued load that needs a slot. */
export interface LoadNeed {
    /** Highest popularity, in recent uses, of an idle adapter that is evicted for the load. */
    readonly maxPopularity: number;
}

/** Criteria for the choice of the adapter to evict. */
export interface EvictionQuery {
    readonly slots: ReadonlyMap<string, AdapterSlot>;
    readonly now: number;
    readonly countUses: (key: string) => number;
    /** Whether requests are queued for an adapter. */
    readonly isRequested: (key: string) => boolean;
    /** Expected time to load an evicted adapter again, in milliseconds. */
    readonly readReloadMs: (key: string) => number;
    /** The load that needs the slot; undefined if the slot is to be kept free for a later load. */
    readonly load: LoadNeed | undefined;
}

/** Decides which idle adapter is evicted, and how many slots are kept free. */
export interface EvictionRule {
    /** Number of slots kept free if possible, so that a load need not wait for an eviction. */
    readonly reservedFreeSlots: number;
    /** Chooses an idle adapter to evict; undefined if none may be evicted. */
    chooseCandidate(query: EvictionQuery): string | undefined;
}

/** Evicts the idle adapter with the fewest recent uses. */
export class PopularityEviction implements EvictionRule {
    readonly reservedFreeSlots = 1;

    chooseCandidate(query: EvictionQuery): string | undefined {
        const { load } = query;
        const maxPopularity = load === undefined ? minPopularUses : load.maxPopularity;
        return chooseEvictionCandidate({ ...query, maxPopularity });
    }
}

/**
 * Cost of an idle adapter, in milliseconds of load time per millisecond, up to which it is evicted to keep a slot free.
 * A load that finds no free slot waits some 2 ms for the unload order, and an engine under heavy load starts about one
 * load a second. At 0.005 the hit rate is lower by 0.005 to 0.013 of Belady's (`test/adapterfleet.ts`).
 */
const reserveCostRate = 0.002;

/**
 * Evicts the idle adapter that is expected to cost the least load time: the rate of its requests, by frequency and
 * recency, times the duration of its next load, which is a tenth if the engine has it in host memory.
 */
export class ReloadCostEviction implements EvictionRule {
    readonly reservedFreeSlots = 1;

    chooseCandidate(query: EvictionQuery): string | undefined {
        const { slots, now, countUses, isRequested, readReloadMs, load } = query;
        const maxRate = load === undefined ? Infinity : readRate(load.maxPopularity);
        let candidate: string | undefined;
        let lowestCost = load === undefined ? reserveCostRate : Infinity;
        for (const [key, slot] of slots) {
            if (!isEvictable(key, slot, now, countUses) || isRequested(key)) {
                continue;
            }
            const rate = readUseRate(slot, now);
            const cost = rate * readReloadMs(key);
            if (rate < maxRate && cost < lowestCost) {
                lowestCost = cost;
                candidate = key;
            }
        }
        return candidate;
    }
}
