/** Options of {@link ClaimClock}. */
export interface ClaimClockOptions {
    /** How long a renewed claim lets its holder give orders, in milliseconds, counted from sending the renewal. */
    readonly useMs: number;
    /** Two holders of one engine must not give orders within this time of each other, in milliseconds. */
    readonly turnMs: number;
}

/** A claim of one shard of the engines. */
interface Claim {
    readonly since: number;
    readonly mayOrderAt: number;
}

/**
 * Which shards this VM owns, and when it may give orders to their engines. Times are handed in by a clock that counts
 * the time in which the VM was suspended.
 *
 * The platform may deal shards anew at any moment without telling the holder before its next renewal. So a holder stops
 * `useMs` after it sent the last renewal that was confirmed, and a new holder begins only after `useMs + turnMs`.
 */
export class ClaimClock {
    private readonly claims = new Map<number, Claim>();
    private readonly released = new Map<number, number>();
    private validUntil = 0;
    private generation = 0;

    constructor(private readonly options: ClaimClockOptions) {}

    /** Token of all claims: it rises with every change of any shard's holder. */
    get fence(): number {
        return this.generation;
    }

    /**
     * Takes the answer to a renewal.
     * @param sentAt When the renewal was sent.
     */
    applyRenewal(generation: number, shards: readonly number[], sentAt: number, now: number): void {
        if (generation < this.generation) {
            return;
        }
        // Without a change of generation nobody else can have held a shard, however long ago the last renewal was.
        const mayHaveMoved = now >= this.validUntil && generation !== this.generation;
        this.generation = generation;
        this.validUntil = Math.max(this.validUntil, sentAt + this.options.useMs);
        const held = new Set(shards);
        for (const shard of this.claims.keys()) {
            if (!held.has(shard)) {
                this.claims.delete(shard);
            }
        }
        for (const shard of held) {
            if (!this.claims.has(shard) || mayHaveMoved) {
                const releasedAt = this.released.get(shard);
                const waitMs = releasedAt === undefined
                    ? this.options.useMs + this.options.turnMs
                    : Math.max(0, releasedAt + this.options.turnMs - now);
                this.claims.set(shard, { since: now, mayOrderAt: now + waitMs });
            }
        }
    }

    /** Takes word of the last holder that it gives no more orders to a shard. */
    recordRelease(shard: number, generation: number, now: number): void {
        if (generation < this.generation && this.claims.has(shard)) {
            const claim = this.claims.get(shard)!;
            this.claims.set(shard, { ...claim, mayOrderAt: Math.min(claim.mayOrderAt, now + this.options.turnMs) });
            return;
        }
        this.released.set(shard, now);
    }

    /** Gives everything up, as after a suspension: nothing may be ordered before the next confirmed renewal. */
    suspend(): void {
        this.validUntil = 0;
    }

    /** Whether orders to the engines of a shard may be given at this moment. */
    canOrder(shard: number, now: number): boolean {
        const claim = this.claims.get(shard);
        return claim !== undefined && now < this.validUntil && now >= claim.mayOrderAt;
    }

    listShards(): number[] {
        return [...this.claims.keys()];
    }
}

/** The shard of an engine. */
export function readShard(engine: string, shardCount: number): number {
    let hash = 2166136261;
    for (let index = 0; index < engine.length; index++) {
        hash = Math.imul(hash ^ engine.charCodeAt(index), 16777619);
    }
    return (hash >>> 0) % shardCount;
}
