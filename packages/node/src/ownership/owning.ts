import { ClaimClock, type ClaimReason, readShard } from "@radishreel/fleet";
import { BootClock, processTimers, type ScheduledRun, type Timers } from "../clock.js";
import type { Member, ShardClaims } from "../ports.js";
import { OwnedEngines, type OwnedEnginesOptions } from "./engines.js";

/** How often claims are renewed, in milliseconds: two renewals may be lost before a claim lapses. */
const renewMs = 400;

/** How long a new holder is confirmed before it orders, beyond the time of use, in milliseconds: two renewals. */
const claimSettleMs = 2 * renewMs;

/** A VM that holds no shard renews once in so many times: it only waits to be dealt one, and may be silent for 2.8 s. */
const idleRenewals = 3;

/** Other VMs are asked about claims once the last answered renewal is this old, in milliseconds. */
const askPeersAfterMs = 550;

/**
 * A renewal without an answer for this long shows that its VM is cut off from the store, in milliseconds: usual answers take
 * 4 ms. Two queries after an outage began most VMs can say so, before the first claims lapse.
 */
const unansweredMs = 300;

/** What was tried longer ago than this tells nothing of the store now, in milliseconds: idle VMs try every 1.2 s. */
const triedLatelyMs = 1600;

/**
 * How long word that a VM goes on for another one counts, in milliseconds: it asks every 0.4 s, may go on for 1.3 s, and its
 * orders must be a turn of 3 s old.
 */
const takenOverMs = 5000;

/** How often a new process asks whether another VM goes on in its place, in milliseconds, and for how long so often. */
const startQueryMs = 100;
const startQueriesMs = 2000;

/**
 * How long a start may hold shards that it may not use yet, since too few VMs have heard of it, in milliseconds. Most may be
 * gone for good, and the store deals nothing anew by itself. Links open within some 100 ms, after a cut within 500 ms.
 */
const unheardStartMs = 3000;

/** How long a renewal under way is waited for before the group is left, in milliseconds: usual answers take 4 ms. */
const renewalWaitMs = 100;

/** Room for the queries of one process: their numbers tell them from those of the one before. */
const queriesPerLife = 1000;

/** How long one confirmed renewal lets its holder give orders, in milliseconds. */
const claimUseMs = 1300;

/** Age told for a renewal that is older or never was, in milliseconds. */
const maxRenewalAgeMs = 1_000_000;

/** What made a VM give shards up. */
type ReleaseReason = "stop" | "renewal" | "toldByPeer";

/** What happens to claims, as it is counted. */
export type ClaimEvent =
    | "releaseSent"
    | "releaseUsed"
    | "releaseUnused"
    | "prolongedByWitness"
    | "prolongedByAllClear"
    | `${ClaimReason}Claim`;

/** Options of owned engines that {@link Owning} sets itself. */
type OwnedOption = "mayOrder" | "readFence" | "explainOrders" | "readBoot";

/** Options of {@link Owning}. */
export interface OwningOptions extends Omit<OwnedEnginesOptions, OwnedOption> {
    readonly claims: ShardClaims;
    /** Tells this process from others of the same VM: when it started, in milliseconds. */
    readonly incarnation: number;
    /** The process of a VM that was heard of last. */
    readonly readIncarnation: (vm: string) => number | undefined;
    /** Two holders of one engine must not give orders within this time of each other, in milliseconds. */
    readonly turnMs: number;
    readonly sendRelease: (shards: number[], generation: number) => void;
    readonly sendQuery: (query: ClaimQuery) => void;
    /** Hands shards to one other VM. @returns Whether there is one. */
    readonly sendHandover: (handover: Handover) => boolean;
    /** Keeps for this VM's next start in which deal it gave orders. */
    readonly recordGeneration: (generation: number) => void;
    /** Counts what happens to claims. */
    readonly onClaimEvent?: (event: ClaimEvent) => void;
    /** @default a clock of this process */
    readonly bootClock?: BootClock;
}

/** Shards that a VM hands over while the store is away. */
export interface Handover {
    readonly shards: number[];
    readonly deal: number;
    readonly depth: number;
    /** Processes that gave them up, one after the other. */
    readonly givers: readonly Giver[];
}

/** A process that handed its shards over. */
export interface Giver {
    readonly vm: string;
    readonly incarnation: number;
}

/** A question about claims to all other VMs. */
export interface ClaimQuery {
    readonly query: number;
    /** The newest deal that the asker knows of. */
    readonly newestDeal: number;
    /** Processes for which the asker goes on. */
    readonly givers: readonly Giver[];
}

/** What another VM knows of the claims. */
export interface ClaimState {
    readonly query: number;
    readonly generation: number;
    /** The newest deal that it knows of, from others too. */
    readonly newestDeal: number;
    readonly shards: number[];
    readonly renewalAgeMs: number;
    /** Whether it has lately tried to renew and got no answer. */
    readonly isCutOff: boolean;
    /** Whether it knows that one of the givers has started again. */
    readonly giversHaveStarted: boolean;
    /** Whether it knows all of the givers, and that none has started again. */
    readonly giversAreGone: boolean;
    /** Whether another VM has lately said that it goes on for the asker. */
    readonly isTakenOver: boolean;
}

/** A question to all other VMs, and who has said that it holds none of this VM's shards. */
interface OpenQuery {
    readonly query: number;
    readonly askedAt: number;
    readonly clear: Set<string>;
    /** Who knows that none of the VMs for which this one goes on has started again. */
    readonly goneFor: Set<string>;
}

/** Which engines this VM owns: it claims shards of them, keeps the claims through outages, and hands them over. */
export class Owning {
    readonly engines: OwnedEngines;
    private readonly clock: ClaimClock;
    private readonly timers: Timers;
    private renewTimer: ScheduledRun | undefined;
    private isRenewing = false;
    private renewing: Promise<void> = Promise.resolve();
    private isStopped = false;
    private readonly bootClock: BootClock;
    private suspendedMs = 0;
    private hasStarted = false;
    private renewedAt = -Infinity;
    private triedAt = -Infinity;
    /** When the first renewal since the last answer was sent; undefined if there is none. */
    private unansweredSince: number | undefined;
    private openQuery: OpenQuery;
    /** VMs that have answered a query of this process, and so have heard of its start. */
    private readonly heardBy = new Set<string>();
    private wasTakenOver = false;
    private isStartConfirmed = false;
    private startTimer: ScheduledRun | undefined;
    /** Since when this VM holds shards that it may not use before its start is heard of. */
    private heldBackSince: number | undefined;
    /** Processes for which this VM goes on, by VM. */
    private readonly givers = new Map<string, number>();
    /** When another VM last said that it goes on for a VM. */
    private readonly takenOverAt = new Map<string, number>();
    private recordedGeneration = -1;
    private renewals = 0;

    constructor(private readonly options: OwningOptions) {
        this.bootClock = options.bootClock ?? new BootClock();
        this.timers = options.timers ?? processTimers;
        this.openQuery = this.createQuery(options.incarnation * queriesPerLife);
        this.clock = new ClaimClock({
            useMs: claimUseMs,
            settleMs: claimSettleMs,
            turnMs: options.turnMs,
            startedAt: this.bootClock.read(),
        });
        this.engines = new OwnedEngines({
            ...options,
            readBoot: () => this.bootClock.read(),
            mayOrder: name => this.mayOrder(name),
            readFence: name => this.clock.readFence(this.findShard(name)),
            explainOrders: name => this.explainOrders(name),
        });
    }

    /**
     * Begins to claim shards.
     * @param past This VM's entry from before its start; undefined if it never ran. After a planned stop its shards went
     * to other VMs: it claims some again only when it may use them, so that they stay in use meanwhile.
     */
    start(past: Member | undefined): void {
        if (past === undefined) {
            this.clock.setFirstLife();
            this.isStartConfirmed = true;
        }
        else {
            this.askAboutStart(this.bootClock.read() + startQueriesMs);
        }
        if (past?.generation !== undefined) {
            this.clock.setRecordedGeneration(past.generation, this.bootClock.read());
        }
        const waitMs = past?.hasLeft === true ? this.options.turnMs : 0;
        this.renewTimer = this.timers.scheduleOnce(() => {
            this.hasStarted = true;
            void this.renew();
            this.renewTimer = this.timers.scheduleEvery(() => this.renewClaims(), renewMs);
        }, waitMs);
    }

    /** A new process asks whether another VM goes on for the one before it, until most VMs have answered. */
    private askAboutStart(untilMs: number): void {
        const now = this.bootClock.read();
        if (this.isStopped || this.isStartConfirmed || now >= untilMs) {
            return;
        }
        this.sendQuery(now);
        this.checkStart();
        this.startTimer = this.timers.scheduleOnce(() => this.askAboutStart(untilMs), startQueryMs);
    }

    private checkStart(): void {
        if (this.isStartConfirmed || !this.isMajority(this.heardBy)) {
            return;
        }
        this.isStartConfirmed = true;
        this.clock.recordStartHeard(this.bootClock.read(), this.wasTakenOver);
        this.options.log.recordImportant("startConfirmed", {
            heardBy: this.heardBy.size,
            others: this.options.countOthers(),
            wasTakenOver: this.wasTakenOver,
        });
    }

    /** Whether these VMs and this one are most of all. */
    private isMajority(vms: ReadonlySet<string>): boolean {
        return (vms.size + 1) * 2 > this.options.countOthers() + 1;
    }

    /**
     * Gives everything up and tells the others, so that they need not wait for the claims to lapse. While the store is
     * away one of them takes the shards over.
     */
    async stop(): Promise<void> {
        this.isStopped = true;
        this.renewTimer?.cancel();
        this.startTimer?.cancel();
        const now = this.bootClock.read();
        const shards = this.clock.listReleasable(now);
        const usable = this.clock.listUsable(now);
        const deal = this.clock.deal;
        const depth = 1 + Math.max(0, ...usable.map(shard => this.clock.readDepth(shard)));
        const handover: Handover = { shards: usable, deal, depth, givers: this.listGivers() };
        const isCutOff = now - this.renewedAt > askPeersAfterMs;
        this.clock.releaseAll(now);
        this.engines.stop();
        await this.waitOrders([...shards, ...usable]);
        if (isCutOff && this.sendShards(handover)) {
            return;
        }
        // Until the store has ended the deal this VM may start again and go on in it: a release that was told before stayed
        // in force, and the next holder did not wait for the orders of that start.
        await this.waitRenewal();
        if (await this.options.claims.release()) {
            await this.sendRelease(shards, deal, "stop");
        }
        else if (!isCutOff) {
            // The store went away just now. If it has ended the deal all the same, the heir hears of that as any holder does.
            this.sendShards(handover);
        }
    }

    private sendShards(handover: Handover): boolean {
        const isSent = handover.shards.length > 0 && this.options.sendHandover(handover);
        if (isSent) {
            this.options.log.recordImportant("handedOver", handover);
        }
        return isSent;
    }

    /** Takes shards over from a VM that stops. */
    receiveHandover(handover: Handover): void {
        if (this.isStopped) {
            // The sender did not know yet that this VM stops as well.
            const isPassedOn = this.options.sendHandover(handover);
            this.options.log.recordImportant("handoverPassedOn", { ...handover, isPassedOn });
            return;
        }
        const isOld = this.hasAnyStarted(handover.givers);
        this.options.log.recordImportant("handoverReceived", { ...handover, ownDeal: this.clock.deal, isOld });
        if (isOld) {
            return;
        }
        const now = this.bootClock.read();
        if (!this.clock.hasHandovers) {
            // What was taken over before has ended with its deal.
            this.givers.clear();
        }
        this.clock.applyHandover(handover.shards, handover.deal, handover.depth, now);
        for (const { vm, incarnation } of handover.givers) {
            this.givers.set(vm, incarnation);
        }
        this.update();
        this.sendQuery(now);
    }

    /** A VM has started: what was taken over from it, or from any other, goes back. */
    receiveStart(): void {
        this.givers.clear();
        const dropped = this.clock.revokeHandovers(this.bootClock.read());
        if (dropped.length > 0) {
            this.options.log.recordImportant("handoverEnded", { shards: dropped });
            this.update();
        }
    }

    recordRelease(vm: string, shards: readonly number[], generation: number): void {
        const now = this.bootClock.read();
        const shortened = shards.filter(shard => this.clock.recordRelease(shard, generation, now));
        this.options.onClaimEvent?.(shortened.length > 0 ? "releaseUsed" : "releaseUnused");
        this.options.log.record("releaseTaken", { vm, shards, generation, ownDeal: this.clock.deal, shortened });
        this.update();
    }

    /** Looks again at which engines exist and which of them this VM owns. */
    update(): void {
        if (this.isStopped) {
            return;
        }
        const shards = new Set(this.clock.listShards());
        if (shards.size === 0 && !this.engines.hasAny) {
            return;
        }
        this.engines.update(name => shards.has(this.findShard(name)));
    }

    private findShard(name: string): number {
        return readShard(name, this.options.claims.shardCount);
    }

    private explainOrders(name: string): object {
        const claim = this.clock.explainClaim(this.findShard(name));
        if (claim !== undefined) {
            this.options.onClaimEvent?.(`${claim.reason}Claim`);
        }
        return { ...claim, renewalAgeMs: Math.round(this.renewalAgeMs) };
    }

    /**
     * Tells the others of shards given up in a deal, once their last orders have come to their end: the next holder begins
     * at once, and its first order overtook one that was on its way.
     */
    private async sendRelease(shards: number[], generation: number, why: ReleaseReason): Promise<void> {
        if (shards.length === 0) {
            return;
        }
        await this.waitOrders(shards);
        this.options.onClaimEvent?.("releaseSent");
        this.options.log.recordImportant("releaseSent", { shards, generation, why });
        this.options.sendRelease(shards, generation);
    }

    private async waitOrders(shards: readonly number[]): Promise<void> {
        await this.engines.waitOrders(name => shards.includes(this.findShard(name)));
    }

    private mayOrder(name: string): boolean {
        this.checkSuspension();
        return this.clock.canOrder(this.findShard(name), this.bootClock.read());
    }

    /** A claim must be confirmed anew after a suspension, whatever is left of it. */
    private checkSuspension(): void {
        this.bootClock.read();
        const { suspendedMs } = this.bootClock;
        if (suspendedMs > this.suspendedMs) {
            this.options.log.recordImportant("suspended", { ms: Math.round(suspendedMs - this.suspendedMs) });
            this.suspendedMs = suspendedMs;
            this.clock.pause();
            void this.renew();
        }
    }

    /** Age of the last renewal that was answered, counted from its sending, in milliseconds. */
    get renewalAgeMs(): number {
        return Math.min(this.bootClock.read() - this.renewedAt, maxRenewalAgeMs);
    }

    /**
     * Whether this VM has tried to reach the store of late, and failed. That it has not tried says nothing: most VMs hold no
     * shard and renew seldom, and a majority of them let a holder go on whose shards the store had dealt away.
     */
    private get isCutOff(): boolean {
        const now = this.bootClock.read();
        return this.unansweredSince !== undefined && now - this.unansweredSince >= unansweredMs
            && now - this.triedAt < triedLatelyMs;
    }

    /** This process and those for which it goes on. */
    private listGivers(): Giver[] {
        const { vm, incarnation } = this.options;
        const givers = this.clock.hasHandovers ? [...this.givers] : [];
        return [{ vm, incarnation }, ...givers.map(([giver, life]) => ({ vm: giver, incarnation: life }))];
    }

    /** Whether one of these processes is known to have been followed by another one of its VM. */
    private hasAnyStarted(givers: readonly Giver[]): boolean {
        return givers.some(({ vm, incarnation }) => (this.options.readIncarnation(vm) ?? incarnation) !== incarnation);
    }

    private recordTakenOver(givers: readonly Giver[], now: number): void {
        for (const { vm } of givers) {
            this.takenOverAt.set(vm, now);
        }
    }

    /** What this VM knows of the claims, for one that asks. One that has not heard of the store lately tries it for the asker. */
    readClaimState(vm: string, { query, givers, newestDeal }: ClaimQuery): ClaimState {
        const now = this.bootClock.read();
        this.clock.recordDeal(newestDeal);
        this.recordTakenOver(givers, now);
        if (this.hasStarted && this.renewalAgeMs > askPeersAfterMs) {
            void this.renew();
        }
        return {
            query,
            generation: this.clock.deal,
            newestDeal: this.clock.newestDeal,
            shards: this.clock.listShards(),
            renewalAgeMs: this.renewalAgeMs,
            isCutOff: this.isCutOff,
            giversHaveStarted: this.hasAnyStarted(givers),
            giversAreGone: givers.every(giver => this.options.readIncarnation(giver.vm) === giver.incarnation),
            isTakenOver: now - (this.takenOverAt.get(vm) ?? -Infinity) < takenOverMs,
        };
    }

    /** Takes another VM's answer to a query. */
    receiveClaimState(vm: string, state: ClaimState): void {
        const { openQuery } = this;
        const releasable = this.clock.listReleasable(this.bootClock.read());
        const dropped = this.clock.revokeShards(state.shards, state.generation, this.bootClock.read());
        if (dropped.length > 0) {
            this.options.log.recordImportant("shardsLost", { to: vm, shards: dropped, generation: state.generation });
            this.update();
            void this.sendRelease(dropped.filter(shard => releasable.includes(shard)), this.clock.deal, "toldByPeer");
        }
        if (state.query > this.options.incarnation * queriesPerLife && state.query <= openQuery.query) {
            this.heardBy.add(vm);
            this.wasTakenOver ||= state.isTakenOver;
            this.checkStart();
        }
        if (state.giversHaveStarted) {
            this.receiveStart();
        }
        if (state.query !== openQuery.query) {
            return;
        }
        if (state.giversAreGone) {
            openQuery.goneFor.add(vm);
        }
        if (this.clock.hasHandovers && this.isMajority(openQuery.goneFor)) {
            this.clock.renewHandovers(openQuery.askedAt);
        }
        const witnessMs = this.clock.applyWitness(state.generation, openQuery.askedAt - state.renewalAgeMs);
        this.recordProlonged("prolongedByWitness", witnessMs, { vm, renewalAgeMs: state.renewalAgeMs });
        this.clock.recordDeal(state.newestDeal);
        const held = this.clock.listShards();
        if (state.isCutOff && !state.shards.some(shard => held.includes(shard))) {
            openQuery.clear.add(vm);
        }
        // With most VMs cut off from the store it is the store that is away, and deals nothing anew.
        if (this.isMajority(openQuery.clear)) {
            const allClearMs = this.clock.applyAllClear(openQuery.askedAt);
            this.recordProlonged("prolongedByAllClear", allClearMs, { clear: [...openQuery.clear] });
        }
    }

    private recordProlonged(by: "prolongedByWitness" | "prolongedByAllClear", ms: number, detail: object): void {
        if (ms > 0) {
            this.options.onClaimEvent?.(by);
            this.options.log.record("claimsProlonged", { by, ms: Math.round(ms), deal: this.clock.deal, ...detail });
        }
    }

    /** Renews, and asks the other VMs when the store does not answer. */
    private renewClaims(): void {
        this.renewals += 1;
        if (this.clock.listShards().length > 0 || this.renewals % idleRenewals === 0) {
            void this.renew();
        }
        const now = this.bootClock.read();
        const isInDoubt = now - this.renewedAt > askPeersAfterMs && this.clock.listShards().length > 0;
        if (isInDoubt) {
            this.options.log.record("claimsInDoubt", {
                renewalAgeMs: Math.min(Math.round(now - this.renewedAt), maxRenewalAgeMs),
                clear: [...this.openQuery.clear],
                others: this.options.countOthers(),
            });
        }
        this.checkStart();
        const isStartInDoubt = this.clock.isHeldBack(now);
        this.heldBackSince = isStartInDoubt ? this.heldBackSince ?? now : undefined;
        if (now - (this.heldBackSince ?? now) > unheardStartMs) {
            this.heldBackSince = now;
            void this.renewDeal();
        }
        if (isInDoubt || this.clock.hasHandovers || isStartInDoubt) {
            this.sendQuery(now);
        }
        if (this.clock.isSettled(now) && this.clock.deal !== this.recordedGeneration) {
            this.recordedGeneration = this.clock.deal;
            this.options.recordGeneration(this.clock.deal);
        }
    }

    /**
     * Leaves the group and joins it again, so that the store deals anew: under a later deal a start needs no other VM's word.
     * Without it a VM that starts where most others are gone for good would never use its shards.
     */
    private async renewDeal(): Promise<void> {
        await this.waitRenewal();
        const hasLeft = await this.options.claims.release();
        this.options.log.recordImportant("firstDealLeft", {
            hasLeft,
            deal: this.clock.deal,
            heardBy: this.heardBy.size,
        });
        void this.renew();
    }

    private createQuery(query: number): OpenQuery {
        return { query, askedAt: this.bootClock.read(), clear: new Set(), goneFor: new Set() };
    }

    private sendQuery(now: number): void {
        this.openQuery = { ...this.createQuery(this.openQuery.query + 1), askedAt: now };
        const [, ...givers] = this.listGivers();
        this.recordTakenOver(givers, now);
        this.options.sendQuery({ query: this.openQuery.query, newestDeal: this.clock.newestDeal, givers });
    }

    private renew(): Promise<void> {
        if (!this.isRenewing && !this.isStopped) {
            this.renewing = this.runRenewal();
        }
        return this.renewing;
    }

    /**
     * Waits for a renewal under way before the group is left: done after that it would join again, and the store would deal
     * shards to a process that is gone until its membership lapses. One that takes long is not waited for.
     */
    private async waitRenewal(): Promise<void> {
        await Promise.race([
            this.renewing,
            new Promise<void>(resolve => this.timers.scheduleOnce(resolve, renewalWaitMs)),
        ]);
    }

    private async runRenewal(): Promise<void> {
        this.isRenewing = true;
        const sentAt = this.bootClock.read();
        this.triedAt = sentAt;
        this.unansweredSince ??= sentAt;
        const deal = await this.options.claims.renew(this.clock.deal);
        this.isRenewing = false;
        if (deal === undefined || this.isStopped) {
            return;
        }
        this.unansweredSince = undefined;
        if (deal.generation !== this.clock.deal) {
            this.options.log.recordImportant("shardsDealt", deal);
        }
        const held = this.clock.listReleasable(this.bootClock.read());
        const generation = this.clock.deal;
        this.renewedAt = sentAt;
        if (!this.clock.applyRenewal(deal.generation, deal.shards, sentAt, this.bootClock.read())) {
            return;
        }
        this.update();
        if (deal.generation !== generation && deal.shards.length > 0) {
            // Tells of the deal as well: a holder before it that is cut off from the store and from this VM hears of it from
            // others, and stops before this VM has waited.
            this.sendQuery(this.bootClock.read());
        }
        const lost = held.filter(shard => !deal.shards.includes(shard));
        void this.sendRelease(lost, generation, "renewal");
    }
}
