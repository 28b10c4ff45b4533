import type { EngineReport } from "./events.js";
import type { SlotState } from "./types.js";

/** One model on an engine. */
export interface Slot {
    state: SlotState;
    /** Requests that the engine reported, and when that report was asked for. */
    running: number;
    /** Version of the grant that no longer holds the model. */
    revokedVersion: number;
    /** Until a report asked for after this time shows nothing running, the model may be in use. */
    doubtAt: number;
    /** A report that was asked for before this time does not tell whether the model is there. */
    readonly since: number;
    /** An order to evict the model may still reach the engine: it must not be leased. */
    isEvictionOpen: boolean;
}

/** One engine in the eyes of its owner. */
export interface OwnedEngine {
    readonly id: string;
    readonly address: string;
    instance: string | undefined;
    /** Own fencing token; undefined until the engine took it. */
    fence: number | undefined;
    /** Highest token that the engine has reported. */
    seenFence: number;
    claimingFence: number | undefined;
    nextClaimAt: number;
    /** An order with the own token may be delayed on the network: a higher token makes it void. */
    mustReclaim: boolean;
    slots: number;
    batchRoom: number;
    isLeaving: boolean;
    reportAskedAt: number;
    /** After a change of owner, gateways may hold leases that this owner never gave. */
    noEvictionBefore: number;
    readonly models: Map<string, Slot>;
    /** When models were evicted; a report that was asked for before may still list them. */
    readonly evictedAt: Map<string, number>;
}

/** An engine of which nothing is known yet. */
export function createEngine(engineId: string, address: string): OwnedEngine {
    return {
        id: engineId,
        address,
        instance: undefined,
        fence: undefined,
        seenFence: 0,
        claimingFence: undefined,
        nextClaimAt: 0,
        mustReclaim: false,
        slots: 0,
        batchRoom: 0,
        isLeaving: false,
        reportAskedAt: -Infinity,
        noEvictionBefore: Infinity,
        models: new Map(),
        evictedAt: new Map(),
    };
}

/**
 * Takes what an engine says it has loaded, save for what has changed since it was asked. Returns whether what may be
 * leased has changed.
 */
export function applyReportedModels(engine: OwnedEngine, report: EngineReport): boolean {
    let changed = false;
    const reported = new Map(report.adapters.map(adapter => [adapter.model, adapter.running]));
    for (const [model, slot] of engine.models) {
        const running = reported.get(model);
        slot.running = running ?? 0;
        if (running === undefined && slot.state !== "loading" && report.askedAt >= slot.since) {
            engine.models.delete(model);
            changed = true;
        }
    }
    for (const [model, running] of reported) {
        const evictedAt = engine.evictedAt.get(model);
        const isOutdated = evictedAt !== undefined && report.askedAt <= evictedAt;
        if (!engine.models.has(model) && !isOutdated) {
            // Before the claim there is no time to count from; the claim itself sets the doubt then.
            const doubtAt = engine.fence === undefined ? -Infinity : engine.noEvictionBefore;
            engine.models.set(model, {
                state: "loaded",
                running,
                revokedVersion: 0,
                doubtAt,
                since: report.askedAt,
                isEvictionOpen: false,
            });
            changed = true;
        }
    }
    for (const [model, evictedAt] of engine.evictedAt) {
        if (report.askedAt > evictedAt) {
            engine.evictedAt.delete(model);
        }
    }
    return changed;
}
