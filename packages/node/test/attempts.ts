import { Attempt, type AttemptOptions } from "../src/requests/attempt.js";
import { plainDialect, plainRouting } from "./changingserver.js";

/** Starts an attempt on a new connection, without limits of time unless the options name them. */
export function createAttempt(
    options: Pick<AttemptOptions, "caller" | "pool" | "address"> & Partial<AttemptOptions>,
): Attempt {
    const { timeLeftMs = 60_000 } = options;
    return new Attempt({
        requestId: "q",
        route: plainRouting.routes[0]!,
        body: undefined,
        dialect: plainDialect,
        upstreamId: "s1",
        send: {
            upstreamName: "s1",
            budgetMs: timeLeftMs,
            version: 1,
            lastEventId: undefined,
            priority: undefined,
        },
        isFresh: true,
        progress: {
            lastEventId: undefined,
            events: 0,
            firstEventAt: undefined,
            lastEventAt: 0,
            longestPauseMs: 0,
        },
        silenceLimits: { firstMs: 60_000, nextMs: 60_000 },
        readStartLimitMs: () => Infinity,
        timeLeftMs,
        readTime: () => performance.now(),
        checkBeforeSend: () => true,
        onMetadata: () => {},
        onStart: () => {},
        ...options,
    });
}
