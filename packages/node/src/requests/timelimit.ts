import { prefillTokensPerMs } from "@radishreel/fleet";
import type { Route } from "@radishreel/routing";
import type { CallerDemand } from "../ports.js";
import type { StreamProgress } from "./progress.js";

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

/**
 * Longest silence of a sound upstream, in milliseconds. Upstreams stop for a second now and then and go on with all
 * their runs, so a shorter silence shows no failure.
 */
const soundSilenceMs = 1500;

/** Share of the time for which callers wait for the next event after which another upstream is looked for. */
const silentShare = 0.5;

/** Share of that time after which another upstream is looked for, however long the first event should take. */
const lastSearchShare = 0.75;

/**
 * Maximum wait for a plain response before another server is looked for, in milliseconds. It waits at
 * both servers until one of them responds; most respond within 0.1 s.
 */
const plainSilenceMs = 700;

/** Wait for the first byte after which another upstream is looked for, as a factor of the expected time. */
const firstByteFactor = 4;

/** Share of the remaining time after which an attempt elsewhere can no longer help. */
const lastRetryShare = 0.6;

/** Times without data after which an upstream counts as silent, in milliseconds; Infinity if no silence is too long. */
export interface SilenceLimits {
    /** From the start of the attempt until the first byte, or until the first event of a stream. */
    readonly firstMs: number;
    /** Between two chunks of the response. */
    readonly nextMs: number;
}

/** Options of {@link readSilenceLimits}. */
export interface SilenceLimitOptions {
    readonly route: Route;
    /** Expected time until the first byte, in milliseconds. */
    readonly expectedMs: number;
    /** Time until the deadline of the request, in milliseconds. */
    readonly timeLeftMs: number;
    /** Whether another attempt is allowed. */
    readonly mayRetry: boolean;
}

/** Returns how long an upstream may be silent before another one is looked for. */
export function readSilenceLimits(options: SilenceLimitOptions): SilenceLimits {
    const { route, expectedMs, timeLeftMs, mayRetry } = options;
    if (!mayRetry) {
        return { firstMs: Infinity, nextMs: Infinity };
    }
    const callerLimitMs = readCallerLimitMs(route);
    const isStream = route.kind === "stream";
    const limitMs = isStream ? Math.max(soundSilenceMs, callerLimitMs * silentShare) : plainSilenceMs;
    const lastMs = isStream ? callerLimitMs * lastSearchShare : Infinity;
    const firstMs = Math.min(Math.max(limitMs, expectedMs * firstByteFactor), lastMs);
    return { firstMs: firstMs < timeLeftMs * lastRetryShare ? firstMs : Infinity, nextMs: limitMs };
}

/** Returns how long callers wait for the next event of a stream before they disconnect, in milliseconds. */
function readCallerLimitMs({ aimMs, gapAimMs = 0 }: Route): number {
    return Math.max(minCallerLimitMs, aimMs * latencyTargetFactor, gapAimMs * pauseTargetFactor);
}

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
    const readMs = (demand.model?.promptTokens ?? 0) / prefillTokensPerMs;
    const lastReceivedAt = progress.events === 0 ? startedAt : progress.lastEventAt;
    return Math.min(lastAttemptAt, lastReceivedAt + readCallerLimitMs(route) - readMs - refusalMarginMs);
}
