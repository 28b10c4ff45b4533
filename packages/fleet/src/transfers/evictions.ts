import { maxConcurrentLoads } from "../forecast.js";
import type { LoadQueue } from "../loadqueue.js";
import type { AdapterSlot } from "../slot.js";
import type { SlotTable } from "../slottable.js";
import type { EvictionRule, LoadNeed } from "./evictionrule.js";

/** Options of {@link EvictionPlanner}. */
export interface EvictionPlannerOptions {
    readonly slots: SlotTable;
    readonly queue: LoadQueue;
    readonly rule: EvictionRule;
}

/** Decides which adapters of one engine are evicted for queued loads, and which for newer versions. */
export class EvictionPlanner {
    constructor(private readonly options: EvictionPlannerOptions) {}

    /**
     * Starts evictions, so that the next loads find free slots.
     * @param queued Keys of the queued adapters that have no slot yet, in load order.
     */
    plan(queued: readonly string[], now: number, countUses: (key: string) => number): void {
        const { slots, queue, rule } = this.options;
        const evicting = [...slots.entries.values()].filter(({ state }) =>
            state === "retiring" || state === "unloading"
        );
        const free = slots.free + evicting.length;
        const nextKeys = queued.slice(0, maxConcurrentLoads);
        for (const key of nextKeys.slice(free)) {
            const load = { maxPopularity: queue.readEvictablePopularity(key, slots.readAdapterLoadMs(key)) };
            this.evictIdle(1, load, now, countUses);
        }
        this.evictIdle(
            nextKeys.length + rule.reservedFreeSlots - Math.max(free, nextKeys.length),
            undefined,
            now,
            countUses,
        );
    }

    /**
     * Starts to evict versions that are too old for the queued requests, once no request uses them. An engine carries
     * out an order to replace a version in use only after its runs, and accepts no other order until then. This can
     * block an engine for several seconds, for example for 3.4 s with 19 loads queued.
     */
    planReplacements(now: number, countUses: (key: string) => number): void {
        for (const [key, slot] of this.options.slots.entries) {
            if (slot.state === "loaded" && this.isOutdated(key, slot) && countUses(key) === 0) {
                this.startEviction(key, now);
            }
        }
    }

    /** Whether queued requests need a newer version of an adapter than the loaded one. */
    isOutdated(key: string, slot: AdapterSlot): boolean {
        return (this.options.queue.find(key)?.version ?? 0) > slot.version;
    }

    /** Starts to evict up to `count` idle adapters that the rule lets go. */
    private evictIdle(
        count: number,
        load: LoadNeed | undefined,
        now: number,
        countUses: (key: string) => number,
    ): void {
        const { slots, queue, rule } = this.options;
        for (let evicted = 0; evicted < count; evicted++) {
            const candidate = rule.chooseCandidate({
                slots: slots.entries,
                now,
                countUses,
                isRequested: key => queue.has(key),
                readReloadMs: key => slots.readAdapterLoadMs(key),
                load,
            });
            if (candidate === undefined) {
                return;
            }
            this.startEviction(candidate, now);
        }
    }

    private startEviction(key: string, now: number): void {
        const { slots } = this.options;
        slots.update(key, slots.find(key)!.version, "retiring", now);
    }
}
