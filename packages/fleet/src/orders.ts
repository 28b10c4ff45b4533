import type { HeldModel } from "./types.js";

/** What an order does. */
export type OrderAction = "load" | "unload";

/** One order to an engine. */
export interface EngineOrder {
    readonly action: OrderAction;
    readonly model: string;
    /** Missing for a base model. */
    readonly adapter: string | undefined;
    /** Version to load; the newest one if missing. */
    readonly version: number | undefined;
    /** Orders that the engine must have accepted before, for this one to be accepted. */
    readonly expectedSequence: number;
}

/** What an engine said to an order. */
export type OrderAnswer =
    /** It is being carried out. */
    | "accepted"
    /** What it asks for holds already. */
    | "holds"
    /** Another order is under way, or the sequence is not the expected one. */
    | "conflict"
    /** A newer owner has given orders. */
    | "fenced"
    /** Another incarnation has the address. */
    | "gone"
    /** The engine knows no such order, model or adapter. */
    | "rejected"
    /** No connection could be opened: it was not sent. */
    | "unreachable"
    /** Nothing was heard: it may be carried out, now or later. */
    | "unknown";

/** An engine's report of what it holds. */
export interface EngineReport {
    readonly models: readonly HeldModel[];
    /** Adapter keys on their way. */
    readonly coming: readonly string[];
    readonly sequence: number;
    /** Whether an order for a base model is under way. */
    readonly isBusy: boolean;
}

/** What the owner of an engine should do next. */
export type PlacesStep =
    | { readonly kind: "order"; readonly order: EngineOrder; }
    | { readonly kind: "report"; }
    | { readonly kind: "wait"; readonly untilMs: number; };
