import { type FencesByShard, readShard, ShardLeases } from "@radishreel/fleet";
import { BootClock, processTimers, type ScheduledRun, type Timers } from "../clock.js";
import type { Member, ShardAssigner } from "../ports.js";
import { EarlierOrders } from "./earlierorders.js";
import { OwnedEngines, type OwnedEnginesOptions } from "./engines.js";
import { HandoverSources } from "./handoversources.js";
import { LeaseLog } from "./leaselog.js";
import type { Handover, HandoverSource, LeaseEvent, LeaseQuery, LeaseState } from "./leasemessages.js";
import { OrdersInFlight } from "./ordersinflight.js";
import { type Release, ShardReleases } from "./releases.js";

/** Interval of lease renewals, in milliseconds: two renewals may be lost before a lease expires. */
const renewMs = 400;

/** Extra wait of a new holder before its first order, beyond the lease duration, in milliseconds: two renewals. */
const leaseSafetyMarginMs = 2 * renewMs;

/**
 * A VM without shards renews on every third tick only: the VM just waits for an assignment, and stays a member of the
 * group for 2.8 s after a renewal.
 */
const idleRenewalDivisor = 3;

/** Age of the last confirmed renewal at which a holder queries the other VMs, in milliseconds. */
const peerQueryAfterMs = 550;

/**
 * A VM whose renewal has had no response for this long counts as cut off from the store, in milliseconds. Responses
 * usually take 4 ms. Two queries after the start of an outage most VMs can report it, before the first leases expire.
 */
const cutOffAfterMs = 300;

/**
 * Older renewal attempts do not show the current state of the store, in milliseconds: VMs without shards renew every
 * 1.2 s.
 */
const recentAttemptMs = 1600;

/**
 * Interval and duration of the queries by which a new process asks whether its shards were taken over, in milliseconds.
 */
const startQueryIntervalMs = 100;
const startQueryPeriodMs = 2000;

/**
 * How long a restarted VM holds shards while too few VMs confirm its start, in milliseconds, before it requests a new
 * assignment. Most VMs may be gone permanently, and the store does not reassign shards by itself. Links open within
 * some 100 ms, after a cut within 500 ms.
 */
const unconfirmedStartMs = 3000;

/** Longest wait for a running renewal before the VM leaves the group, in milliseconds: responses usually take 4 ms. */
const renewalWaitMs = 100;

/** Query numbers reserved for one process: replies to queries of its predecessor are distinguished by their number. */
const queriesPerIncarnation = 1000;

/** Lease duration: how long one confirmed renewal lets its holder give orders, in milliseconds. */
const leaseMs = 1300;

/** Highest reported age of the last renewal, also reported if there was none, in milliseconds. */
const maxRenewalAgeMs = 1_000_000;

/** Options of owned engines that {@link ShardOwnership} sets itself. */
type InternalOption =
    | "mayOrder"
    | "readFence"
    | "readOrderFence"
    | "ordersInFlight"
    | "explainOrders"
    | "readLeaseFields"
    | "readBoot";

/** Options of {@link ShardOwnership}. */
export interface ShardOwnershipOptions extends Omit<OwnedEnginesOptions, InternalOption> {
    readonly shardAssigner: ShardAssigner;
    /** Start time of this process in milliseconds; distinguishes it from other processes of the same VM. */
    readonly incarnation: number;
    /** Incarnation of the newest known process of a VM. */
    readonly readIncarnation: (vm: string) => number | undefined;
    /** Minimum time between orders of two holders of one engine, in milliseconds. */
    readonly holderGapMs: number;
    readonly sendRelease: (release: Release) => void;
    readonly sendQuery: (query: LeaseQuery) => void;
    /** Hands shards over to one other VM. @returns Whether a VM was available. */
    readonly sendHandover: (handover: Handover) => boolean;
    /** Stores the generation in which this VM gives orders, and their fencing tokens, for its next start. */
    readonly recordGeneration: (generation: number, fences: FencesByShard) => void;
    /** Counts events of shard leases. */
    readonly onLeaseEvent?: (event: LeaseEvent) => void;
    /** Whether the whole system starts for the first time. @default false */
    readonly isFirstStart?: boolean | undefined;
    /** Whether this VM is to own engines. Once it owns some, it stays an owner. @default always */
    readonly isCandidate?: () => boolean;
    /** @default a clock of this process */
    readonly bootClock?: BootClock;
}

/** The newest query to all other VMs, and the replies so far. */
interface OpenQuery {
    readonly query: number;
    readonly askedAt: number;
    /** VMs that are cut off from the store and hold none of this VM's shards. */
    readonly clearedBy: Set<string>;
    /** VMs that know that no handover source of this VM has restarted. */
    readonly sourcesGoneBy: Set<string>;
}

/**
 * Determines which engines this VM owns: leases their shards, extends the leases during store outages, hands them over.
 */
export class ShardOwnership {
    readonly engines: OwnedEngines;
    private readonly leases: ShardLeases;
    private readonly leaseLog: LeaseLog;
    private readonly earlierOrders: EarlierOrders;
    private readonly releases: ShardReleases;
    private readonly timers: Timers;
    private renewTimer: ScheduledRun | undefined;
    private isRenewing = false;
    private renewing: Promise<void> = Promise.resolve();
    private isStopped = false;
    private readonly bootClock: BootClock;
    private suspendedMs = 0;
    private hasStarted = false;
    private renewedAt = -Infinity;
    private attemptedAt = -Infinity;
    /** When the first renewal after the last response was sent; undefined if all renewals have responses. */
    private unansweredSince: number | undefined;
    private openQuery: OpenQuery;
    /** VMs that have replied to a query of this process and therefore know that it has started. */
    private readonly startKnownBy = new Set<string>();
    private wasTakenOver = false;
    private wasNeverTakenOver = true;
    private isStartConfirmed = false;
    private startTimer: ScheduledRun | undefined;
    /** Since when this VM holds shards that it may not use until most VMs know that it has started. */
    private unusableSince: number | undefined;
    private readonly handoverSources: HandoverSources;
    private recordedGeneration = -1;
    private renewalCount = 0;
    /** Whether this process has joined the group of owners, and whether it has asked to. */
    private hasJoined = false;
    private hasAskedToJoin = false;

    constructor(private readonly options: ShardOwnershipOptions) {
        this.bootClock = options.bootClock ?? new BootClock();
        this.timers = options.timers ?? processTimers;
        this.handoverSources = new HandoverSources(options.readIncarnation);
        this.openQuery = this.createQuery(options.incarnation * queriesPerIncarnation);
        this.leases = new ShardLeases({
            leaseMs,
            safetyMarginMs: leaseSafetyMarginMs,
            holderGapMs: options.holderGapMs,
            startedAt: this.bootClock.read(),
        });
        this.leaseLog = new LeaseLog(options.log);
        const readTime = (): number => this.bootClock.read();
        // An order that arrives even later has a lower token than those of the next holder.
        const transit = { timers: this.timers, readTime, maxTransitMs: options.holderGapMs };
        const ordersInFlight = new OrdersInFlight(transit);
        const { leases } = this;
        const earlierOrders = this.earlierOrders = new EarlierOrders({ ...transit, leases });
        const findShard = (name: string): number => this.findShard(name);
        this.releases = new ShardReleases({ ...options, leases, ordersInFlight, earlierOrders, readTime, findShard });
        this.engines = new OwnedEngines({
            ...options,
            readBoot: readTime,
            ordersInFlight,
            mayOrder: name => this.mayOrder(name),
            readFence: name => this.leases.readFence(this.findShard(name)),
            readOrderFence: name => this.leases.readOrderFence(this.findShard(name)),
            explainOrders: name => this.explainOrders(name),
            readLeaseFields: name => this.readLeaseFields(name),
        });
    }

    /**
     * Starts to lease shards.
     * @param previousEntry This VM's entry from before its start; undefined if the VM never ran, or its entry was lost
     * or never written. Only at the first start of the whole system no process has given orders before. A planned stop
     * released the shards of this VM to other VMs. After such a stop, this VM joins the group only once it may use
     * shards, so that the other VMs use these shards until then.
     */
    start(previousEntry: Member | undefined): void {
        if (previousEntry === undefined && this.options.isFirstStart === true) {
            this.isStartConfirmed = true;
            this.leases.setFirstProcess();
            this.earlierOrders.setFirstProcess();
        }
        else {
            this.sendStartQueries(this.bootClock.read() + startQueryPeriodMs);
        }
        if (previousEntry?.generation !== undefined) {
            const { generation, fences } = previousEntry;
            this.leases.setRecordedGeneration(generation, this.bootClock.read(), fences);
            this.earlierOrders.setRecordedGeneration(generation, fences);
        }
        const hasLeft = previousEntry?.hasLeft === true;
        if (hasLeft) {
            this.leases.setPlannedStop();
        }
        const waitMs = hasLeft ? this.options.holderGapMs : 0;
        this.renewTimer = this.timers.scheduleOnce(() => {
            this.hasStarted = true;
            void this.renew();
            this.renewTimer = this.timers.scheduleEvery(() => this.renewLeases(), renewMs);
        }, waitMs);
    }

    /** Asks whether another VM holds the shards of the previous process, until most VMs have replied. */
    private sendStartQueries(untilMs: number): void {
        const now = this.bootClock.read();
        if (this.isStopped || this.isStartConfirmed || now >= untilMs) {
            return;
        }
        this.sendQuery(now);
        this.checkStartConfirmed();
        this.startTimer = this.timers.scheduleOnce(() => this.sendStartQueries(untilMs), startQueryIntervalMs);
    }

    private checkStartConfirmed(): void {
        if (this.isStartConfirmed || !this.isMajority(this.startKnownBy)) {
            return;
        }
        this.isStartConfirmed = true;
        this.recordStartKnown();
    }

    private recordStartReply(vm: string, { isTakenOver, wasNeverTakenOver }: LeaseState): void {
        const [wasTakenOver, neverTakenOver] = [this.wasTakenOver, this.wasNeverTakenOver];
        this.startKnownBy.add(vm);
        this.wasTakenOver ||= isTakenOver;
        this.wasNeverTakenOver &&= wasNeverTakenOver === true;
        const isNew = wasTakenOver !== this.wasTakenOver || neverTakenOver !== this.wasNeverTakenOver;
        if (!this.isStartConfirmed) {
            this.checkStartConfirmed();
        }
        else if (isNew) {
            this.recordStartKnown();
        }
    }

    private recordStartKnown(): void {
        this.leases.recordStartKnown(this.bootClock.read(), this.wasTakenOver, this.wasNeverTakenOver);
        this.options.log.recordImportant("startConfirmed", {
            heardBy: this.startKnownBy.size,
            others: this.options.countOthers(),
            wasTakenOver: this.wasTakenOver,
            wasNeverTakenOver: this.wasNeverTakenOver,
        });
    }

    /** Whether these VMs together with this one are a majority. */
    private isMajority(vms: ReadonlySet<string>): boolean {
        return (vms.size + 1) * 2 > this.options.countOthers() + 1;
    }

    /**
     * Releases all shards and notifies the other VMs, so that they need not wait for the leases to expire. While the
     * store is unreachable, one of them takes over the shards.
     */
    async stop(): Promise<void> {
        this.isStopped = true;
        this.renewTimer?.cancel();
        this.startTimer?.cancel();
        const now = this.bootClock.read();
        const heldShards = this.leases.listShards();
        const releasableShards = this.leases.listReleasable(now);
        const transferableShards = this.leases.listTransferable(now);
        const generation = this.leases.currentGeneration;
        const handoverDepth = 1 + Math.max(0, ...transferableShards.map(shard => this.leases.readHandoverDepth(shard)));
        const givers = this.listHandoverSources();
        const isCutOff = now - this.renewedAt > peerQueryAfterMs;
        this.leases.releaseAll(now);
        this.leaseLog.update(this.leases.listLeases(), now);
        this.engines.stop();
        await this.releases.waitOutcomes(heldShards);
        const handover: Handover = {
            shards: transferableShards,
            deal: generation,
            depth: handoverDepth,
            givers,
            inTransit: this.releases.listAllInTransit(heldShards),
        };
        if (isCutOff && this.sendHandover(handover, heldShards)) {
            return;
        }
        // The release is sent only after this VM has left the group. Until then the VM may restart and give orders in
        // the same generation; the next holder would trust the earlier release and not wait for these orders.
        await this.waitRenewal();
        if (!this.hasAskedToJoin) {
            return;
        }
        if (await this.options.shardAssigner.release()) {
            await this.releases.release(heldShards, releasableShards, generation, "stop");
        }
        else if (!isCutOff) {
            // The store became unreachable just now. If it reassigned the shards nevertheless, the receiver learns the
            // new generation from the store or from other VMs, like every holder of shards.
            this.sendHandover(handover, heldShards);
        }
    }

    /** Hands shards over to one other VM, and tells all of this VM's orders that may still arrive at those it held. */
    private sendHandover(handover: Handover, heldShards: readonly number[]): boolean {
        const isSent = handover.shards.length > 0 && this.options.sendHandover(handover);
        if (isSent) {
            this.options.log.recordImportant("handedOver", handover);
            // The store may assign the shards to a third VM as soon as it is back.
            this.releases.sendReport(heldShards, handover.deal);
        }
        return isSent;
    }

    /** Takes over shards from a VM that stops. */
    receiveHandover(handover: Handover): void {
        if (this.isStopped) {
            // The sender did not know yet that this VM is stopping as well.
            const isPassedOn = this.options.sendHandover(handover);
            this.options.log.recordImportant("handoverPassedOn", { ...handover, isPassedOn });
            return;
        }
        const isOld = this.handoverSources.hasAnyRestarted(handover.givers);
        this.options.log.recordImportant("handoverReceived", {
            ...handover,
            ownDeal: this.leases.currentGeneration,
            isOld,
        });
        if (isOld) {
            return;
        }
        const now = this.bootClock.read();
        if (!this.leases.hasHandovers) {
            // Earlier handovers ended with their generation.
            this.handoverSources.removeAll();
        }
        const [sender] = handover.givers;
        if (sender !== undefined) {
            this.releases.recordReport(sender.vm, handover.inTransit);
        }
        this.leases.applyHandover(handover.shards, handover.deal, handover.depth, now);
        this.handoverSources.add(handover.givers);
        this.update();
        this.sendQuery(now);
    }

    /** Handles the start of a VM: ends the use of all shards taken over, from that VM or any other. */
    receiveStart(): void {
        this.handoverSources.removeAll();
        const revoked = this.leases.revokeHandovers(this.bootClock.read());
        if (revoked.length > 0) {
            this.options.log.recordImportant("handoverEnded", { shards: revoked });
            this.update();
            void this.releases.release(revoked, [], this.leases.currentGeneration, "handoverEnded");
        }
    }

    /** Handles a release of shards by another VM. */
    recordRelease(vm: string, { shards, generation, inTransit }: Release): void {
        const now = this.bootClock.read();
        this.releases.recordReport(vm, inTransit);
        const shortened = shards.filter(shard => this.leases.recordRelease(shard, generation, now));
        this.options.onLeaseEvent?.(shortened.length > 0 ? "releaseUsed" : "releaseUnused");
        this.options.log.record("releaseTaken", {
            vm,
            shards,
            generation,
            inTransit,
            ownDeal: this.leases.currentGeneration,
            shortened,
        });
        this.update();
    }

    /** Updates the owned engines after a change of the leases or of the known engines. */
    update(): void {
        if (this.isStopped) {
            return;
        }
        this.leaseLog.update(this.leases.listLeases(), this.bootClock.read());
        const shards = new Set(this.leases.listShards());
        if (shards.size === 0 && !this.engines.hasEngines) {
            return;
        }
        this.engines.update(name => shards.has(this.findShard(name)));
    }

    private findShard(name: string): number {
        return readShard(name, this.options.shardAssigner.shardCount);
    }

    private explainOrders(name: string): object {
        const lease = this.leases.explainLease(this.findShard(name));
        if (lease !== undefined) {
            this.options.onLeaseEvent?.(`${lease.reason}Claim`);
        }
        return { ...lease, renewalAgeMs: Math.round(this.renewalAgeMs) };
    }

    private readLeaseFields(name: string): object {
        const shard = this.findShard(name);
        return { shard, ...this.leases.explainLease(shard) };
    }

    private mayOrder(name: string): boolean {
        this.checkSuspension();
        return this.leases.canOrder(this.findShard(name), this.bootClock.read());
    }

    /** After a suspension of the VM a lease must be confirmed again, whatever remains of it. */
    private checkSuspension(): void {
        this.bootClock.read();
        const { suspendedMs } = this.bootClock;
        if (suspendedMs > this.suspendedMs) {
            this.options.log.recordImportant("suspended", { ms: Math.round(suspendedMs - this.suspendedMs) });
            this.suspendedMs = suspendedMs;
            this.leases.pause();
            void this.renew();
        }
    }

    /** Age of the last confirmed renewal, counted from its sending, in milliseconds. */
    get renewalAgeMs(): number {
        return Math.min(this.bootClock.read() - this.renewedAt, maxRenewalAgeMs);
    }

    /**
     * Whether recent attempts of this VM to reach the store failed. A VM without recent attempts does not count as cut
     * off: most VMs hold no shard and renew seldom, and a majority of such VMs would extend the lease of a holder whose
     * shards the store has reassigned.
     */
    private get isCutOff(): boolean {
        const now = this.bootClock.read();
        return this.unansweredSince !== undefined && now - this.unansweredSince >= cutOffAfterMs
            && now - this.attemptedAt < recentAttemptMs;
    }

    /** This process, and those whose shards it took over. */
    private listHandoverSources(): HandoverSource[] {
        const { vm, incarnation } = this.options;
        return [{ vm, incarnation }, ...this.leases.hasHandovers ? this.handoverSources.list() : []];
    }

    /**
     * Creates the reply to a query. A VM whose last confirmed renewal is old renews, to learn the state of the store: at
     * the usual rate, since each holder sends queries, and a store that refuses calls would get one for each of them.
     */
    readLeaseState(vm: string, { query, givers, newestDeal }: LeaseQuery): LeaseState {
        const now = this.bootClock.read();
        this.leases.recordGeneration(newestDeal);
        this.handoverSources.recordTakeovers(givers, now);
        if (this.hasStarted && this.renewalAgeMs > peerQueryAfterMs && now - this.attemptedAt >= renewMs) {
            void this.renew();
        }
        return {
            query,
            generation: this.leases.currentGeneration,
            newestDeal: this.leases.newestGeneration,
            shards: this.leases.listShards(),
            renewalAgeMs: this.renewalAgeMs,
            isCutOff: this.isCutOff,
            giversHaveStarted: this.handoverSources.hasAnyRestarted(givers),
            giversAreGone: this.handoverSources.hasNoneRestarted(givers),
            isTakenOver: this.handoverSources.isTakenOver(vm, now),
            wasNeverTakenOver: !this.handoverSources.hasBeenTakenOver(vm),
        };
    }

    /** Handles another VM's reply to a query. */
    receiveLeaseState(vm: string, state: LeaseState): void {
        const { openQuery } = this;
        const releasable = this.leases.listReleasable(this.bootClock.read());
        const revoked = this.leases.revokeShards(state.shards, state.generation, this.bootClock.read());
        if (revoked.length > 0) {
            this.options.log.recordImportant("shardsLost", { to: vm, shards: revoked, generation: state.generation });
            this.update();
            void this.releases.release(
                revoked,
                revoked.filter(shard => releasable.includes(shard)),
                this.leases.currentGeneration,
                "toldByPeer",
            );
        }
        if (state.query > this.options.incarnation * queriesPerIncarnation && state.query <= openQuery.query) {
            this.recordStartReply(vm, state);
        }
        if (state.giversHaveStarted) {
            this.receiveStart();
        }
        if (state.query !== openQuery.query) {
            return;
        }
        if (state.giversAreGone) {
            openQuery.sourcesGoneBy.add(vm);
        }
        if (this.leases.hasHandovers && this.isMajority(openQuery.sourcesGoneBy)) {
            this.leases.renewHandovers(openQuery.askedAt);
        }
        const peerExtensionMs = this.leases.applyPeerRenewal(
            state.generation,
            openQuery.askedAt - state.renewalAgeMs,
        );
        this.recordExtension("prolongedByWitness", peerExtensionMs, { vm, renewalAgeMs: state.renewalAgeMs });
        this.leases.recordGeneration(state.newestDeal);
        const held = this.leases.listShards();
        if (state.isCutOff && !state.shards.some(shard => held.includes(shard))) {
            openQuery.clearedBy.add(vm);
        }
        // If most VMs are cut off from the store, the store itself is unreachable and reassigns no shards.
        if (this.isMajority(openQuery.clearedBy)) {
            const outageExtensionMs = this.leases.applyStoreOutage(openQuery.askedAt);
            this.recordExtension("prolongedByAllClear", outageExtensionMs, { clear: [...openQuery.clearedBy] });
        }
    }

    private recordExtension(
        by: "prolongedByWitness" | "prolongedByAllClear",
        extensionMs: number,
        detail: object,
    ): void {
        if (extensionMs > 0) {
            this.options.onLeaseEvent?.(by);
            this.options.log.record("claimsProlonged", {
                by,
                ms: Math.round(extensionMs),
                deal: this.leases.currentGeneration,
                ...detail,
            });
        }
    }

    /** Renews the leases, and queries the other VMs if the store does not respond. */
    private renewLeases(): void {
        this.renewalCount += 1;
        if (this.leases.listShards().length > 0 || this.renewalCount % idleRenewalDivisor === 0) {
            void this.renew();
        }
        const now = this.bootClock.read();
        const isLeaseUncertain = now - this.renewedAt > peerQueryAfterMs && this.leases.listShards().length > 0;
        if (isLeaseUncertain) {
            this.options.log.record("claimsInDoubt", {
                renewalAgeMs: Math.min(Math.round(now - this.renewedAt), maxRenewalAgeMs),
                clear: [...this.openQuery.clearedBy],
                others: this.options.countOthers(),
            });
        }
        this.checkStartConfirmed();
        const isStartUnconfirmed = this.leases.isStartPending(now);
        this.unusableSince = isStartUnconfirmed ? this.unusableSince ?? now : undefined;
        if (now - (this.unusableSince ?? now) > unconfirmedStartMs) {
            this.unusableSince = now;
            void this.renewAssignment();
        }
        if (isLeaseUncertain || this.leases.hasHandovers || isStartUnconfirmed) {
            this.sendQuery(now);
        }
        if (this.leases.canOrderAll(now) && this.leases.currentGeneration !== this.recordedGeneration) {
            this.recordedGeneration = this.leases.currentGeneration;
            this.options.recordGeneration(this.leases.currentGeneration, this.leases.listOrderFences());
        }
    }

    /**
     * Leaves the group and joins it again, so that the store creates a new assignment: in a later generation a start
     * needs no confirmation by other VMs. Otherwise a VM that restarts where most others are gone permanently would
     * never use its shards.
     */
    private async renewAssignment(): Promise<void> {
        await this.waitRenewal();
        const hasLeft = await this.options.shardAssigner.release();
        this.options.log.recordImportant("firstDealLeft", {
            hasLeft,
            deal: this.leases.currentGeneration,
            heardBy: this.startKnownBy.size,
        });
        void this.renew();
    }

    private createQuery(query: number): OpenQuery {
        return { query, askedAt: this.bootClock.read(), clearedBy: new Set(), sourcesGoneBy: new Set() };
    }

    private sendQuery(now: number): void {
        this.openQuery = { ...this.createQuery(this.openQuery.query + 1), askedAt: now };
        const [, ...sources] = this.listHandoverSources();
        this.handoverSources.recordTakeovers(sources, now);
        this.options.sendQuery({
            query: this.openQuery.query,
            newestDeal: this.leases.newestGeneration,
            givers: sources,
        });
    }

    private renew(): Promise<void> {
        if (!this.isRenewing && !this.isStopped) {
            this.renewing = this.runRenewal();
        }
        return this.renewing;
    }

    /**
     * Waits up to {@link renewalWaitMs} for a running renewal before the VM leaves the group. A renewal that reaches
     * the store after the leave would join the group again, and the store would assign shards to a stopped process
     * until its membership expires.
     */
    private async waitRenewal(): Promise<void> {
        await Promise.race([
            this.renewing,
            new Promise<void>(resolve => this.timers.scheduleOnce(resolve, renewalWaitMs)),
        ]);
    }

    /** Whether this VM joins the group of owners. A holder of shards, also of ones handed over, stays in the group. */
    private isCandidate(): boolean {
        return this.hasJoined || this.leases.listShards().length > 0 || (this.options.isCandidate?.() ?? true);
    }

    private async runRenewal(): Promise<void> {
        this.isRenewing = true;
        const sentAt = this.bootClock.read();
        this.attemptedAt = sentAt;
        this.unansweredSince ??= sentAt;
        const isCandidate = this.isCandidate();
        this.hasAskedToJoin ||= isCandidate;
        const assignment = await this.options.shardAssigner.renew(this.leases.currentGeneration, isCandidate);
        this.isRenewing = false;
        if (assignment === undefined || this.isStopped) {
            return;
        }
        this.unansweredSince = undefined;
        if (!isCandidate) {
            this.renewedAt = sentAt;
            return;
        }
        if (!this.hasJoined) {
            this.hasJoined = true;
            this.options.log.recordImportant("ownersJoined", { generation: assignment.generation });
        }
        if (assignment.generation !== this.leases.currentGeneration) {
            this.options.log.recordImportant("shardsDealt", assignment);
        }
        const held = this.leases.listShards();
        const releasable = this.leases.listReleasable(this.bootClock.read());
        const previousGeneration = this.leases.currentGeneration;
        this.renewedAt = sentAt;
        if (!this.leases.applyRenewal(assignment.generation, assignment.shards, sentAt, this.bootClock.read())) {
            return;
        }
        this.update();
        if (assignment.generation !== previousGeneration && assignment.shards.length > 0) {
            // The query also announces the new generation: a previous holder that is cut off from the store and from
            // this VM learns it from other VMs, and stops before the wait of this VM ends.
            this.sendQuery(this.bootClock.read());
        }
        const kept = this.leases.listShards();
        const isLost = (shard: number): boolean => !kept.includes(shard);
        void this.releases.release(held.filter(isLost), releasable.filter(isLost), previousGeneration, "renewal");
    }
}
