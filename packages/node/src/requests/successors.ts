import { engineSilenceMs, type RetryClaim, type UpstreamChoice, type UpstreamState } from "@radishreel/fleet";
import { setTimeout as wait } from "node:timers/promises";
import type { CrashGuard } from "../crashes/index.js";
import type { DecisionLog } from "../decisions.js";
import type { Attempt } from "./attempt.js";
import type { AttemptEnd } from "./attemptend.js";
import type { UpstreamChooser } from "./chooser.js";
import { cancelReturn, type Claimant, type Job, mayRunAgain, type ReadyUpstream, releaseReady } from "./job.js";
import type { Retries } from "./retries.js";

/** Interval at which another upstream is looked for again while one is silent, in milliseconds. */
const searchIntervalMs = 100;

/**
 * Longest time for which two engines may work on the same stream, in milliseconds. Engines reject a request at once;
 * one that has not done so until then has accepted it.
 */
const maxOverlapMs = 300;

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
    readonly retries: Pick<Retries, "mayClaimOptional" | "claimOptional">;
    readonly guard: Pick<CrashGuard, "isSuspect">;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    /** Starts an attempt. @param takeOver Ends the attempt that the new one replaces; see `AttemptOptions`. */
    readonly startAttempt: (
        job: Job,
        ready: ReadyUpstream,
        retry: RetryClaim | undefined,
        takeOver: () => boolean,
    ) => RunningAttempt;
    /** Called with the end of an attempt that was replaced. */
    readonly onReplaced: (job: Job, replaced: FinishedAttempt) => void;
    readonly onSilence: (outcome: SilenceOutcome) => void;
}

/**
 * Looks for an upstream in place of a silent one, until the silent one goes on. The search outlasts a connection that
 * breaks, since its request then needs another upstream all the more.
 */
class SuccessorSearch implements Claimant {
    readonly left: Promise<undefined>;
    private isOver = false;

    constructor(
        private readonly job: Job,
        private readonly silent: RunningAttempt,
        private readonly readTime: () => number,
    ) {
        this.left = Promise.race([this.waitForRecovery(), job.caller.left]);
    }

    get hasLeft(): boolean {
        return this.isOver || this.job.caller.hasLeft;
    }

    mayChoose({ upstream, activity }: UpstreamState): boolean {
        return upstream.id !== this.silent.choice.state.upstream.id
            && activity.readSilenceMs(this.readTime()) <= engineSilenceMs;
    }

    private async waitForRecovery(): Promise<undefined> {
        const { attempt } = this.silent;
        await attempt.silence.waitForData();
        if (attempt.ending === "broken") {
            return this.job.caller.left;
        }
        this.isOver = true;
        return undefined;
    }
}

/** Ends a silent attempt in favour of its successor. */
class Takeover {
    readonly finished: Promise<void>;
    private hasFinished = false;
    private resolveFinished: () => void = () => {};

    constructor(readonly silent: Attempt) {
        this.finished = new Promise(resolve => {
            this.resolveFinished = resolve;
        });
    }

    get isFinished(): boolean {
        return this.hasFinished;
    }

    /** @returns Whether the successor has taken over; false if the silent attempt has ended in another way. */
    finish(): boolean {
        if (!this.hasFinished && this.silent.endReplaced()) {
            this.hasFinished = true;
            this.resolveFinished();
        }
        return this.hasFinished;
    }
}

/**
 * Lets requests go on at another upstream while theirs is silent. A silence proves nothing, so the silent attempt runs on
 * until its successor is certain: an upstream is chosen, the retry is claimed, and the upstream has the request and does
 * not reject it. Without a successor the silent attempt is left to its deadline.
 */
export class Successors {
    constructor(private readonly options: SuccessorsOptions) {}

    /** Waits for the end of an attempt, or of the last one that replaced it. */
    async waitForEnd(job: Job, first: RunningAttempt): Promise<FinishedAttempt> {
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
        const { silence } = running.attempt;
        while (await silence.waitForSilence()) {
            const silentSince = this.options.readTime();
            let searches = 0;
            let next: RunningAttempt | undefined;
            while (next === undefined && silence.isSilent) {
                if (this.maySearch(job, running.attempt)) {
                    searches += 1;
                    next = await this.findSuccessorOnce(job, running);
                }
                if (next === undefined) {
                    await Promise.race([silence.waitForData(), wait(searchIntervalMs)]);
                }
            }
            this.recordSilence(job, running, { silentSince, searches, isReplaced: next !== undefined });
            if (next !== undefined) {
                return next;
            }
        }
        return undefined;
    }

    private maySearch(job: Job, attempt: Attempt): boolean {
        const { retries, guard } = this.options;
        return attempt.isReplaceable && mayRunAgain(job)
            && job.permit === undefined && !guard.isSuspect(job) && retries.mayClaimOptional(job);
    }

    /** @returns The successor, which has taken over; undefined if there is none. */
    private async findSuccessorOnce(job: Job, silent: RunningAttempt): Promise<RunningAttempt | undefined> {
        try {
            return await this.startSuccessor(job, silent);
        }
        catch (error) {
            // An error must not end a request whose attempt still runs.
            const { requestId } = job.demand;
            this.options.log.recordImportant("searchFailed", { request: requestId, why: (error as Error).message });
            return undefined;
        }
    }

    private async startSuccessor(job: Job, silent: RunningAttempt): Promise<RunningAttempt | undefined> {
        const search = new SuccessorSearch(job, silent, this.options.readTime);
        const ready = await this.chooseReady(job, search);
        const isNeeded = ready !== undefined && !search.hasLeft && !this.options.guard.isSuspect(job);
        const retry = isNeeded ? this.options.retries.claimOptional(job) : undefined;
        if (ready === undefined || retry === undefined) {
            releaseReady(ready);
            return undefined;
        }
        const takeover = new Takeover(silent.attempt);
        try {
            const next = this.options.startAttempt(job, ready, retry, () => takeover.finish());
            return await this.waitForTakeover(job, next, takeover, search);
        }
        catch (error) {
            releaseReady(ready);
            retry.cancel();
            throw error;
        }
    }

    /** Chooses an upstream for a search. What the search changes in the request's state is undone. */
    private async chooseReady(job: Job, search: SuccessorSearch): Promise<ReadyUpstream | undefined> {
        const { moves, redirects, expectedAt } = job;
        job.claimant = search;
        try {
            return await this.options.chooser.chooseReady(job);
        }
        finally {
            job.claimant = job.caller;
            cancelReturn(job);
            Object.assign(job, { moves, redirects, expectedAt });
        }
    }

    /** Waits until a successor has taken over; undefined if it has ended before, or is needed no more. */
    private async waitForTakeover(
        job: Job,
        next: RunningAttempt,
        takeover: Takeover,
        search: SuccessorSearch,
    ): Promise<RunningAttempt | undefined> {
        const { attempt } = next;
        await Promise.race([
            takeover.finished,
            next.end,
            this.waitForOverlap(job, attempt),
            this.waitForRecovery(attempt, takeover, search),
        ]);
        if (takeover.isFinished || (attempt.ending === undefined && attempt.isWritten && takeover.finish())) {
            return next;
        }
        attempt.cancelSuperseded();
        await next.end;
        return undefined;
    }

    /**
     * Waits until the silent attempt goes on, or, once its successor is written, until it ends: from then on the successor
     * takes over unless it is rejected, since no two engines may work on one stream.
     */
    private async waitForRecovery(next: Attempt, { silent }: Takeover, search: SuccessorSearch): Promise<void> {
        await search.left;
        if (next.isWritten) {
            await silent.end;
        }
    }

    /** Waits until a stream has run at two engines for as long as it may; plain requests may do so until one responds. */
    private async waitForOverlap({ route, caller }: Job, next: Attempt): Promise<void> {
        if (route.kind !== "stream" || !await next.written) {
            await caller.left;
            return;
        }
        await wait(maxOverlapMs);
    }

    private recordSilence(
        job: Job,
        { attempt, choice }: RunningAttempt,
        { silentSince, searches, isReplaced }: { silentSince: number; searches: number; isReplaced: boolean; },
    ): void {
        const outcome = isReplaced ? "replaced" : attempt.ending === undefined ? "recovered" : "ended";
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
