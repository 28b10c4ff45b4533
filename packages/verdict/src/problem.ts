import type { Reason } from "./reasons.js";
import type { FailureVerdict } from "./types.js";

/** Media type of {@link Problem}, from RFC 9457. */
export const problemMediaType = "application/problem+json";

/** Prefix of the `type` of every problem, before the reason. */
export const problemTypePrefix = "urn:radishreel:problem:";

/** A problem document (RFC 9457) with the verdict and the reason as extension members. */
export interface Problem {
    readonly type: string;
    readonly title: string;
    readonly status: number;
    readonly detail: string;
    readonly reason: Reason;
    /** `not-run`: no upstream ran the request. `may-have-run`: an upstream may have run the request. */
    readonly verdict: "not-run" | "may-have-run";
    readonly retryAfterSeconds?: number;
}

/** HTTP status by reason; reasons that are not listed map to 503. */
const statusByReason: Partial<Record<Reason, number>> = {
    unknownKey: 401,
    unknownAdapter: 404,
    unknownService: 404,
    unknownRoute: 404,
    notAllowed: 403,
    malformedBody: 400,
    oversizedBody: 413,
    bodyLate: 408,
    malformedDeadline: 400,
    requestTokenRequired: 428,
    malformedRequestToken: 400,
    requestTokenExpired: 410,
    requestTokenOfAnother: 403,
    requestTokenInUse: 409,
    requestTokenSpent: 409,
    requestTokenMismatch: 422,
    issuerGone: 409,
    deadlinePassed: 504,
    queueFull: 429,
    connectionLost: 502,
    upstreamFailed: 502,
    upstreamSilent: 504,
    wrongModel: 502,
    truncatedAnswer: 502,
    malformedAnswer: 502,
};

const defaultStatus = 503;

/** Creates the problem document that reports `verdict` to the caller. */
export function createProblem(verdict: FailureVerdict): Problem {
    return {
        type: problemTypePrefix + verdict.reason,
        title: verdict.kind === "mayHaveRun" ? "The request may have run" : "The request was not run",
        status: statusByReason[verdict.reason] ?? defaultStatus,
        detail: verdict.detail,
        reason: verdict.reason,
        verdict: verdict.kind === "mayHaveRun" ? "may-have-run" : "not-run",
        retryAfterSeconds: "retryAfterSeconds" in verdict ? verdict.retryAfterSeconds : undefined,
    };
}
