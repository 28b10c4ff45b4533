/** Decayed count below which a model's popularity is removed. */
const minCount = 1 / 256;

/** Options of {@link Popularity}. */
export interface PopularityOptions {
    /** Half-life of an arrival's weight, in milliseconds. @default 150000 */
    readonly halfLifeMs?: number;
}

/**
 * Exponentially decayed counts of arrivals. Each count is stored as the logarithm of its value extrapolated to time
 * zero. This score does not change over time, so only an arrival changes the order of the models.
 */
export class Popularity {
    private readonly scores = new Map<string, number>();
    private readonly halfLifeMs: number;

    constructor(options: PopularityOptions = {}) {
        this.halfLifeMs = options.halfLifeMs ?? 150_000;
    }

    /** Counts arrivals and returns the new score. */
    recordArrivals(model: string, count: number, now: number): number {
        const score = Math.log2(this.readCount(model, now) + count) + now / this.halfLifeMs;
        this.scores.set(model, score);
        return score;
    }

    /** Returns a score that is comparable between models at any time; a higher score means more popular. */
    readScore(model: string): number {
        return this.scores.get(model) ?? -Infinity;
    }

    /** Returns the decayed count at `now`. */
    readCount(model: string, now: number): number {
        const score = this.scores.get(model);
        return score === undefined ? 0 : 2 ** (score - now / this.halfLifeMs);
    }

    /** Returns the arrivals per second to which the decayed count corresponds. */
    readArrivalRate(model: string, now: number): number {
        return this.readCount(model, now) * Math.LN2 / (this.halfLifeMs / 1000);
    }

    /** Removes models whose decayed count is below the minimum. Scans all models. */
    expire(now: number): void {
        const floor = Math.log2(minCount) + now / this.halfLifeMs;
        for (const [model, score] of this.scores) {
            if (score < floor) {
                this.scores.delete(model);
            }
        }
    }

    get size(): number {
        return this.scores.size;
    }
}
