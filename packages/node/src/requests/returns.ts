import type { UpstreamState } from "@radishreel/fleet";
import { createHash } from "node:crypto";
import type { Admissions, DeclinedOutcome } from "./admissions.js";
import { cancelReturn, isExcluded, type Job, type ReadyUpstream } from "./job.js";
import type { RefusalReason, RefusalResponse } from "./refusal.js";
import { minReturnMs, retryAfterSeconds } from "./refusals.js";

/** How long an engine whose owner declined a request is penalised for that request, in milliseconds. */
const declinedPauseMs = 400;

/** Part of their remaining time up to which callers honour `Retry-After`. */
const maxReturnShare = 1 / 3;

/** Length of the key of a returning request, in hexadecimal digits: 96 bits. */
const keyDigits = 24;

/** The return of a refused caller, as the owner of an engine has reserved it. */
export interface ReservedReturn {
    readonly engine: string;
    readonly returnAt: number;
    /** Whether the caller was told this time before. */
    readonly isRepeated: boolean;
    readonly cancel: () => void;
}

/**
 * Formats the key by which owners recognize a request that returns. It is the same at every VM, and covers what differs
 * between requests that have the same body.
 */
export function formatReturnKey({ digest, demand }: Pick<Job, "digest" | "demand">): string {
    const content = JSON.stringify([digest.full, demand.model, demand.lastEventId]);
    return createHash("sha256").update(content).digest("hex").slice(0, keyDigits);
}

/** Records that the owner of an engine has declined a request, and when the caller may return there. */
export function recordDeclined(job: Job, engine: string, outcome: DeclinedOutcome, now: number): void {
    job.tried.set(engine, { costMs: outcome.expectedMs, until: now + declinedPauseMs, hasDeclined: true });
    job.expectedAt = Math.min(job.expectedAt ?? Infinity, now + outcome.expectedMs);
    const { returnMs, isRepeated = false, cancelReturn: cancel = () => {} } = outcome;
    if (returnMs === undefined) {
        return;
    }
    const offered: ReservedReturn = { engine, returnAt: now + returnMs, isRepeated, cancel };
    const current = job.reservedReturn;
    if (isRepeated && current?.engine === engine) {
        // The owner has kept the reservation that it made for this request.
        return;
    }
    if (current !== undefined && !isBetter(offered, current)) {
        offered.cancel();
        return;
    }
    cancelReturn(job);
    job.reservedReturn = offered;
}

/**
 * Whether an engine that cannot be chosen now may serve a request later: not one on which the request has already
 * failed, and none that is about to end. Without reserved returns, any engine may.
 */
export function mayServeLater(
    job: Job,
    { upstream, shutdownAt = Infinity }: UpstreamState,
    { hasReturns }: Pick<Admissions, "hasReturns">,
    now: number,
): boolean {
    return !hasReturns || (!isExcluded(job.tried.get(upstream.id)) && shutdownAt > now);
}

/** Returns an upstream that is ready for a request, whose caller need not return. */
export function finishReady(job: Job, ready: ReadyUpstream): ReadyUpstream {
    cancelReturn(job);
    return ready;
}

/**
 * Creates the response to a request that no upstream takes. With reserved returns, `Retry-After` fits the caller's time,
 * and callers that are refused together return spread out.
 */
export function createBusyRefusal(
    { deadlineAt }: Pick<Job, "deadlineAt">,
    reason: RefusalReason,
    now: number,
    hasReturns: boolean,
): RefusalResponse {
    const maxMs = Math.min(retryAfterSeconds * 1000, (deadlineAt - now) * maxReturnShare);
    // A caller with less time than that cannot return in time.
    if (!hasReturns || maxMs <= minReturnMs) {
        return { status: 503, reason, retryAfterSeconds };
    }
    const returnMs = minReturnMs + Math.random() * (maxMs - minReturnMs);
    return { status: 503, reason, retryAfterSeconds: Math.floor(returnMs / 10) / 100 };
}

/** A time that the caller was told before counts most, then the earlier time: each caller holds one reservation. */
function isBetter(offered: ReservedReturn, current: ReservedReturn): boolean {
    return offered.isRepeated === current.isRepeated ? offered.returnAt < current.returnAt : offered.isRepeated;
}
