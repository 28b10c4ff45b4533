import type { AccountGuard } from "../accounts/index.js";
import type { CrashGuard } from "../crashes/index.js";
import { endedRetrySeconds } from "../streams/index.js";
import type { Admissions } from "./admissions.js";
import type { AttemptEnd } from "./attemptend.js";
import type { UpstreamChooser } from "./chooser.js";
import type { Job } from "./job.js";
import type { RefusalReason, RefusalResponse } from "./refusal.js";
import { createBackoffRefusal, createDeclinedRefusal, createLimitRefusal } from "./refusals.js";
import { createBusyRefusal } from "./returns.js";
import { readLastSendAt } from "./timelimit.js";

/** Options of {@link UnservedRefusals}. */
export interface UnservedRefusalsOptions {
    readonly guard: Pick<CrashGuard, "findRefusal">;
    readonly accounts: Pick<AccountGuard, "findRefusal">;
    readonly chooser: UpstreamChooser;
    readonly admissions: Pick<Admissions, "hasReturns">;
    readonly readTime: () => number;
}

/** Creates the refusals of requests that no upstream has served. */
export class UnservedRefusals {
    constructor(private readonly options: UnservedRefusalsOptions) {}

    /** @param last The end of the last attempt; undefined if there was none. */
    create(job: Job, last: AttemptEnd | undefined, reason?: RefusalReason): RefusalResponse {
        const { guard, accounts, chooser, admissions, readTime } = this.options;
        const refusal = guard.findRefusal(job) ?? accounts.findRefusal(job);
        if (refusal !== undefined) {
            return refusal;
        }
        if (last?.kind === "broken") {
            return { status: last.reason === "timeout" ? 504 : 502, reason: last.reason };
        }
        if (job.runs > 0) {
            return { status: 502, reason: reason ?? "attemptsSpent" };
        }
        if (last?.kind === "invalid") {
            return { status: 400, reason: "requestInvalid" };
        }
        const now = readTime();
        if (reason === undefined && job.expectedAt !== undefined) {
            return createDeclinedRefusal(job, now);
        }
        const limited = reason === undefined ? chooser.findSoonestLimit(job, now) : undefined;
        if (limited !== undefined) {
            return createLimitRefusal(limited, now);
        }
        const backoffEndAt = this.findBackoffEnd(job, now);
        if (reason === undefined && backoffEndAt !== undefined) {
            return createBackoffRefusal(backoffEndAt - now);
        }
        if (reason === undefined && chooser.hasEndedStream(job)) {
            return { status: 503, reason: "streamEnded", retryAfterSeconds: endedRetrySeconds };
        }
        const fallback = now > readLastSendAt(job) ? "timeout" : last === undefined ? "noUpstream" : "upstreamsBusy";
        return createBusyRefusal(job, reason ?? fallback, now, admissions.hasReturns);
    }

    /** Finds when the first backoff ends; undefined if an upstream without backoff could serve the request now. */
    private findBackoffEnd(job: Job, now: number): number | undefined {
        const hasAvailable = this.options.chooser.listAvailable(job, now).length > 0;
        return hasAvailable ? undefined : this.options.chooser.findBackoffEnd(job, now);
    }
}
