/** Options of {@link Backoff}. */
export interface BackoffOptions {
    /** @default 100 */
    readonly minMs?: number;
    /** @default 5000 */
    readonly maxMs?: number;
}

/** Waits that double with each failure, with jitter, so that many nodes do not come back in step. */
export class Backoff {
    private readonly minMs: number;
    private readonly maxMs: number;
    private nextMs: number;

    constructor(options: BackoffOptions = {}) {
        this.minMs = options.minMs ?? 100;
        this.maxMs = options.maxMs ?? 5000;
        this.nextMs = this.minMs;
    }

    /** Wait after another failure, in milliseconds. */
    readNextMs(): number {
        const waitMs = this.nextMs * (0.5 + Math.random() / 2);
        this.nextMs = Math.min(this.nextMs * 2, this.maxMs);
        return waitMs;
    }

    recordSuccess(): void {
        this.nextMs = this.minMs;
    }
}
