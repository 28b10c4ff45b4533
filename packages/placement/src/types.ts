/** Requests of one class that wait for a model. */
export interface Waiting {
    readonly count: number;
    /** Sum of the time they have waited, in milliseconds. */
    readonly ageMs: number;
}

/** What one gateway wants of one model. Counts are absolute, arrivals are since its last word. */
export interface ModelDemand {
    readonly model: string;
    readonly paying: Waiting;
    readonly trial: Waiting;
    readonly payingArrivals: number;
    readonly trialArrivals: number;
}

/** State of a model on an engine. Only `loaded` ones are leased. */
export type SlotState = "loading" | "loaded" | "revoking" | "evicting";

/** One model on an engine. */
export interface SlotSummary {
    readonly model: string;
    readonly state: SlotState;
    /** Requests that use it, as far as is known. */
    readonly inUse: number;
}

/** One engine as its owner sees it. */
export interface EngineSummary {
    readonly id: string;
    readonly slots: number;
    readonly batchRoom: number;
    readonly isLeaving: boolean;
    readonly inFlight: number;
    readonly models: readonly SlotSummary[];
}

/** How a load ended. */
export type LoadOutcome = "loaded" | "failed" | "refused";
