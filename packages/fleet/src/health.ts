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

/** Factor of the present estimate from which on a sample counts only if a later request confirms it. */
const outlierFactor = 2.5;

/** Half-life of a slowdown that no later request has confirmed, in milliseconds. */
const outlierHalfLifeMs = 300;

/** Time without any answer from which on an upstream counts as silent to all requests, in milliseconds. */
const minSilenceMs = 300;

/**
 * Recent failures, latency and reachability of one upstream, as observed by one VM. Requests that were under way
 * together when the upstream fell silent count as one observation.
 */
export class UpstreamHealth {
    private failures = 0;
    private successes = 0;
    /** Failures by silence of the whole upstream, until it answers again. */
    private silences = 0;
    private silentAt = -Infinity;
    private answeredAt = -Infinity;
    private decayedAt = 0;
    private slowdown = 1;
    private outlier = 1;
    private outlierAt = -Infinity;
    private pauseMs = minPauseMs;
    private pausedUntil = 0;

    /**
     * Records a complete response.
     * @param slowdown Its duration as a factor of the expected time.
     * @param sentAt When the request was sent.
     */
    recordResponse(now: number, slowdown: number, sentAt: number): void {
        this.advance(now);
        this.successes += 1;
        this.pauseMs = minPauseMs;
        this.pausedUntil = 0;
        this.recordSlowdown(slowdown, sentAt, now);
    }

    /**
     * Records the time to a first byte as a factor of the expected time. A silence delays the answers to all requests
     * that are under way, so an outlier counts only if a request that was sent after it is slow as well.
     */
    recordSlowdown(slowdown: number, sentAt: number, now: number): void {
        this.advance(now);
        this.answeredAt = now;
        this.silences = 0;
        const bounded = Math.min(Math.max(slowdown, minSlowdown), maxSlowdown);
        if (bounded > this.slowdown * outlierFactor) {
            if (now - this.outlierAt > halfLifeMs) {
                this.outlierAt = now;
                this.outlier = this.slowdown + (bounded - this.slowdown) * slowdownWeight;
                return;
            }
            if (sentAt < this.outlierAt) {
                return;
            }
            this.slowdown = Math.max(this.slowdown, this.outlier);
        }
        this.slowdown += (bounded - this.slowdown) * slowdownWeight;
    }

    /** Records a response that reports a failure of the upstream, or a broken connection. */
    recordFailure(now: number): void {
        this.advance(now);
        this.failures += 1;
    }

    /** Records a request that was ended since the upstream sent nothing. @param sentAt When the request was sent. */
    recordSilence(now: number, sentAt: number): void {
        if (now - this.answeredAt < minSilenceMs) {
            // The upstream answers other requests.
            this.recordFailure(now);
            return;
        }
        this.countSilence(now, sentAt);
    }

    /** Records that no connection could be opened. @param sentAt When the request was about to be sent. */
    recordUnreachable(now: number, sentAt: number): void {
        if (!this.countSilence(now, sentAt)) {
            return;
        }
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
        const failures = this.failures + this.silences;
        return failures / (failures + this.successes + 2);
    }

    /** Duration of responses as a factor of the expected time: 1 is as expected. */
    readSlowdown(now: number): number {
        this.advance(now);
        const outlier = 1 + (this.outlier - 1) * 0.5 ** (Math.max(0, now - this.outlierAt) / outlierHalfLifeMs);
        return Math.max(this.slowdown, outlier);
    }

    /** @returns Whether the silence is a new observation: the request was sent after the last one. */
    private countSilence(now: number, sentAt: number): boolean {
        if (sentAt < this.silentAt) {
            return false;
        }
        this.advance(now);
        this.silentAt = now;
        this.silences += 1;
        return true;
    }

    private advance(now: number): void {
        const factor = 0.5 ** (Math.max(0, now - this.decayedAt) / halfLifeMs);
        this.decayedAt = now;
        this.failures *= factor;
        this.successes *= factor;
        this.silences *= factor;
        this.slowdown = 1 + (this.slowdown - 1) * factor;
    }
}
