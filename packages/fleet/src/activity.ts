/** When the responses of one upstream to this VM last made progress. */
export class UpstreamActivity {
    private count = 0;
    private progressAt = -Infinity;

    /** Records that a response has begun, from which more data is expected. */
    recordStart(now: number): void {
        this.count += 1;
        this.progressAt = now;
    }

    /** Records that data of any response arrived. */
    recordData(now: number): void {
        this.progressAt = now;
    }

    /** Records the end of a response that had begun. */
    recordEnd(): void {
        this.count -= 1;
    }

    /** Time for which no response has made progress, in milliseconds; 0 if none is expected to. */
    readSilenceMs(now: number): number {
        return this.count === 0 ? 0 : Math.max(0, now - this.progressAt);
    }
}
