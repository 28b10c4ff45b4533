import type { Reason } from "./reasons.js";

/** The whole answer reached the caller. */
export interface CompleteVerdict {
    readonly kind: "complete";
}

/** No upstream ran the request, and none ever will on behalf of this attempt. */
export interface NotRunVerdict {
    readonly kind: "notRun";
    readonly reason: Reason;
    readonly detail: string;
}

/** Refused before anything was sent to an upstream; a kind of not-run that another attempt inside the system cannot help. */
export interface RefusedVerdict {
    readonly kind: "refused";
    readonly reason: Reason;
    readonly detail: string;
    /** Seconds after which the caller may ask again; undefined where asking again cannot help. */
    readonly retryAfterSeconds?: number;
}

/** An upstream may have acted on the request, and nobody can tell any more. */
export interface MayHaveRunVerdict {
    readonly kind: "mayHaveRun";
    readonly reason: Reason;
    readonly detail: string;
    readonly retryAfterSeconds?: number;
}

/** How a request ended. */
export type Verdict = CompleteVerdict | NotRunVerdict | RefusedVerdict | MayHaveRunVerdict;

/** Every verdict but a complete answer. */
export type FailureVerdict = Exclude<Verdict, CompleteVerdict>;
