import { type HeldModel, parseAdapterKey } from "./types.js";

/** Action of an order. */
export type OrderAction = "load" | "unload";

/** One order to an engine. */
export interface EngineOrder {
    readonly action: OrderAction;
    readonly model: string;
    /** Undefined for a base model. */
    readonly adapter: string | undefined;
    /** Version to load; undefined for the newest version. */
    readonly version: number | undefined;
    /** Number of orders that the engine must have accepted before this one; otherwise the outcome is `conflict`. */
    readonly expectedSequence: number;
}

/** Outcome of an order. */
export type OrderOutcome =
    /** The engine is carrying out the order. */
    | "accepted"
    /** The engine is already in the requested state. */
    | "holds"
    /** Another order is in progress, or the engine's sequence differs from the expected one. */
    | "conflict"
    /** A newer owner has sent orders, so this owner's fencing token is outdated. */
    | "fenced"
    /** Another incarnation uses the address. */
    | "gone"
    /** The engine knows no such order, model or adapter. */
    | "rejected"
    /** No connection could be opened, so the order was not sent. */
    | "unreachable"
    /** No connection was opened in time, so the order was not sent. */
    | "silent"
    /** No response arrived: the engine may carry out the order, now or later. */
    | "unknown";

/** An engine's report of its models, adapters and orders. */
export interface EngineReport {
    readonly models: readonly HeldModel[];
    /** Keys of adapters that are loading. */
    readonly coming: readonly string[];
    readonly sequence: number;
    /** Whether an order for a base model is in progress. */
    readonly isBusy: boolean;
}

/** The next step of the owner of an engine. */
export type PlannerStep =
    | { readonly kind: "order"; readonly order: EngineOrder; }
    | { readonly kind: "report"; }
    | { readonly kind: "wait"; readonly untilMs: number; };

/** Creates an order for an adapter. A load without a version (0) loads whichever version the engine finds. */
export function createAdapterOrder(
    action: OrderAction,
    key: string,
    version: number | undefined,
    expectedSequence: number,
): EngineOrder {
    const { model, adapter } = parseAdapterKey(key);
    const requested = action === "load" && version !== 0 ? version : undefined;
    return { action, model, adapter, version: requested, expectedSequence };
}

/** Creates an order to load a base model. */
export function createModelOrder(model: string, expectedSequence: number): EngineOrder {
    return { action: "load", model, adapter: undefined, version: undefined, expectedSequence };
}
