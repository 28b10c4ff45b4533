import type { SoonestLimit } from "./chooser.js";
import type { Job } from "./job.js";
import type { RefusalResponse } from "./refusal.js";

/** Default `Retry-After` of a refusal, in seconds. An owner or an upstream is replaced within some seconds. */
export const retryAfterSeconds = 0.5;

/** The response to a request whose body is longer than allowed. */
export const bodyTooLargeRefusal: RefusalResponse = { status: 413, reason: "bodyTooLarge" };

/**
 * Bounds of `Retry-After` when all engines are full, in seconds. The caller is told to retry after half of the time
 * that its request would have to wait now, so that the remaining wait can fit within the caller's time limit.
 */
const minFullRetrySeconds = 0.25;
const maxFullRetrySeconds = 2;

/** Shortest time after which a caller is told to return that an owner expects, in milliseconds. */
export const minReturnMs = 100;

/**
 * Maximum `Retry-After` when all upstreams are backing off or limited, in seconds. Meanwhile another VM may reach them,
 * and upstreams may be replaced or added.
 */
const maxBackoffRetrySeconds = 30;

/** Creates the response to a request for which all engines are full. @param waitMs How long it would have to wait. */
export function createFullRefusal(waitMs: number): RefusalResponse {
    const halfSeconds = waitMs / 2 / 1000;
    const bounded = Math.min(Math.max(halfSeconds, minFullRetrySeconds), maxFullRetrySeconds);
    return { status: 503, reason: "enginesFull", retryAfterSeconds: bounded };
}

/**
 * Creates the response to a request that all engines declined. From then on, the caller holds the return that an owner
 * has reserved.
 */
export function createDeclinedRefusal(job: Pick<Job, "expectedAt" | "reservedReturn">, now: number): RefusalResponse {
    const { reservedReturn, expectedAt = now } = job;
    if (reservedReturn === undefined) {
        return createFullRefusal(expectedAt - now);
    }
    job.reservedReturn = undefined;
    const { engine, returnAt, isRepeated } = reservedReturn;
    const returnMs = Math.max(minReturnMs, Math.ceil(returnAt - now));
    return {
        status: 503,
        reason: "enginesFull",
        retryAfterSeconds: Math.ceil(returnMs / 10) / 100,
        detail: { returnEngine: engine, returnMs, isRepeated },
    };
}

/** Creates the response to a request whose upstreams are all backing off. @param waitMs Until the first backoff ends. */
export function createBackoffRefusal(waitMs: number): RefusalResponse {
    const backoffSeconds = Math.ceil(waitMs / 10) / 100;
    return {
        status: 503,
        reason: "upstreamsRest",
        retryAfterSeconds: Math.min(backoffSeconds, maxBackoffRetrySeconds),
    };
}

/** Creates the response to a request whose upstreams are all limited. */
export function createLimitRefusal({ upstream, limit, waitMs }: SoonestLimit, now: number): RefusalResponse {
    const waitSeconds = Math.max(retryAfterSeconds, Math.ceil(waitMs / 10) / 100);
    return {
        status: 503,
        reason: "upstreamsLimited",
        retryAfterSeconds: Math.min(waitSeconds, maxBackoffRetrySeconds),
        detail: { upstream, limit: limit.perSecond, limitAgeMs: Math.round(now - limit.since) },
    };
}
