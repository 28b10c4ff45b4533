import type { EngineReport } from "./events.js";
import type { SlotState } from "./types.js";

/** Adapter slot of an engine that holds a model. */
export interface Slot {
    state: SlotState;
    /** Running requests that the engine last reported. */
    running: number;
    /** Version of the first grant without the model. */
    revokedVersion: number;
    /** The model may be in use until a report requested after this time shows no running requests. */
    uncertainAt: number;
    /** A report requested before this time does not show whether the engine holds the model. */
    readonly changedAt: number;
    /** An order to evict the model may still reach the engine, so the model must not be leased. */
    isEvictionPending: boolean;
}

/** Owner's state of one engine. */
export interface OwnedEngine {
    readonly id: string;
    readonly address: string;
    instance: string | undefined;
    /** The owner's fencing token; undefined until the engine has accepted it. */
    fence: number | undefined;
    /** Token in the engine's last report. */
    reportedFence: number;
    claimingFence: number | undefined;
    nextClaimAt: number;
    /** An order with the current token may be delayed in the network; claiming a higher token voids it. */
    mustReclaim: boolean;
    slots: number;
    batchRoom: number;
    isLeaving: boolean;
    reportAskedAt: number;
    /** After a change of owner, gateways may hold leases from the previous owner until this time. */
    noEvictionBefore: number;
    readonly models: Map<string, Slot>;
    /** Eviction time of each model; a report requested before that time may still list the model. */
    readonly evictedAt: Map<string, number>;
}

/** Creates the state of an engine that has not reported yet. */
export function createEngine(engineId: string, address: string): OwnedEngine {
    return {
        id: engineId,
        address,
        instance: undefined,
        fence: undefined,
        reportedFence: 0,
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
 * Applies the list of loaded models from an engine's report, except for models that changed after the report was
 * requested. Returns whether the set of leasable models has changed.
 */
export function applyReportedModels(engine: OwnedEngine, report: EngineReport): boolean {
    let changed = false;
    const reported = new Map(report.adapters.map(adapter => [adapter.model, adapter.running]));
    for (const [model, slot] of engine.models) {
        const running = reported.get(model);
        slot.running = running ?? 0;
        if (running === undefined && slot.state !== "loading" && report.askedAt >= slot.changedAt) {
            engine.models.delete(model);
            changed = true;
        }
    }
    for (const [model, running] of reported) {
        const evictedAt = engine.evictedAt.get(model);
        const isOutdated = evictedAt !== undefined && report.askedAt <= evictedAt;
        if (!engine.models.has(model) && !isOutdated) {
            // Before the claim there is no time to count from; receiveClaimed() sets `uncertainAt` in that case.
            const uncertainAt = engine.fence === undefined ? -Infinity : engine.noEvictionBefore;
            engine.models.set(model, {
                state: "loaded",
                running,
                revokedVersion: 0,
                uncertainAt,
                changedAt: report.askedAt,
                isEvictionPending: false,
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
