import { setTimeout as wait } from "node:timers/promises";
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

/** Options of {@link checkEndedResponse}. */
export interface EndCheckOptions {
    /** Opens a connection to the upstream and closes it. */
    readonly probe: () => Promise<ProbeResult>;
    /** Whether the upstream is leaving, or no longer registered. */
    readonly isLeaving: () => boolean;
}

/**
 * Checks whether an upstream still runs after its connection has ended a response. Unlike a crash, which only counts if
 * it is proven, such an end is doubted without proof: the response is complete only if the result is "open".
 */
export async function checkEndedResponse({ probe, isLeaving }: EndCheckOptions): Promise<ProbeResult | "late"> {
    const result = await runProbe(probe);
    if (result !== "open" || !isLeaving()) {
        return result;
    }
    await wait(exitMs);
    return runProbe(probe);
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
