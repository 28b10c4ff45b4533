import { OrderArrivals } from "./orderarrivals.js";
import { createFence, type FencesByShard, type LeaseReason, maxHandoverDepth, type ShardLease } from "./shardlease.js";

/** Options of {@link ShardLeases}. */
export interface ShardLeasesOptions {
    /** Duration of a lease, in milliseconds, counted from when its renewal was sent. */
    readonly leaseMs: number;
    /**
     * How long a new holder waits beyond the lease duration of the previous one, in milliseconds. A new holder gives no
     * orders before its lease has been confirmed for longer than this. So a holder whose renewals are confirmed at
     * shorter intervals knows that no other VM gave orders in between, even if the store reassigned the shards several
     * times.
     */
    readonly safetyMarginMs: number;
    /** Shortest time between the orders of two alternating holders of one engine, in milliseconds. */
    readonly holderGapMs: number;
    /** When this process started: the VM's previous process may have given orders until then. */
    readonly startedAt: number;
}

/**
 * Pause after the start of a process before it gives orders under a recorded generation, in milliseconds. In this time
 * a VM that took over the shards learns of the start. Together with the 2.3 s of a planned stop the pause keeps
 * alternating holders apart by the holder gap.
 */
const restartPauseMs = 800;

/**
 * Time within which an order has an outcome after its lease has ended, in milliseconds: connecting takes up to 70 ms,
 * the answer up to 90 ms. Orders without an answer are recorded by {@link ShardLeases.recordOwnArrivals}.
 */
const orderOutcomeMs = 250;

/**
 * Tracks which shards this VM holds, and when it may give orders to their engines. All times must come from a clock
 * that includes the time in which the VM was suspended.
 *
 * The store may reassign shards at any moment, and the holder learns of it only with its next renewal. So a holder
 * stops one lease duration after it sent the last confirmed renewal, and a new holder starts only one lease duration
 * plus the safety margin after it learned of its assignment.
 */
export class ShardLeases {
    private readonly leases = new Map<number, ShardLease>();
    /** Newest generation whose holder has announced that it gives no more orders, by shard. */
    private readonly releasedGenerations = new Map<number, number>();
    private readonly lastOrderAt = new Map<number, number>();
    /** Orders of other VMs that may still arrive. */
    private readonly arrivals = new OrderArrivals();
    private recordedGeneration: number | undefined;
    private recordedFences: FencesByShard = {};
    /** Whether no VM can have taken over the shards of this VM's previous process. */
    private wasNeverTakenOver = false;
    private firstSeenGeneration: number | undefined;
    private validUntil = 0;
    private generation = 0;
    /** Newest generation that another VM has reported. */
    private reportedGeneration = 0;

    /** Latest time at which an order of this VM's previous process can have arrived at its engine. */
    private previousProcessOrderAt: number;
    /** Since when most VMs know that this process has started. */
    private startKnownAt = Infinity;
    /** From when on orders may be given under the first generation that this process saw. */
    private startConfirmedAt = Infinity;
    /** Until when orders may be given to shards that were handed over. */
    private handoversValidUntil = 0;

    constructor(private readonly options: ShardLeasesOptions) {
        // An order takes no longer than the holder gap to arrive.
        this.previousProcessOrderAt = options.startedAt + options.holderGapMs;
    }

    /** The generation that this VM saw last; it rises with every change of any shard's holder. */
    get currentGeneration(): number {
        return this.generation;
    }

    /** The first generation that this process saw; undefined before its first renewal. */
    get firstGeneration(): number | undefined {
        return this.firstSeenGeneration;
    }

    /** The newest generation that this VM knows of, from the store or from other VMs. */
    get newestGeneration(): number {
        return Math.max(this.generation, this.reportedGeneration);
    }

    /** Identifies the holder of a shard: higher than that of every earlier holder, also of this VM's earlier process. */
    readFence(shard: number): number {
        return this.leases.get(shard)?.fence ?? 0;
    }

    /**
     * Fencing token of the orders to the engines of a shard: higher than that of every earlier holder, and constant for
     * as long as the VM holds the shard, over restarts as well. If the token rose meanwhile, the VM's own earlier order
     * that a lossy link delivers late would arrive with a lower token than a later one.
     */
    readOrderFence(shard: number): number {
        const lease = this.leases.get(shard);
        return lease?.recordedFence ?? lease?.fence ?? 0;
    }

    /** Fencing tokens of the orders to the shards that are assigned to this VM, to be recorded for its next start. */
    listOrderFences(): FencesByShard {
        const own = [...this.leases].filter(([, lease]) => !lease.isHandover);
        return Object.fromEntries(own.map(([shard]) => [shard, this.readOrderFence(shard)]));
    }

    /** Why this VM may give orders to a shard, and the generation in which it first held the shard. */
    explainLease(shard: number): { readonly reason: LeaseReason; readonly generation: number; } | undefined {
        const lease = this.leases.get(shard);
        return lease === undefined ? undefined : { reason: lease.reason, generation: lease.generation };
    }

    /** Number of handovers of a shard within the generation that this VM saw last. */
    readHandoverDepth(shard: number): number {
        const lease = this.leases.get(shard);
        return lease?.generation === this.generation ? lease.handoverDepth : 0;
    }

    /**
     * Applies the store's response to a renewal.
     * @param sentAt When the renewal was sent.
     * @returns Whether the response was applied: a response with a generation before the newest known one is outdated.
     */
    applyRenewal(generation: number, shards: readonly number[], sentAt: number, now: number): boolean {
        if (generation < this.newestGeneration) {
            return false;
        }
        // A shard held in two consecutive generations had no other holder. In generations that this VM did not see the
        // shard may have had another holder, which gave orders only if its lease lasted longer than the safety margin.
        const confirmedAt = this.validUntil - this.options.leaseMs;
        const mayHaveMoved = generation - this.generation > 1 && now - confirmedAt > this.options.safetyMarginMs;
        if (
            this.generation === this.firstGeneration && generation !== this.firstGeneration
            && !this.isStartConfirmed(now)
        ) {
            // No orders were given under these leases, and a VM that took over in the first generation may still give
            // orders: all leases start again.
            this.leases.clear();
        }
        this.generation = generation;
        this.firstSeenGeneration ??= generation;
        this.renewUntil(sentAt);
        const held = new Set(shards);
        for (const [shard, lease] of this.leases) {
            const isHandedOver = lease.isHandover && lease.generation === generation;
            // A shard that was handed over and is now assigned to this VM becomes its own, with the same fencing token.
            const isAssigned = lease.isHandover && !isHandedOver && held.has(shard);
            if (
                mayHaveMoved || (!held.has(shard) && !isHandedOver) || (isAssigned && now >= this.handoversValidUntil)
            ) {
                this.endLease(shard, now);
            }
            else if (isAssigned) {
                this.leases.set(shard, { ...lease, generation, handoverDepth: 0, isHandover: false });
            }
        }
        for (const shard of held) {
            if (!this.leases.has(shard)) {
                const isReleased = this.releasedGenerations.get(shard) === generation - 1;
                const handoverDepth = this.readInitialDepth(generation);
                this.leases.set(shard, {
                    reason: isReleased ? "released" : "waited",
                    generation,
                    mayOrderAt: now + this.readWaitMs(shard, generation, now),
                    handoverDepth,
                    fence: createFence(generation, handoverDepth),
                    isHandover: false,
                });
            }
        }
        this.applyRecordedGeneration(now);
        return true;
    }

    /**
     * Sets the generation under which this VM last held its shards before it restarted, and its fencing tokens. If the
     * generation is still current, no other VM can have held them since, and there is no lease to wait for.
     */
    setRecordedGeneration(generation: number, now: number, fences: FencesByShard = {}): void {
        this.recordedGeneration = generation;
        this.recordedFences = fences;
        this.applyRecordedGeneration(now);
    }

    /**
     * Extends the leases after another VM reported that the store confirmed that VM's own renewal, sent at `sentAt`,
     * with this generation. If this VM's leases are of the same generation, they were valid at that time.
     * @returns By how much the leases are extended, in milliseconds.
     */
    applyPeerRenewal(generation: number, sentAt: number): number {
        return generation === this.generation && this.leases.size > 0 ? this.renewUntil(sentAt) : 0;
    }

    /**
     * Extends the leases when most VMs, asked at `askedAt`, report that they do not reach the store either and hold
     * none of this VM's shards. A VM among them to which the store later assigns one of the shards waits a lease
     * duration before its first order. The extension does not cover a VM that none of them reaches and that alone
     * reaches the store. Once a later generation is known, any VM may hold the shards, and the leases are not extended.
     * @returns By how much the leases are extended, in milliseconds.
     */
    applyStoreOutage(askedAt: number): number {
        return this.reportedGeneration > this.generation ? 0 : this.renewUntil(askedAt);
    }

    /**
     * Records until when orders of another VM may still arrive at a shard. No orders are given to it before: they could
     * arrive earlier than those of the VM that held the shard before.
     */
    recordArrivals(shard: number, vm: string, end: number): void {
        this.arrivals.record(shard, vm, end);
    }

    /** Records until when orders that this VM gave may arrive at a shard, from which the holder gap counts. */
    recordOwnArrivals(shard: number, end: number): void {
        this.lastOrderAt.set(shard, Math.max(end, this.lastOrderAt.get(shard) ?? -Infinity));
    }

    /** Records the newest generation that another VM knows of. */
    recordGeneration(generation: number): void {
        this.reportedGeneration = Math.max(this.reportedGeneration, generation);
    }

    /**
     * Takes shards over from a VM that stops while the store is unreachable. This VM holds them under the same
     * generation, and only until the next one.
     */
    applyHandover(shards: readonly number[], generation: number, handoverDepth: number, now: number): void {
        if (generation !== this.generation || handoverDepth > maxHandoverDepth) {
            return;
        }
        for (const shard of shards) {
            const mayOrderAt = Math.max(
                now,
                (this.lastOrderAt.get(shard) ?? this.previousProcessOrderAt) + this.options.holderGapMs,
            );
            const fence = createFence(generation, handoverDepth);
            this.leases.set(shard, {
                reason: "handover",
                generation,
                mayOrderAt,
                handoverDepth,
                fence,
                isHandover: true,
            });
        }
    }

    /**
     * Releases the shards that were handed over, since the VM to which they are assigned runs again, and returns them.
     */
    revokeHandovers(now: number): number[] {
        return [...this.leases].filter(([, lease]) => lease.isHandover)
            .map(([shard]) => shard)
            .filter(shard => this.endLease(shard, now));
    }

    /** Releases shards that the store has assigned to another VM, and returns them. */
    revokeShards(shards: readonly number[], generation: number, now: number): number[] {
        this.recordGeneration(generation);
        if (generation <= this.generation) {
            return [];
        }
        return shards.filter(shard => this.endLease(shard, now));
    }

    private endLease(shard: number, now: number): boolean {
        // An order in transit arrives at the engine later than now, and the holder gap counts from its arrival.
        this.recordOwnArrivals(shard, now + orderOutcomeMs);
        return this.leases.delete(shard);
    }

    private renewUntil(sentAt: number): number {
        const before = this.validUntil;
        this.validUntil = Math.max(before, sentAt + this.options.leaseMs);
        return this.validUntil - before;
    }

    private applyRecordedGeneration(now: number): void {
        if (this.recordedGeneration !== this.generation) {
            return;
        }
        const mayOrderAt = Math.max(now, this.options.startedAt + restartPauseMs);
        for (const [shard, lease] of this.leases) {
            if (mayOrderAt < lease.mayOrderAt) {
                this.leases.set(shard, { ...lease, mayOrderAt, reason: "recorded" });
            }
        }
        this.applyRecordedFences();
    }

    /** Keeps the tokens of the previous process, whose late orders may arrive after the first ones of this process. */
    private applyRecordedFences(): void {
        const isRecorded = this.generation === this.recordedGeneration && this.generation === this.firstGeneration;
        if (!isRecorded) {
            return;
        }
        for (const [shard, lease] of this.leases) {
            const recordedFence = this.wasNeverTakenOver ? this.recordedFences[shard] : undefined;
            if (recordedFence !== lease.recordedFence && !lease.isHandover) {
                this.leases.set(shard, { ...lease, recordedFence });
            }
        }
    }

    /**
     * How long a new holder waits. The previous holder stops one lease duration after its last renewal, unless it has
     * released the shard: only in the generation right after the release is it certain that no other VM held the shard
     * in between. A VM that held the shard recently also waits for the holder gap, so that two holders do not
     * alternate.
     */
    private readWaitMs(shard: number, generation: number, now: number): number {
        const lapseMs = this.releasedGenerations.get(shard) === generation - 1
            ? 0
            : this.options.leaseMs + this.options.safetyMarginMs;
        const lastOrderAt = this.lastOrderAt.get(shard) ?? this.previousProcessOrderAt;
        const gapMs = Math.max(0, lastOrderAt + this.options.holderGapMs - now);
        return Math.max(lapseMs, gapMs);
    }

    /**
     * Records that the holder in a generation gives no more orders to a shard. The release is final, since it is sent
     * only after the store has ended that generation: neither the holder nor a restarted process of it gives orders in
     * the next one.
     * @returns Whether this VM now waits less for the shard.
     */
    recordRelease(shard: number, generation: number, now: number): boolean {
        if (generation >= (this.releasedGenerations.get(shard) ?? -Infinity)) {
            this.releasedGenerations.set(shard, generation);
        }
        const lease = this.leases.get(shard);
        if (lease !== undefined && lease.generation === generation + 1) {
            const mayOrderAt = now + this.readWaitMs(shard, lease.generation, now);
            if (mayOrderAt < lease.mayOrderAt) {
                this.leases.set(shard, { ...lease, mayOrderAt, reason: "released" });
                return true;
            }
        }
        return false;
    }

    /**
     * The VM's previous process may have given orders in the first generation that this process sees, with any token of
     * that generation, so this process uses the highest.
     */
    private readInitialDepth(generation: number): number {
        return this.previousProcessOrderAt !== -Infinity && generation === this.firstGeneration ? maxHandoverDepth : 0;
    }

    /** Declares that this VM had no earlier process, so that no shard can come back to it. */
    setFirstProcess(): void {
        this.previousProcessOrderAt = -Infinity;
        this.startKnownAt = -Infinity;
        this.startConfirmedAt = -Infinity;
    }

    /** Declares that the previous process stopped as planned: its last orders are as old as the stop was long. */
    setPlannedStop(): void {
        this.previousProcessOrderAt = this.options.startedAt + orderOutcomeMs;
    }

    /**
     * Records that most VMs know of this start, and whether one of them has recently confirmed that another VM took
     * over this VM's shards. Before this call, no orders are given under the first generation: the other VM, which may
     * not learn of the start itself, may give orders until most VMs report to it that they know of the start. A further
     * call adds what another VM knows, which may have replied later than those that have just started themselves.
     * @param wasNeverTakenOver Whether none of them knows of a VM that ever took over this VM's shards. Such a VM used
     * higher tokens than the recorded ones.
     */
    recordStartKnown(now: number, wasTakenOver: boolean, wasNeverTakenOver = false): void {
        this.startKnownAt = Math.min(this.startKnownAt, now);
        const afterGap = Math.max(
            this.startKnownAt + this.options.leaseMs + orderOutcomeMs,
            this.previousProcessOrderAt + this.options.holderGapMs,
        );
        this.startConfirmedAt = wasTakenOver ? afterGap : this.startKnownAt;
        this.wasNeverTakenOver = wasNeverTakenOver;
        this.applyRecordedFences();
    }

    private isStartConfirmed(now: number): boolean {
        return now >= this.startConfirmedAt;
    }

    /** Whether this VM holds shards of the first generation that it may not use before most VMs know of this start. */
    isStartPending(now: number): boolean {
        return this.generation === this.firstGeneration && this.leases.size > 0 && !this.isStartConfirmed(now);
    }

    /**
     * Extends the use of handed-over shards: most VMs, asked at `askedAt`, know of no restart of the handover sources.
     */
    renewHandovers(askedAt: number): void {
        this.handoversValidUntil = Math.max(this.handoversValidUntil, askedAt + this.options.leaseMs);
    }

    get hasHandovers(): boolean {
        return [...this.leases.values()].some(lease => lease.isHandover);
    }

    /** Whether this VM may give orders to all shards that it holds. */
    canOrderAll(now: number): boolean {
        return this.leases.size > 0 && [...this.leases.keys()].every(shard => this.canOrder(shard, now));
    }

    /** Stops all orders until the next confirmed renewal, for example after a suspension. */
    pause(): void {
        this.validUntil = 0;
    }

    /** Releases all shards in a planned stop. */
    releaseAll(now: number): void {
        this.pause();
        for (const shard of this.listShards()) {
            this.endLease(shard, now);
        }
    }

    /** Whether this VM may give orders to the engines of a shard now. */
    canOrder(shard: number, now: number): boolean {
        return this.mayHandOver(shard, now) && this.hasNoLateOrders(shard, now);
    }

    /** Whether this VM may give orders to the engines of a shard as soon as those of earlier holders have arrived. */
    private mayHandOver(shard: number, now: number): boolean {
        const lease = this.leases.get(shard);
        return lease !== undefined && now < this.validUntil && this.hasTurn(lease, now)
            && (!lease.isHandover || now < this.handoversValidUntil);
    }

    /** Whether all earlier holders of a shard have stopped. */
    private hasTurn(lease: ShardLease, now: number): boolean {
        return now >= lease.mayOrderAt
            && (lease.generation !== this.firstGeneration || this.isStartConfirmed(now));
    }

    /** Whether no order of another VM to the engines of a shard can still arrive. */
    private hasNoLateOrders(shard: number, now: number): boolean {
        return now >= this.arrivals.readEnd(shard);
    }

    /**
     * Shards whose release this VM may announce: those whose earlier holders have all stopped. A shard that this VM
     * still waits for may be in use by the previous holder, and a handed-over shard by the VM to which the store
     * assigned it.
     */
    listReleasable(now: number): number[] {
        return [...this.leases]
            .filter(([shard, lease]) =>
                !lease.isHandover && this.hasTurn(lease, now) && this.hasNoLateOrders(shard, now)
            )
            .map(([shard]) => shard);
    }

    /** Shards that this VM may hand over: all earlier holders have stopped, although their orders may still arrive. */
    listTransferable(now: number): number[] {
        return this.listShards().filter(shard => this.mayHandOver(shard, now));
    }

    /** Latest time at which an order that another VM has reported may arrive, in milliseconds; -Infinity without one. */
    readArrivalEnd(shard: number): number {
        return this.arrivals.readEnd(shard);
    }

    listShards(): number[] {
        return [...this.leases.keys()];
    }

    /** The leases of this VM, by shard. */
    listLeases(): ReadonlyMap<number, ShardLease> {
        return this.leases;
    }
}

/** The shard of an engine, or the group of an account. */
export function readShard(name: string, shardCount: number): number {
    let hash = 2166136261;
    for (let index = 0; index < name.length; index++) {
        hash = Math.imul(hash ^ name.charCodeAt(index), 16777619);
    }
    return (hash >>> 0) % shardCount;
}
