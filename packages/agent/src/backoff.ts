/** Options of {@link Backoff}. */
export interface BackoffOptions {
    /**
     * First wait, in milliseconds.
     * @default 100
     */
    readonly minMs?: number;
    /**
     * Maximum wait, in milliseconds.
     * @default 5000
     */
    readonly maxMs?: number;
}

/** Exponential backoff with jitter, so that many nodes do not retry at the same time. */
export class Backoff {
    private readonly minMs: number;
    private readonly maxMs: number;
    private nextMs: number;

    constructor(options: BackoffOptions = {}) {
        this.minMs = options.minMs ?? 100;
        this.maxMs = options.maxMs ?? 5000;
        this.nextMs = this.minMs;
    }

    /** Returns the wait after another failure, in milliseconds. */
    readNextMs(): number {
        const waitMs = this.nextMs * (0.5 + Math.random() / 2);
        this.nextMs = Math.min(this.nextMs * 2, this.maxMs);
        return waitMs;
    }

    recordSuccess(): void {
        this.nextMs = this.minMs;
    }
}
