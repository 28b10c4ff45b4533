/** Waiting requests of one class for a model. */
export interface Waiting {
    readonly count: number;
    /** Sum of the requests' waiting times, in milliseconds. */
    readonly ageMs: number;
}

/** One gateway's demand for one model. Counts are absolute; arrivals are counted since the gateway's last report. */
export interface ModelDemand {
    readonly model: string;
    readonly paying: Waiting;
    readonly trial: Waiting;
    readonly payingArrivals: number;
    readonly trialArrivals: number;
}

/** State of a model on an engine. Only models in the state `loaded` are leased. */
export type SlotState = "loading" | "loaded" | "revoking" | "evicting";

/** One model on an engine. */
export interface SlotSummary {
    readonly model: string;
    readonly state: SlotState;
    /** Requests that use the model, according to the gateways' renewals. */
    readonly inUse: number;
}

/** State of one engine as its owner reports it. */
export interface EngineSummary {
    readonly id: string;
    readonly slots: number;
    readonly batchRoom: number;
    readonly isLeaving: boolean;
    readonly inFlight: number;
    readonly models: readonly SlotSummary[];
}

/** Outcome of a load. */
export type LoadOutcome = "loaded" | "failed" | "refused";
