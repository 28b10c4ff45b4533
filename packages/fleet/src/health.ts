/** Half-life of what is remembered of an upstream's failures and pace, in milliseconds: faults last some seconds. */
const halfLifeMs = 3000;

/** Weight of one new sample of pace against what is remembered. */
const paceWeight = 0.3;

/** First pause after a failed connection, in milliseconds; doubles with each further one. */
const minPauseMs = 200;

/** Longest pause: a restarted upstream has a new id, so that only a path that was cut and is back waits this long. */
const maxPauseMs = 1600;

/** Slowest and fastest pace that one sample may claim, as factors of what was expected. */
const maxPace = 12;
const minPace = 0.5;

/** What one VM has seen of one upstream's answers lately. */
export class UpstreamHealth {
    private failures = 0;
    private answers = 0;
    private decayedAt = 0;
    private pace = 1;
    private pauseMs = minPauseMs;
    private pausedUntil = 0;

    /** A whole answer. @param pace Time it took as a factor of what was expected. */
    recordAnswer(now: number, pace: number): void {
        this.advance(now);
        this.answers += 1;
        this.pauseMs = minPauseMs;
        this.pausedUntil = 0;
        this.recordPace(pace);
    }

    /** The time to a first byte, or the time already waited for it. */
    recordPace(pace: number): void {
        const bounded = Math.min(Math.max(pace, minPace), maxPace);
        this.pace += (bounded - this.pace) * paceWeight;
    }

    /** An answer that says that the upstream failed, or a broken connection. */
    recordFailure(now: number): void {
        this.advance(now);
        this.failures += 1;
    }

    /** No connection could be opened. */
    recordUnreachable(now: number): void {
        this.recordFailure(now);
        this.pausedUntil = now + this.pauseMs;
        this.pauseMs = Math.min(this.pauseMs * 2, maxPauseMs);
    }

    /** Whether requests should go elsewhere if they can. */
    isPaused(now: number): boolean {
        return now < this.pausedUntil;
    }

    /** Share of failed answers, towards 0 where little has been seen lately. */
    readFailureShare(now: number): number {
        this.advance(now);
        return this.failures / (this.failures + this.answers + 2);
    }

    /** Time of answers as a factor of what was expected; 1 is as expected. */
    readPace(now: number): number {
        this.advance(now);
        return this.pace;
    }

    private advance(now: number): void {
        const factor = 0.5 ** (Math.max(0, now - this.decayedAt) / halfLifeMs);
        this.decayedAt = now;
        this.failures *= factor;
        this.answers *= factor;
        this.pace = 1 + (this.pace - 1) * factor;
    }
}
