/** Options of {@link ClaimClock}. */
export interface ClaimClockOptions {
    /** How long a renewed claim lets its holder give orders, in milliseconds, counted from sending the renewal. */
    readonly useMs: number;
    /**
     * How long a new holder waits beyond `useMs`, in milliseconds. It must have been confirmed for longer than this before
     * it orders, so that a holder that is confirmed at shorter intervals knows that nobody ordered in between, although the
     * shards were dealt several times.
     */
    readonly settleMs: number;
    /** Two holders of one engine must not give orders within this time of each other, in milliseconds. */
    readonly turnMs: number;
    /** When this VM's process started: the one before it may have given orders until then. */
    readonly startedAt: number;
}

/** A claim of one shard of the engines. */
interface Claim {
    /** The deal in which this VM first held it. */
    readonly generation: number;
    readonly mayOrderAt: number;
    /** How often it has changed hands within the deal: part of its fencing token. */
    readonly depth: number;
    /** Whether it was handed over by the VM to which it was dealt. */
    readonly isHandover: boolean;
}

/** Most handovers within one deal: fencing tokens leave room for so many. */
const maxDepth = 15;

/**
 * Pause after the start of a process before a recorded deal lets it order, in milliseconds: a VM that took over hears of
 * the start, and with the 2.3 s that a planned stop takes no two holders alternate within a turn.
 */
const recordedPauseMs = 800;

/**
 * Which shards this VM owns, and when it may give orders to their engines. Times are handed in by a clock that counts
 * the time in which the VM was suspended.
 *
 * The platform may deal shards anew at any moment without telling the holder before its next renewal. So a holder stops
 * `useMs` after it sent the last renewal that was confirmed, and a new holder begins only `useMs + settleMs` after
 * it learned of its claim.
 */
export class ClaimClock {
    private readonly claims = new Map<number, Claim>();
    private readonly released = new Map<number, { generation: number; at: number; }>();
    private readonly heldUntil = new Map<number, number>();
    private recordedGeneration: number | undefined;
    private firstDeal: number | undefined;
    private validUntil = 0;
    private generation = 0;

    private startedAt: number;

    constructor(private readonly options: ClaimClockOptions) {
        this.startedAt = options.startedAt;
    }

    /** The deal that this VM saw last: it rises with every change of any shard's holder. */
    get deal(): number {
        return this.generation;
    }

    /** Fencing token for the engines of a shard: higher than that of every holder before. */
    readFence(shard: number): number {
        return this.generation * (maxDepth + 1) + (this.claims.get(shard)?.depth ?? 0);
    }

    readDepth(shard: number): number {
        return this.claims.get(shard)?.depth ?? 0;
    }

    /**
     * Takes the answer to a renewal.
     * @param sentAt When the renewal was sent.
     */
    applyRenewal(generation: number, shards: readonly number[], sentAt: number, now: number): void {
        if (generation < this.generation) {
            return;
        }
        // A shard held in two deals in a row had no other holder. Over deals that this VM did not see it may have had one,
        // which has ordered only if it was confirmed for longer than `settleMs`.
        const provenAt = this.validUntil - this.options.useMs;
        const mayHaveMoved = generation - this.generation > 1 && now - provenAt > this.options.settleMs;
        this.generation = generation;
        this.firstDeal ??= generation;
        this.renewUntil(sentAt);
        const held = new Set(shards);
        for (const [shard, claim] of this.claims) {
            const isHandedOver = claim.isHandover && claim.generation === generation;
            if (mayHaveMoved || (!held.has(shard) && !isHandedOver)) {
                this.endClaim(shard, now);
            }
        }
        for (const shard of held) {
            if (!this.claims.has(shard)) {
                this.claims.set(shard, {
                    generation,
                    mayOrderAt: now + this.readWaitMs(shard, generation, now),
                    depth: this.readFirstDepth(generation),
                    isHandover: false,
                });
            }
        }
        this.applyRecorded(now);
    }

    /**
     * Takes the generation under which this VM, before it started anew, last held its shards. If it is still the same
     * one, nobody else can have held them since, and there is nothing to wait for.
     */
    setRecordedGeneration(generation: number, now: number): void {
        this.recordedGeneration = generation;
        this.applyRecorded(now);
    }

    /**
     * Takes word from another VM that a renewal of its own, sent at `sentAt`, was answered with this generation: if it
     * is the one of this VM's claims, they held then.
     */
    applyWitness(generation: number, sentAt: number): void {
        if (generation === this.generation && this.claims.size > 0) {
            this.renewUntil(sentAt);
        }
    }

    /**
     * Takes word that most VMs, asked at `askedAt`, do not reach the store either and hold none of this VM's shards.
     * Whoever of them is dealt one later waits `useMs` before its first order. What stays open: a VM that none of them
     * reaches, and that alone reaches the store.
     */
    applyAllClear(askedAt: number): void {
        this.renewUntil(askedAt);
    }

    /**
     * Takes shards over from a VM that stops while the store is away. They are held under the same deal, and only as long
     * as it lasts.
     */
    applyHandover(shards: readonly number[], deal: number, depth: number, now: number): void {
        if (deal !== this.generation || depth > maxDepth) {
            return;
        }
        for (const shard of shards) {
            const mayOrderAt = Math.max(now, (this.heldUntil.get(shard) ?? this.startedAt) + this.options.turnMs);
            this.claims.set(shard, { generation: deal, mayOrderAt, depth, isHandover: true });
        }
    }

    /** Gives back what was taken over, since the VM to which it was dealt runs again. */
    revokeHandovers(now: number): number[] {
        return [...this.claims].filter(([, claim]) => claim.isHandover)
            .map(([shard]) => shard)
            .filter(shard => this.endClaim(shard, now));
    }

    /** Gives up shards that another VM has been dealt, and returns them. */
    revokeShards(shards: readonly number[], generation: number, now: number): number[] {
        if (generation <= this.generation) {
            return [];
        }
        return shards.filter(shard => this.endClaim(shard, now));
    }

    private endClaim(shard: number, now: number): boolean {
        this.heldUntil.set(shard, now);
        return this.claims.delete(shard);
    }

    private renewUntil(sentAt: number): void {
        this.validUntil = Math.max(this.validUntil, sentAt + this.options.useMs);
    }

    private applyRecorded(now: number): void {
        if (this.recordedGeneration !== this.generation) {
            return;
        }
        const mayOrderAt = Math.max(now, this.startedAt + recordedPauseMs);
        for (const [shard, claim] of this.claims) {
            this.claims.set(shard, { ...claim, mayOrderAt: Math.min(claim.mayOrderAt, mayOrderAt) });
        }
    }

    /**
     * How long a new holder waits. The last one stops `useMs` after its last renewal, or has said that it has stopped: only
     * the very next deal after a release is known to have had no holder in between. A shard that comes back to a VM
     * which held it lately waits `turnMs` as well, so that no two holders alternate.
     */
    private readWaitMs(shard: number, generation: number, now: number): number {
        const release = this.released.get(shard);
        const lapseMs = release?.generation === generation - 1 ? 0 : this.options.useMs + this.options.settleMs;
        const heldUntil = this.heldUntil.get(shard) ?? this.startedAt;
        const alternateMs = Math.max(0, heldUntil + this.options.turnMs - now);
        return Math.max(lapseMs, alternateMs);
    }

    /** Takes word of the holder in a deal that it gives no more orders to a shard. */
    recordRelease(shard: number, generation: number, now: number): void {
        this.released.set(shard, { generation, at: now });
        const claim = this.claims.get(shard);
        if (claim !== undefined && claim.generation === generation + 1) {
            const mayOrderAt = now + this.readWaitMs(shard, claim.generation, now);
            this.claims.set(shard, { ...claim, mayOrderAt: Math.min(claim.mayOrderAt, mayOrderAt) });
        }
    }

    /**
     * The process before this one may have given orders in the deal that this one meets first, with any token of that deal:
     * this one takes the highest.
     */
    private readFirstDepth(generation: number): number {
        return this.startedAt !== -Infinity && generation === this.firstDeal ? maxDepth : 0;
    }

    /** No process of this VM ran before this one: no shard can come back to it. */
    setFirstLife(): void {
        this.startedAt = -Infinity;
    }

    /** Whether this VM may give orders to all shards that it holds. */
    isSettled(now: number): boolean {
        return this.claims.size > 0 && [...this.claims.keys()].every(shard => this.canOrder(shard, now));
    }

    /** Gives everything up, as after a suspension: nothing may be ordered before the next confirmed renewal. */
    pause(): void {
        this.validUntil = 0;
    }

    /** Gives all shards up, in a planned stop. */
    releaseAll(now: number): void {
        this.pause();
        for (const shard of this.listShards()) {
            this.endClaim(shard, now);
        }
    }

    /** Whether orders to the engines of a shard may be given at this moment. */
    canOrder(shard: number, now: number): boolean {
        const claim = this.claims.get(shard);
        return claim !== undefined && now < this.validUntil && now >= claim.mayOrderAt;
    }

    /**
     * Shards whose release may be told: those whose earlier holders have all stopped. One that this VM was still waiting
     * for may be in use by the holder before it.
     */
    listReleasable(now: number): number[] {
        return [...this.claims].filter(([, claim]) => now >= claim.mayOrderAt).map(([shard]) => shard);
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
