import { maxConcurrentLoads } from "../forecast.js";
import type { LoadQueue } from "../loadqueue.js";
import { readSlotVersion } from "../slot.js";
import type { SlotTable } from "../slottable.js";

/** An adapter used within this time is in demand, in milliseconds: as long as a replaced version may be used. */
const demandWindowMs = 5000;

/** Shortest time between two refreshes of an adapter, in milliseconds: an engine may not get the newest version. */
const repeatMs = 5000;

/** Lifetime of the load request, in milliseconds: an unload, a load, and the loads of requests before it. */
const lifeMs = 1500;

/** Run time in the load request, in milliseconds: the longest that the load order counts, so that requests go first. */
const orderedRunMs = 2000;

/** Options of {@link VersionRefresher}. */
export interface VersionRefresherOptions {
    readonly slots: SlotTable;
    readonly queue: LoadQueue;
    /** Newest announced version of an adapter. */
    readonly findNewest?: ((key: string) => number | undefined) | undefined;
    /** Whether adapters may be refreshed now. @default they never may */
    readonly mayRefresh?: ((now: number) => boolean) | undefined;
}

/**
 * Replaces older versions of adapters in demand once they are idle, so that the newer version is loaded before the older
 * one may no longer be used. The announcement alone requests a load for 350 ms only, which an adapter in use outlasts. A
 * refresh starts only while the engine has a slot and a place for each queued load, and one more place.
 */
export class VersionRefresher {
    private readonly refreshedAt = new Map<string, number>();

    constructor(private readonly options: VersionRefresherOptions) {}

    /**
     * Requests the load of one newer version.
     * @param queued Number of queued adapters that have no slot yet.
     */
    plan(queued: number, now: number, countUses: (key: string) => number): void {
        const { slots, queue, findNewest, mayRefresh } = this.options;
        if (mayRefresh === undefined || findNewest === undefined || !this.hasRoom(queued)) {
            return;
        }
        for (const [key, slot] of slots.entries) {
            const version = slot.state === "loaded" ? findNewest(key) : undefined;
            const isDue = version !== undefined
                && version > readSlotVersion(slot)
                && now - slot.usedAt <= demandWindowMs
                && countUses(key) === 0
                && now - (this.refreshedAt.get(key) ?? -Infinity) >= repeatMs;
            if (isDue && mayRefresh(now)) {
                this.expire(now);
                this.refreshedAt.set(key, now);
                queue.add({ key, version, runMs: orderedRunMs, onTimeMs: -1, lifeMs }, now);
                return;
            }
        }
    }

    private hasRoom(queued: number): boolean {
        const { slots } = this.options;
        const loads = [...slots.entries.values()].filter(({ state }) => state !== "loaded").length;
        return queued <= slots.free && loads + queued < maxConcurrentLoads;
    }

    private expire(now: number): void {
        for (const [key, at] of this.refreshedAt) {
            if (now - at >= repeatMs) {
                this.refreshedAt.delete(key);
            }
        }
    }
}
