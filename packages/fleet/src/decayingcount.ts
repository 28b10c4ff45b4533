/** Half-life of a counted event, in milliseconds: load changes within seconds. */
const halfLifeMs = 2000;

/** Counts events with exponential decay. */
export class DecayingCount {
    private count = 0;
    private decayedAt = 0;

    record(now: number): void {
        this.count = this.read(now) + 1;
        this.decayedAt = now;
    }

    read(now: number): number {
        return this.count * 0.5 ** (Math.max(0, now - this.decayedAt) / halfLifeMs);
    }

    /** Recent events per millisecond. */
    readRate(now: number): number {
        return this.read(now) * Math.LN2 / halfLifeMs;
    }
}
