import type { Reason } from "./reasons.js";
import type { MayHaveRunVerdict, NotRunVerdict, RefusedVerdict } from "./types.js";

/** Creates the verdict of an attempt that no upstream ran. */
export function createNotRun(reason: Reason, detail: string): NotRunVerdict {
    return { kind: "notRun", reason, detail };
}

/**
 * Creates the verdict of a request that was refused before anything was sent to an upstream.
 * @param retryAfterSeconds Omitted if a retry by the caller cannot succeed.
 */
export function createRefused(reason: Reason, detail: string, retryAfterSeconds?: number): RefusedVerdict {
    return { kind: "refused", reason, detail, retryAfterSeconds };
}

/** Creates the verdict of an attempt that an upstream may have run. */
export function createMayHaveRun(reason: Reason, detail: string, retryAfterSeconds?: number): MayHaveRunVerdict {
    return { kind: "mayHaveRun", reason, detail, retryAfterSeconds };
}
