import type { RetryClaim, UpstreamChoice } from "@radishreel/fleet";
import { isIdempotent } from "@radishreel/routing";
import { setTimeout as wait } from "node:timers/promises";
import type { CrashGuard } from "../crashes/index.js";
import type { DecisionLog } from "../decisions.js";
import type { Attempt, AttemptEnd } from "./attempt.js";
import type { UpstreamChooser } from "./chooser.js";
import { type Claimant, type Job, type ReadyUpstream, releaseReady } from "./job.js";
import type { Retries } from "./retries.js";

/** Interval at which another upstream is looked for again while one is silent, in milliseconds. */
const searchIntervalMs = 100;

/** Longest silence of an upstream that a request may go on at, in milliseconds: none that is silent itself. */
const maxSuccessorSilenceMs = 400;

/** An attempt that has started. */
export interface RunningAttempt {
    readonly attempt: Attempt;
    readonly choice: UpstreamChoice;
    /** Resolves once the end of the attempt is recorded. */
    readonly end: Promise<AttemptEnd>;
}

/** The last attempt of a request so far, and its end. */
export interface FinishedAttempt {
    readonly choice: UpstreamChoice;
    readonly end: AttemptEnd;
}

/** How a silence of an upstream ended. */
export type SilenceOutcome =
    /** The upstream went on. */
    | "recovered"
    /** The request went on at another upstream. */
    | "replaced"
    /** The attempt ended: its deadline passed, its connection broke, or its caller left. */
    | "ended";

/** Options of {@link Successors}. */
export interface SuccessorsOptions {
    readonly chooser: Pick<UpstreamChooser, "chooseReady">;
    readonly retries: Retries;
    readonly guard: Pick<CrashGuard, "isSuspect">;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    /** Starts an attempt that ends another one in the step that writes its request. */
    readonly startAttempt: (
        job: Job,
        ready: ReadyUpstream,
        retry: RetryClaim | undefined,
        predecessor: Attempt,
    ) => RunningAttempt;
    /** Called with the end of an attempt that was replaced. */
    readonly onReplaced: (job: Job, replaced: FinishedAttempt) => void;
    readonly onSilence: (outcome: SilenceOutcome) => void;
}

/** Looks for an upstream in place of a silent one, until the silent one goes on. */
class SuccessorSearch implements Claimant {
    readonly left: Promise<undefined>;
    private isOver = false;

    constructor(private readonly job: Job, attempt: Attempt) {
        const over = attempt.silence.waitForData().then(() => {
            this.isOver = true;
            return undefined;
        });
        this.left = Promise.race([over, job.caller.left]);
    }

    get hasLeft(): boolean {
        return this.isOver || this.job.caller.hasLeft;
    }
}

/**
 * Lets requests go on at another upstream while theirs is silent. A silence proves nothing, so the silent attempt runs on
 * until its successor is certain: an upstream is chosen, has admitted the request and is connected, the retry is claimed,
 * and the silence lasts. Without a successor the silent attempt is left to its deadline.
 */
export class Successors {
    constructor(private readonly options: SuccessorsOptions) {}

    /** Waits for the end of an attempt, or of the last one that replaced it. */
    async finish(job: Job, first: RunningAttempt): Promise<FinishedAttempt> {
        for (let running = first;;) {
            const next = await this.findSuccessor(job, running);
            const finished = { choice: running.choice, end: await running.end };
            if (next === undefined) {
                return finished;
            }
            this.options.onReplaced(job, finished);
            running = next;
        }
    }

    /** Replaces an attempt while its upstream is silent; undefined if the attempt ends without that. */
    private async findSuccessor(job: Job, running: RunningAttempt): Promise<RunningAttempt | undefined> {
        const { attempt } = running;
        while (await attempt.silence.waitForSilence()) {
            const silentSince = this.options.readTime();
            let searches = 0;
            let next: RunningAttempt | undefined;
            while (next === undefined && attempt.silence.isSilent) {
                if (this.mayReplace(job, attempt)) {
                    searches += 1;
                    next = await this.startSearch(job, running);
                }
                if (next === undefined) {
                    await Promise.race([attempt.silence.waitForData(), wait(searchIntervalMs)]);
                }
            }
            this.recordSilence(job, running, { silentSince, searches, isReplaced: next !== undefined });
            if (next !== undefined) {
                return next;
            }
        }
        return undefined;
    }

    private mayReplace(job: Job, attempt: Attempt): boolean {
        return attempt.isReplaceable && isIdempotent(job.route) && job.runs + 1 < job.route.maxAttempts
            && job.permit === undefined && !this.options.guard.isSuspect(job);
    }

    /** Looks for a successor once. @returns The successor, whose request is written; undefined if there is none. */
    private async startSearch(job: Job, running: RunningAttempt): Promise<RunningAttempt | undefined> {
        const { upstream } = running.choice.state;
        const tried = job.tried.get(upstream.id);
        job.tried.set(upstream.id, { costMs: Infinity, until: Infinity, hasDeclined: false });
        job.claimant = new SuccessorSearch(job, running.attempt);
        const next = await this.startSuccessor(job, running);
        job.claimant = job.caller;
        if (next !== undefined) {
            return next;
        }
        if (tried === undefined) {
            job.tried.delete(upstream.id);
        }
        else {
            job.tried.set(upstream.id, tried);
        }
        return undefined;
    }

    private async startSuccessor(job: Job, { attempt }: RunningAttempt): Promise<RunningAttempt | undefined> {
        const { chooser, retries, startAttempt, readTime } = this.options;
        const ready = await chooser.chooseReady(job);
        if (ready === undefined) {
            return undefined;
        }
        const isSilent = ready.choice.state.activity.readSilenceMs(readTime()) > maxSuccessorSilenceMs;
        const isRetry = job.sends > 0 || attempt.isWritten;
        const retry = isRetry && !isSilent && !job.claimant.hasLeft ? retries.claimOptional(job) : undefined;
        if (isSilent || job.claimant.hasLeft || (isRetry && retry === undefined)) {
            releaseReady(ready);
            return undefined;
        }
        const next = startAttempt(job, ready, retry, attempt);
        void attempt.silence.waitForData().then(() => next.attempt.cancelUnwritten());
        if (await next.attempt.written) {
            return next;
        }
        await next.end;
        return undefined;
    }

    private recordSilence(
        job: Job,
        { attempt, choice }: RunningAttempt,
        { silentSince, searches, isReplaced }: { silentSince: number; searches: number; isReplaced: boolean; },
    ): void {
        const outcome = isReplaced ? "replaced" : attempt.isEnded ? "ended" : "recovered";
        this.options.onSilence(outcome);
        this.options.log.record("silence", {
            request: job.demand.requestId,
            upstream: choice.state.upstream.id,
            outcome,
            ms: Math.round(this.options.readTime() - silentSince),
            events: job.progress.events,
            searches,
        });
    }
}
