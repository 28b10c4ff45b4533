import type { ExpectedEnd } from "./room.js";

/** Bounds of the ratio between the actual and the estimated duration of a run. */
const minRunTimeFactor = 0.2;
const maxRunTimeFactor = 5;

/** Weight of one run in the moving average of that ratio. */
const runTimeFactorWeight = 0.05;

/** A run that has exceeded its estimate is expected to end after this further share of the estimate. */
const overdueRunShare = 0.25;

/** Lower bound of the expected remaining time of a run, in milliseconds. */
const minRemainingRunMs = 20;

/** A run and when it started, in milliseconds. */
export interface TimedRun {
    readonly request: { readonly key?: string | undefined; readonly runMs: number; readonly kvTokens: number; };
    /** Undefined while the request waits. */
    readonly admittedAt: number | undefined;
}

/** Learns how long runs on an engine take, relative to their callers' estimates. */
export class RunTimes {
    private runTimeFactor = 1;

    /** Records the end of a run. */
    record({ request, admittedAt }: TimedRun, now: number): void {
        if (admittedAt === undefined || request.runMs <= 0) {
            return;
        }
        const factor = (now - admittedAt) / request.runMs;
        const bounded = Math.min(Math.max(factor, minRunTimeFactor), maxRunTimeFactor);
        this.runTimeFactor += (bounded - this.runTimeFactor) * runTimeFactorWeight;
    }

    /** Expected time until a run ends, in milliseconds. */
    private readRemainingMs(request: TimedRun["request"], admittedAt: number, now: number): number {
        const expectedMs = request.runMs * this.runTimeFactor;
        return Math.max(admittedAt + expectedMs - now, expectedMs * overdueRunShare, minRemainingRunMs);
    }

    /** Expected ends of the runs, in no order. */
    listEnds(runs: Iterable<TimedRun>, now: number): ExpectedEnd[] {
        const ends: ExpectedEnd[] = [];
        for (const { request, admittedAt } of runs) {
            if (admittedAt !== undefined) {
                const remainingMs = this.readRemainingMs(request, admittedAt, now);
                ends.push({ remainingMs, kvTokens: request.kvTokens });
            }
        }
        return ends;
    }

    /** Expected times until adapters in use become idle, in milliseconds, soonest first. */
    listReleases(runs: Iterable<TimedRun>, now: number): number[] {
        const releases = new Map<string, number>();
        for (const { request, admittedAt } of runs) {
            if (admittedAt === undefined || request.key === undefined) {
                continue;
            }
            const remainingMs = this.readRemainingMs(request, admittedAt, now);
            releases.set(request.key, Math.max(releases.get(request.key) ?? 0, remainingMs));
        }
        return [...releases.values()].sort((left, right) => left - right);
    }
}
