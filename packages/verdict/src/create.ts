import type { Reason } from "./reasons.js";
import type { MayHaveRunVerdict, NotRunVerdict, RefusedVerdict } from "./types.js";

/** An attempt that no upstream ran. */
export function createNotRun(reason: Reason, detail: string): NotRunVerdict {
    return { kind: "notRun", reason, detail };
}

/** A refusal before any upstream was asked. `retryAfterSeconds` is left out where asking again cannot help. */
export function createRefused(reason: Reason, detail: string, retryAfterSeconds?: number): RefusedVerdict {
    return { kind: "refused", reason, detail, retryAfterSeconds };
}

/** An attempt that an upstream may have run. */
export function createMayHaveRun(reason: Reason, detail: string, retryAfterSeconds?: number): MayHaveRunVerdict {
    return { kind: "mayHaveRun", reason, detail, retryAfterSeconds };
}
