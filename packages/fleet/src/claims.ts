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

/** What lets a VM give orders to a shard: the claims before it have lapsed, or one of the other three. */
export type ClaimReason = "waited" | "released" | "recorded" | "handover";

/** A claim of one shard of the engines. */
interface Claim {
    /** What set `mayOrderAt`. */
    readonly reason: ClaimReason;
    /** The deal in which this VM first held it. */
    readonly generation: number;
    readonly mayOrderAt: number;
    /** How often it has changed hands within the deal: part of its fencing token. */
    readonly depth: number;
    /** Its fencing token. */
    readonly fence: number;
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
 * Longest time for which an order is on its way, in milliseconds, given up or not: what a lossy link loses is sent again after
 * some 200 ms, also where the connection was reset meanwhile. Orders came 203 ms after they were sent, and none later, in
 * days with losses of 3 in 100. One that is lost twice comes later still.
 */
export const orderFlightMs = 250;

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
    /** Newest deal whose holder has said that it gives no more orders, by shard. */
    private readonly released = new Map<number, number>();
    private readonly heldUntil = new Map<number, number>();
    private recordedGeneration: number | undefined;
    private firstDeal: number | undefined;
    private validUntil = 0;
    private generation = 0;
    /** Newest deal that another VM has told of. */
    private toldGeneration = 0;

    /** When the last order of the process before this one came to its engine, at the latest. */
    private pastOrderAt: number;
    /** From when on orders may be given under the deal that this process met first. */
    private firstDealAt = Infinity;
    /** How long shards that were taken over may be used. */
    private handoverUntil = 0;

    constructor(private readonly options: ClaimClockOptions) {
        this.pastOrderAt = options.startedAt + orderFlightMs;
    }

    /** The deal that this VM saw last: it rises with every change of any shard's holder. */
    get deal(): number {
        return this.generation;
    }

    /** The newest deal that this VM knows of, by itself or from others. */
    get newestDeal(): number {
        return Math.max(this.generation, this.toldGeneration);
    }

    /**
     * Fencing token for the engines of a shard: higher than that of every holder before, and the same for as long as the shard
     * is held. A token that rises while it is held makes the holder's own order, which a lossy link delivers 200 ms late, come
     * below one that was sent after it.
     */
    readFence(shard: number): number {
        return this.claims.get(shard)?.fence ?? 0;
    }

    /** What lets this VM give orders to a shard, and the deal in which it first held it. */
    explainClaim(shard: number): { readonly reason: ClaimReason; readonly generation: number; } | undefined {
        const claim = this.claims.get(shard);
        return claim === undefined ? undefined : { reason: claim.reason, generation: claim.generation };
    }

    /** How often a shard has changed hands within the deal that this VM saw last. */
    readDepth(shard: number): number {
        const claim = this.claims.get(shard);
        return claim?.generation === this.generation ? claim.depth : 0;
    }

    /**
     * Takes the answer to a renewal.
     * @param sentAt When the renewal was sent.
     * @returns Whether it was taken: one that tells of a deal before the newest known one is old.
     */
    applyRenewal(generation: number, shards: readonly number[], sentAt: number, now: number): boolean {
        if (generation < this.newestDeal) {
            return false;
        }
        // A shard held in two deals in a row had no other holder. Over deals that this VM did not see it may have had one,
        // which has ordered only if it was confirmed for longer than `settleMs`.
        const provenAt = this.validUntil - this.options.useMs;
        const mayHaveMoved = generation - this.generation > 1 && now - provenAt > this.options.settleMs;
        if (this.generation === this.firstDeal && generation !== this.firstDeal && !this.isStartConfirmed(now)) {
            // Nothing was ordered under them, and whoever went on in the first deal may still do so: all are new.
            this.claims.clear();
        }
        this.generation = generation;
        this.firstDeal ??= generation;
        this.renewUntil(sentAt);
        const held = new Set(shards);
        for (const [shard, claim] of this.claims) {
            const isHandedOver = claim.isHandover && claim.generation === generation;
            // What was taken over and is now dealt to this VM is its own, under the token that it has used.
            const isDealt = claim.isHandover && !isHandedOver && held.has(shard);
            if (mayHaveMoved || (!held.has(shard) && !isHandedOver) || (isDealt && now >= this.handoverUntil)) {
                this.endClaim(shard, now);
            }
            else if (isDealt) {
                this.claims.set(shard, { ...claim, generation, depth: 0, isHandover: false });
            }
        }
        for (const shard of held) {
            if (!this.claims.has(shard)) {
                const isReleased = this.released.get(shard) === generation - 1;
                const depth = this.readFirstDepth(generation);
                this.claims.set(shard, {
                    reason: isReleased ? "released" : "waited",
                    generation,
                    mayOrderAt: now + this.readWaitMs(shard, generation, now),
                    depth,
                    fence: createFence(generation, depth),
                    isHandover: false,
                });
            }
        }
        this.applyRecorded(now);
        return true;
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
     * @returns How much longer that lets it give orders, in milliseconds.
     */
    applyWitness(generation: number, sentAt: number): number {
        return generation === this.generation && this.claims.size > 0 ? this.renewUntil(sentAt) : 0;
    }

    /**
     * Takes word that most VMs, asked at `askedAt`, do not reach the store either and hold none of this VM's shards.
     * Whoever of them is dealt one later waits `useMs` before its first order. What stays open: a VM that none of them
     * reaches, and that alone reaches the store. Once a later deal is heard of, the shards may be anyone's.
     * @returns How much longer that lets it give orders, in milliseconds.
     */
    applyAllClear(askedAt: number): number {
        return this.toldGeneration > this.generation ? 0 : this.renewUntil(askedAt);
    }

    /** Takes word of another VM about the newest deal that it knows of. */
    recordDeal(generation: number): void {
        this.toldGeneration = Math.max(this.toldGeneration, generation);
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
            const mayOrderAt = Math.max(now, (this.heldUntil.get(shard) ?? this.pastOrderAt) + this.options.turnMs);
            const fence = createFence(deal, depth);
            this.claims.set(shard, {
                reason: "handover",
                generation: deal,
                mayOrderAt,
                depth,
                fence,
                isHandover: true,
            });
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
        this.recordDeal(generation);
        if (generation <= this.generation) {
            return [];
        }
        return shards.filter(shard => this.endClaim(shard, now));
    }

    private endClaim(shard: number, now: number): boolean {
        // An order that is on its way comes to the engine later than this, and a turn counts from there.
        this.heldUntil.set(shard, now + orderFlightMs);
        return this.claims.delete(shard);
    }

    private renewUntil(sentAt: number): number {
        const before = this.validUntil;
        this.validUntil = Math.max(before, sentAt + this.options.useMs);
        return this.validUntil - before;
    }

    private applyRecorded(now: number): void {
        if (this.recordedGeneration !== this.generation) {
            return;
        }
        const mayOrderAt = Math.max(now, this.options.startedAt + recordedPauseMs);
        for (const [shard, claim] of this.claims) {
            if (mayOrderAt < claim.mayOrderAt) {
                this.claims.set(shard, { ...claim, mayOrderAt, reason: "recorded" });
            }
        }
    }

    /**
     * How long a new holder waits. The last one stops `useMs` after its last renewal, or has said that it has stopped: only
     * the very next deal after a release is known to have had no holder in between. A shard that comes back to a VM
     * which held it lately waits `turnMs` as well, so that no two holders alternate.
     */
    private readWaitMs(shard: number, generation: number, now: number): number {
        const lapseMs = this.released.get(shard) === generation - 1 ? 0 : this.options.useMs + this.options.settleMs;
        const heldUntil = this.heldUntil.get(shard) ?? this.pastOrderAt;
        const alternateMs = Math.max(0, heldUntil + this.options.turnMs - now);
        return Math.max(lapseMs, alternateMs);
    }

    /**
     * Takes word of the holder in a deal that it gives no more orders to a shard. It holds for good, since it is sent only
     * when the store has ended that deal: neither the holder nor a start of it gives orders in the deal after that.
     * @returns Whether this VM waits less for it.
     */
    recordRelease(shard: number, generation: number, now: number): boolean {
        if (generation >= (this.released.get(shard) ?? -Infinity)) {
            this.released.set(shard, generation);
        }
        const claim = this.claims.get(shard);
        if (claim !== undefined && claim.generation === generation + 1) {
            const mayOrderAt = now + this.readWaitMs(shard, claim.generation, now);
            if (mayOrderAt < claim.mayOrderAt) {
                this.claims.set(shard, { ...claim, mayOrderAt, reason: "released" });
                return true;
            }
        }
        return false;
    }

    /**
     * The process before this one may have given orders in the deal that this one meets first, with any token of that deal:
     * this one takes the highest.
     */
    private readFirstDepth(generation: number): number {
        return this.pastOrderAt !== -Infinity && generation === this.firstDeal ? maxDepth : 0;
    }

    /** No process of this VM ran before this one: no shard can come back to it. */
    setFirstLife(): void {
        this.pastOrderAt = -Infinity;
        this.firstDealAt = -Infinity;
    }

    /**
     * Takes word that most VMs have heard of this start, and whether one of them has lately borne out that another VM goes on
     * in this VM's place. Before it nothing is ordered under the first deal: that other VM, which need not hear of the start
     * itself, may do so until most others tell it that they have.
     */
    recordStartHeard(now: number, wasTakenOver: boolean): void {
        const atOnce = Math.min(this.firstDealAt, now);
        const afterTurn = Math.max(now + this.options.useMs + orderFlightMs, this.pastOrderAt + this.options.turnMs);
        this.firstDealAt = wasTakenOver ? Math.min(this.firstDealAt, afterTurn) : atOnce;
    }

    private isStartConfirmed(now: number): boolean {
        return now >= this.firstDealAt;
    }

    /** Whether shards of the first deal are held that may not be used before most VMs have heard of this start. */
    isHeldBack(now: number): boolean {
        return this.generation === this.firstDeal && this.claims.size > 0 && !this.isStartConfirmed(now);
    }

    /** Takes word that most VMs, asked at `askedAt`, have not heard of a start of those from which shards were taken over. */
    renewHandovers(askedAt: number): void {
        this.handoverUntil = Math.max(this.handoverUntil, askedAt + this.options.useMs);
    }

    get hasHandovers(): boolean {
        return [...this.claims.values()].some(claim => claim.isHandover);
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
        return claim !== undefined && now < this.validUntil && now >= claim.mayOrderAt
            && (claim.generation !== this.firstDeal || this.isStartConfirmed(now))
            && (!claim.isHandover || now < this.handoverUntil);
    }

    /**
     * Shards whose release may be told: those whose earlier holders have all stopped. One that this VM was still waiting
     * for may be in use by the holder before it, and one that it has taken over by the VM to which it was dealt.
     */
    listReleasable(now: number): number[] {
        return [...this.claims].filter(([, claim]) =>
            now >= claim.mayOrderAt && !claim.isHandover
            && (claim.generation !== this.firstDeal || this.isStartConfirmed(now))
        ).map(([shard]) => shard);
    }

    /** Shards that this VM may give orders to now, and so may hand over. */
    listUsable(now: number): number[] {
        return this.listShards().filter(shard => this.canOrder(shard, now));
    }

    listShards(): number[] {
        return [...this.claims.keys()];
    }
}

/** Fencing token of a claim: it rises with the deal, and with each handover within it. */
function createFence(generation: number, depth: number): number {
    return generation * (maxDepth + 1) + depth;
}

/** The shard of an engine, or the group of an account. */
export function readShard(name: string, shardCount: number): number {
    let hash = 2166136261;
    for (let index = 0; index < name.length; index++) {
        hash = Math.imul(hash ^ name.charCodeAt(index), 16777619);
    }
    return (hash >>> 0) % shardCount;
}
