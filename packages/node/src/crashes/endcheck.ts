import type { FleetView, Upstream } from "@radishreel/fleet";
import { setTimeout as wait } from "node:timers/promises";
import { scheduleWhileAwake } from "../clock.js";
import type { DecisionLog } from "../decisions.js";
import type { IncarnationCheck, IncarnationResult, KnownRun } from "./incarnations.js";

/** Longest wait for a check, in milliseconds: a sound upstream may be silent for a second. */
const checkLimitMs = 1500;

/**
 * Pause before a leaving upstream is checked once more, in milliseconds: while a process exits, its connections may close
 * some time before it ends.
 */
const exitMs = 100;

/** A response whose connection has ended it. */
export interface EndedResponse extends KnownRun {
    readonly requestId: string | undefined;
}

/** Options of {@link checkEndedResponse}. */
export interface EndCheckOptions {
    readonly view: Pick<FleetView, "isUsable">;
    readonly log: Pick<DecisionLog, "record">;
    readonly readTime: () => number;
    readonly incarnations: IncarnationCheck;
}

/**
 * Checks whether an upstream may have ended when its connection has ended a response. Unlike a crash, which only counts
 * if it is proven, such an end is doubted without proof: the response is complete only if the same incarnation is shown
 * to run afterwards. Whatever else accepts connections at its address by then shows nothing.
 */
export async function checkEndedResponse(
    upstream: Upstream,
    response: EndedResponse,
    { view, log, readTime, incarnations }: EndCheckOptions,
): Promise<boolean> {
    const startedAt = readTime();
    const check = (): Promise<IncarnationResult> => incarnations.checkRunning(upstream, response);
    let result = await runCheck(check);
    // A leaving upstream, or one that is no longer registered, may be about to exit.
    if (result === "same" && !view.isUsable(upstream.id)) {
        await wait(exitMs);
        result = await runCheck(check);
    }
    const mayHaveEnded = result !== "same";
    log.record(mayHaveEnded ? "endDoubted" : "endConfirmed", {
        request: response.requestId,
        upstream: upstream.id,
        result,
        ms: Math.round(readTime() - startedAt),
    });
    return mayHaveEnded;
}

async function runCheck(check: () => Promise<IncarnationResult>): Promise<IncarnationResult | "late"> {
    return new Promise((resolve, reject) => {
        const timer = scheduleWhileAwake(() => resolve("late"), checkLimitMs);
        check().then(resolve, reject).finally(() => timer.cancel());
    });
}
