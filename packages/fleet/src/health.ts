/** Half-life of an upstream's recorded failures and slowdown, in milliseconds: faults last some seconds. */
const halfLifeMs = 3000;

/** Weight of a new slowdown sample in the moving average. */
const slowdownWeight = 0.3;

/** First pause after a failed connection, in milliseconds; doubles with each further one. */
const minPauseMs = 200;

/**
 * Longest pause, in milliseconds. A restarted upstream has a new id, so only a restored network path waits this long.
 */
const maxPauseMs = 1600;

/** Bounds of one slowdown sample, as factors of the expected time. */
const maxSlowdown = 12;
const minSlowdown = 0.5;

/** Recent failures, latency and reachability of one upstream, as observed by one VM. */
export class UpstreamHealth {
    private failures = 0;
    private successes = 0;
    private decayedAt = 0;
    private slowdown = 1;
    private pauseMs = minPauseMs;
    private pausedUntil = 0;

    /** Records a complete response. @param slowdown Its duration as a factor of the expected time. */
    recordResponse(now: number, slowdown: number): void {
        this.advance(now);
        this.successes += 1;
        this.pauseMs = minPauseMs;
        this.pausedUntil = 0;
        this.recordSlowdown(slowdown);
    }

    /** Records the time to a first byte, or the time already waited for it, as a factor of the expected time. */
    recordSlowdown(slowdown: number): void {
        const bounded = Math.min(Math.max(slowdown, minSlowdown), maxSlowdown);
        this.slowdown += (bounded - this.slowdown) * slowdownWeight;
    }

    /** Records a response that reports a failure of the upstream, or a broken connection. */
    recordFailure(now: number): void {
        this.advance(now);
        this.failures += 1;
    }

    /** Records that no connection could be opened. */
    recordUnreachable(now: number): void {
        this.recordFailure(now);
        this.pausedUntil = now + this.pauseMs;
        this.pauseMs = Math.min(this.pauseMs * 2, maxPauseMs);
    }

    /** Whether requests should go to other upstreams if any can serve them. */
    isPaused(now: number): boolean {
        return now < this.pausedUntil;
    }

    /** Share of failed responses; close to 0 if there were few recent responses. */
    readFailureShare(now: number): number {
        this.advance(now);
        return this.failures / (this.failures + this.successes + 2);
    }

    /** Duration of responses as a factor of the expected time: 1 is as expected. */
    readSlowdown(now: number): number {
        this.advance(now);
        return this.slowdown;
    }

    private advance(now: number): void {
        const factor = 0.5 ** (Math.max(0, now - this.decayedAt) / halfLifeMs);
        this.decayedAt = now;
        this.failures *= factor;
        this.successes *= factor;
        this.slowdown = 1 + (this.slowdown - 1) * factor;
    }
}
