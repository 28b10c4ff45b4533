/** Below this decayed count a model is forgotten. */
const forgottenCount = 1 / 256;

/** Options of {@link Popularity}. */
export interface PopularityOptions {
    /** Time after which an arrival counts half, in milliseconds. @default 150000 */
    readonly halfLifeMs?: number;
}

/**
 * Decayed counts of arrivals. A count is kept as the logarithm of its value at time zero: that number does not change
 * as time passes, so that models can stand in an order that only an arrival moves.
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

    /** Comparable between models at any time; higher is more popular. */
    readScore(model: string): number {
        return this.scores.get(model) ?? -Infinity;
    }

    /** The decayed count. */
    readCount(model: string, now: number): number {
        const score = this.scores.get(model);
        return score === undefined ? 0 : 2 ** (score - now / this.halfLifeMs);
    }

    /** Arrivals a second that the decayed count stands for. */
    readRate(model: string, now: number): number {
        return this.readCount(model, now) * Math.LN2 / (this.halfLifeMs / 1000);
    }

    /** Forgets models that have hardly been asked for. Costs a pass over all of them. */
    expire(now: number): void {
        const floor = Math.log2(forgottenCount) + now / this.halfLifeMs;
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
