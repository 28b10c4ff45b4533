import type { Reason } from "./reasons.js";

/** The caller received the complete response. */
export interface CompleteVerdict {
    readonly kind: "complete";
}

/** No upstream ran the request, and none will run it later because of this attempt. */
export interface NotRunVerdict {
    readonly kind: "notRun";
    readonly reason: Reason;
    readonly detail: string;
}

/** The request was refused before anything was sent to an upstream, and a retry inside the system cannot succeed. */
export interface RefusedVerdict {
    readonly kind: "refused";
    readonly reason: Reason;
    readonly detail: string;
    /** Seconds after which the caller may retry; undefined if a retry cannot succeed. */
    readonly retryAfterSeconds?: number;
}

/** An upstream may have run the request; whether it did is unknown. */
export interface MayHaveRunVerdict {
    readonly kind: "mayHaveRun";
    readonly reason: Reason;
    readonly detail: string;
    readonly retryAfterSeconds?: number;
}

/** Outcome of a request or of one attempt. */
export type Verdict = CompleteVerdict | NotRunVerdict | RefusedVerdict | MayHaveRunVerdict;

/** Any verdict except a complete response. */
export type FailureVerdict = Exclude<Verdict, CompleteVerdict>;
