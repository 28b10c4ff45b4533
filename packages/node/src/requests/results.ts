import {
    findAdapterKey,
    type FleetView,
    hasLongAnswer,
    type PauseThreshold,
    type PrefixCache,
    type UpstreamChoice,
    type UpstreamState,
} from "@radishreel/fleet";
import type { AttemptEnd } from "./attemptend.js";
import { withdrawnDetail } from "./exchange.js";
import type { Job } from "./job.js";
import type { ResponseMetadata } from "./metadata.js";
import { recordResponseTime } from "./responsetimes.js";

/**
 * Penalty of an upstream whose response to this request was a failure, in milliseconds. Failures often affect one run
 * only, so an engine that holds the adapter is tried again before a load of 250 ms elsewhere.
 */
const failurePenaltyMs = 150;

/** How long a request avoids an upstream that rejected it, in milliseconds: until its owner's message arrives. */
const rejectedPauseMs = 60;

/** Options of {@link AttemptResults}. */
export interface AttemptResultsOptions {
    readonly view: FleetView;
    readonly prefixCache: PrefixCache;
    readonly longPromptThreshold: PauseThreshold;
    readonly readTime: () => number;
    /** Tells the owner of an engine that the engine lacks an adapter. */
    readonly sendMissing: (engine: string, key: string) => void;
}

/** The end of one attempt. */
export interface AttemptResult {
    readonly job: Job;
    readonly choice: UpstreamChoice;
    readonly end: AttemptEnd;
    /** When the attempt started, in milliseconds. */
    readonly sentAt: number;
    readonly metadata: ResponseMetadata;
}

/** Applies the ends of attempts to what later choices depend on. */
export class AttemptResults {
    constructor(private readonly options: AttemptResultsOptions) {}

    /** Updates health, prefix cache and the job's penalties from the end of an attempt. */
    record({ job, choice, end, sentAt, metadata: { askedRestMs } }: AttemptResult): void {
        const { readTime, sendMissing, prefixCache } = this.options;
        const now = readTime();
        const { upstream, health } = choice.state;
        const { model } = job.demand;
        const key = findAdapterKey(model);
        job.hasRun ||= mayHaveRun(end);
        switch (end.kind) {
            case "complete":
                if (end.status >= 500) {
                    // The caller has received a failure that was too long to buffer.
                    health.recordFailure(now);
                    return;
                }
                health.recordResponse(
                    now,
                    recordResponseTime(this.options.view, job, upstream, now, now - sentAt),
                    sentAt,
                );
                if (model !== undefined) {
                    prefixCache.record(upstream.id, model, now);
                    this.recordPauses(job, choice.state, sentAt);
                }
                return;
            case "failed":
                job.runs += 1;
                job.tried.set(upstream.id, { costMs: failurePenaltyMs, until: Infinity, hasDeclined: false });
                if (askedRestMs === undefined || end.body === undefined) {
                    health.recordFailure(now);
                }
                return;
            case "broken":
                job.runs += 1;
                job.tried.set(upstream.id, { costMs: Infinity, until: Infinity, hasDeclined: false });
                if (end.reason === "upstreamSilent") {
                    health.recordSilence(now, sentAt);
                }
                else if (end.reason !== "versionReplaced" && end.reason !== "quarantined") {
                    health.recordFailure(now);
                }
                return;
            case "notRun":
                job.rejections += 1;
                if (!end.wasSent) {
                    if (end.detail !== "connection closed" && end.detail !== withdrawnDetail) {
                        health.recordUnreachable(now, sentAt);
                    }
                    return;
                }
                if (end.wasCut === true) {
                    health.recordFailure(now);
                }
                // An upstream that requests backoff has not failed, and lacks no adapter that its owner could load.
                if (key !== undefined && askedRestMs === undefined) {
                    sendMissing(upstream.id, key);
                }
                job.tried.set(upstream.id, { costMs: Infinity, until: now + rejectedPauseMs, hasDeclined: false });
                return;
            case "superseded":
                job.runs += end.wasSent ? 1 : 0;
                return;
            case "invalid":
            case "callerLeft":
                return;
        }
    }

    /** Records whether a long response paused for longer than its target beside the largest other prompt. */
    private recordPauses(job: Job, state: UpstreamState, sentAt: number): void {
        const { gapAimMs } = job.route;
        if (gapAimMs !== undefined && job.attempts === 1 && hasLongAnswer(job.demand.model)) {
            this.options.longPromptThreshold.record(
                state.prompts.findLargest(sentAt),
                job.progress.longestPauseMs > gapAimMs,
            );
        }
    }
}

/** Whether an upstream may have run the request of an attempt. */
function mayHaveRun(end: AttemptEnd): boolean {
    switch (end.kind) {
        case "notRun":
        case "invalid":
            return false;
        case "superseded":
            return end.wasSent;
        case "complete":
        case "failed":
        case "broken":
        case "callerLeft":
            return true;
    }
}
