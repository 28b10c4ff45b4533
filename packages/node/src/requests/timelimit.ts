import { prefillTokensPerMs } from "@radishreel/fleet";
import type { Route } from "@radishreel/routing";
import type { CallerDemand } from "../ports.js";
import type { StreamProgress } from "./attempt.js";

/** Minimum time that must be left before a request's deadline for another attempt, in milliseconds. */
export const minAttemptMs = 60;

/**
 * Callers wait for the next event of a stream, including the first one, before they disconnect, for the longest of 2 s,
 * four times the route's latency target and eight times its target for pauses. The minimum is in milliseconds.
 */
const minCallerLimitMs = 2000;
const latencyTargetFactor = 4;
const pauseTargetFactor = 8;

/**
 * How long before the caller's time limit a request without an upstream is refused, in milliseconds. The refusal must
 * reach the caller in time for the caller to retry instead of disconnecting.
 */
const refusalMarginMs = 150;

/** The properties of a request that determine how long it may wait for an upstream. */
export interface WaitingRequest {
    readonly route: Route;
    readonly demand: CallerDemand;
    readonly startedAt: number;
    readonly deadlineAt: number;
    readonly progress: StreamProgress;
}

/**
 * Returns the latest time at which a request can be sent so that its response starts before the caller disconnects.
 * Holding a request longer only keeps its caller from retrying elsewhere: under heavy load, callers leave streams after
 * 4 s while the requests still have up to 11 s until their deadlines.
 */
export function readLastSendAt(request: WaitingRequest): number {
    const { route, demand, startedAt, deadlineAt, progress } = request;
    const lastAttemptAt = deadlineAt - minAttemptMs;
    if (route.kind !== "stream") {
        return lastAttemptAt;
    }
    const callerLimitMs = Math.max(
        minCallerLimitMs,
        route.aimMs * latencyTargetFactor,
        (route.gapAimMs ?? 0) * pauseTargetFactor,
    );
    const readMs = (demand.model?.promptTokens ?? 0) / prefillTokensPerMs;
    const lastReceivedAt = progress.events === 0 ? startedAt : progress.lastEventAt;
    return Math.min(lastAttemptAt, lastReceivedAt + callerLimitMs - readMs - refusalMarginMs);
}
