/**
 * Silence of all streams of an engine from which on it counts as silent, in milliseconds: prompts of other requests delay
 * streams by less.
 */
export const engineSilenceMs = 400;

/** One response that an upstream is expected to go on with, while this VM reads it. */
export class ResponseActivity {
    private isCounted = false;

    constructor(private readonly upstream: UpstreamActivity) {}

    /** Records that data is expected from now on. */
    start(now: number): void {
        if (!this.isCounted) {
            this.isCounted = true;
            this.upstream.recordStart(now);
        }
    }

    /** Records that no data is expected: the response has ended, or its caller does not read. */
    pause(): void {
        if (this.isCounted) {
            this.isCounted = false;
            this.upstream.recordEnd();
        }
    }
}

/** When the responses of one upstream to this VM last made progress. */
export class UpstreamActivity {
    private count = 0;
    private progressAt = -Infinity;

    /** Creates the activity of one response. */
    createResponse(): ResponseActivity {
        return new ResponseActivity(this);
    }

    /** Records that data is expected from one more response. */
    recordStart(now: number): void {
        this.count += 1;
        this.progressAt = now;
    }

    /** Records that data of any response arrived. */
    recordData(now: number): void {
        this.progressAt = now;
    }

    /** Records that no more data is expected from one response. */
    recordEnd(): void {
        this.count -= 1;
    }

    /** Time for which no response has made progress, in milliseconds; 0 if none is expected to. */
    readSilenceMs(now: number): number {
        return this.count === 0 ? 0 : Math.max(0, now - this.progressAt);
    }
}
