import type { FleetView, Upstream } from "@radishreel/fleet";
import { setTimeout as wait } from "node:timers/promises";
import type { DecisionLog } from "../decisions.js";
import type { ProbeResult } from "../paths/index.js";

/**
 * Longest wait for a probe, in milliseconds: time for a direct connection that gets no reply, and for other VMs that are
 * asked meanwhile.
 */
const probeLimitMs = 1000;

/**
 * Pause before a leaving upstream is probed once more, in milliseconds: while a process exits, its connections may close
 * some time before its port does.
 */
const exitMs = 100;

/** A response whose connection has ended it. */
export interface EndedResponse {
    readonly requestId: string | undefined;
}

/** Options of {@link checkEndedResponse}. */
export interface EndCheckOptions {
    readonly view: Pick<FleetView, "isUsable">;
    readonly log: Pick<DecisionLog, "record">;
    readonly readTime: () => number;
    /** Opens a connection to an upstream and closes it. */
    readonly probe: (upstream: Upstream) => Promise<ProbeResult>;
}

/**
 * Checks whether an upstream may have ended when its connection has ended a response. Unlike a crash, which only counts
 * if it is proven, such an end is doubted without proof: the response is complete only if the upstream opens another
 * connection.
 */
export async function checkEndedResponse(
    upstream: Upstream,
    { requestId }: EndedResponse,
    { view, log, readTime, probe }: EndCheckOptions,
): Promise<boolean> {
    const startedAt = readTime();
    let result = await runProbe(() => probe(upstream));
    // A leaving upstream, or one that is no longer registered, may be about to exit.
    if (result === "open" && !view.isUsable(upstream.id)) {
        await wait(exitMs);
        result = await runProbe(() => probe(upstream));
    }
    const mayHaveEnded = result !== "open";
    log.record(mayHaveEnded ? "endDoubted" : "endConfirmed", {
        request: requestId,
        upstream: upstream.id,
        result,
        ms: Math.round(readTime() - startedAt),
    });
    return mayHaveEnded;
}

async function runProbe(probe: () => Promise<ProbeResult>): Promise<ProbeResult | "late"> {
    const finished = new AbortController();
    const late = wait(probeLimitMs, "late" as const, { signal: finished.signal }).catch(() => "late" as const);
    try {
        return await Promise.race([probe(), late]);
    }
    finally {
        finished.abort();
    }
}
