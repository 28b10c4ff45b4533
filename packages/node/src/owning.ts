import { ClaimClock, readShard } from "@radishreel/fleet";
import { BootClock } from "./clock.js";
import { OwnedEngines, type OwnedEnginesOptions } from "./engines.js";
import type { Member, ShardClaims } from "./ports.js";

/** How often claims are renewed, in milliseconds: two renewals may be lost before a claim lapses. */
const renewMs = 400;

/** How long a new holder is confirmed before it orders, beyond the time of use, in milliseconds: two renewals. */
const claimSettleMs = 2 * renewMs;

/** A VM that holds no shard renews once in so many times: it only waits to be dealt one, and may be silent for 2.8 s. */
const idleRenewals = 3;

/** Other VMs are asked about claims once the last answered renewal is this old, in milliseconds. */
const askPeersAfterMs = 550;

/** How long one confirmed renewal lets its holder give orders, in milliseconds. */
const claimUseMs = 1300;

/** Age told for a renewal that is older or never was, in milliseconds. */
const maxRenewalAgeMs = 1_000_000;

/** Options of {@link Owning}. */
export interface OwningOptions extends Omit<OwnedEnginesOptions, "mayOrder" | "readFence"> {
    readonly claims: ShardClaims;
    /** Two holders of one engine must not give orders within this time of each other, in milliseconds. */
    readonly turnMs: number;
    readonly sendRelease: (shards: number[], generation: number) => void;
    readonly sendQuery: (query: number) => void;
    /** Hands shards to one other VM. @returns Whether there is one. */
    readonly sendHandover: (handover: Handover) => boolean;
    /** Keeps for this VM's next start in which deal it gave orders. */
    readonly recordGeneration: (generation: number) => void;
}

/** Shards that a VM hands over while the store is away. */
export interface Handover {
    readonly shards: number[];
    readonly deal: number;
    readonly depth: number;
}

/** What another VM knows of the claims. */
export interface ClaimState {
    readonly query: number;
    readonly generation: number;
    readonly shards: number[];
    readonly renewalAgeMs: number;
}

/** A question to all other VMs, and who has said that it holds none of this VM's shards. */
interface OpenQuery {
    readonly query: number;
    readonly askedAt: number;
    readonly clear: Set<string>;
}

/** Which engines this VM owns: it claims shards of them, keeps the claims through outages, and hands them over. */
export class Owning {
    readonly engines: OwnedEngines;
    private readonly clock: ClaimClock;
    private renewTimer: NodeJS.Timeout | undefined;
    private isRenewing = false;
    private isStopped = false;
    private readonly bootClock = new BootClock();
    private suspendedMs = 0;
    private renewedAt = -Infinity;
    private openQuery: OpenQuery = { query: 0, askedAt: 0, clear: new Set() };
    private recordedGeneration = -1;
    private renewals = 0;

    constructor(private readonly options: OwningOptions) {
        this.clock = new ClaimClock({
            useMs: claimUseMs,
            settleMs: claimSettleMs,
            turnMs: options.turnMs,
            startedAt: this.bootClock.read(),
        });
        this.engines = new OwnedEngines({
            ...options,
            mayOrder: name => this.mayOrder(name),
            readFence: name => this.clock.readFence(this.findShard(name)),
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
        }
        if (past?.generation !== undefined) {
            this.clock.setRecordedGeneration(past.generation, this.bootClock.read());
        }
        const waitMs = past?.hasLeft === true ? this.options.turnMs : 0;
        this.renewTimer = setTimeout(() => {
            void this.renew();
            this.renewTimer = setInterval(() => this.renewClaims(), renewMs);
        }, waitMs);
    }

    /**
     * Gives everything up and tells the others, so that they need not wait for the claims to lapse. While the store is
     * away one of them takes the shards over.
     */
    async stop(): Promise<void> {
        this.isStopped = true;
        clearInterval(this.renewTimer);
        const shards = this.clock.listReleasable(this.bootClock.read());
        const deal = this.clock.deal;
        const depth = 1 + Math.max(0, ...shards.map(shard => this.clock.readDepth(shard)));
        const canOrder = this.clock.isSettled(this.bootClock.read());
        const isCutOff = this.bootClock.read() - this.renewedAt > askPeersAfterMs;
        this.clock.releaseAll(this.bootClock.read());
        this.engines.stop();
        if (isCutOff && canOrder && this.options.sendHandover({ shards, deal, depth })) {
            this.options.log.recordImportant("handedOver", { shards, deal, depth });
            return;
        }
        this.options.sendRelease(shards, deal);
        await this.options.claims.release();
    }

    /** Takes shards over from a VM that stops. */
    receiveHandover(handover: Handover): void {
        if (this.isStopped) {
            // The sender did not know yet that this VM stops as well.
            const isPassedOn = this.options.sendHandover(handover);
            this.options.log.recordImportant("handoverPassedOn", { ...handover, isPassedOn });
            return;
        }
        this.clock.applyHandover(handover.shards, handover.deal, handover.depth, this.bootClock.read());
        this.options.log.recordImportant("handoverReceived", { ...handover, ownDeal: this.clock.deal });
        this.update();
    }

    /** A VM has started: what was taken over from it, or from any other, goes back. */
    receiveStart(): void {
        const dropped = this.clock.revokeHandovers(this.bootClock.read());
        if (dropped.length > 0) {
            this.options.log.recordImportant("handoverEnded", { shards: dropped });
            this.update();
        }
    }

    recordRelease(shards: readonly number[], generation: number): void {
        for (const shard of shards) {
            this.clock.recordRelease(shard, generation, this.bootClock.read());
        }
        this.update();
    }

    /** Looks again at which engines exist and which of them this VM owns. */
    update(): void {
        if (this.isStopped) {
            return;
        }
        const shards = new Set(this.clock.listShards());
        this.engines.update(name => shards.has(this.findShard(name)));
    }

    private findShard(name: string): number {
        return readShard(name, this.options.claims.shardCount);
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

    /** What this VM knows of the claims, for one that asks. */
    readClaimState(query: number): ClaimState {
        return {
            query,
            generation: this.clock.deal,
            shards: this.clock.listShards(),
            renewalAgeMs: this.renewalAgeMs,
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
            this.options.sendRelease(dropped.filter(shard => releasable.includes(shard)), this.clock.deal);
        }
        if (state.query !== openQuery.query) {
            return;
        }
        this.clock.applyWitness(state.generation, openQuery.askedAt - state.renewalAgeMs);
        const isCutOff = state.renewalAgeMs > askPeersAfterMs;
        const held = this.clock.listShards();
        if (isCutOff && !state.shards.some(shard => held.includes(shard))) {
            openQuery.clear.add(vm);
        }
        // With most VMs cut off from the store it is the store that is away, and deals nothing anew.
        const isMajority = (openQuery.clear.size + 1) * 2 > this.options.countOthers() + 1;
        if (isMajority) {
            this.clock.applyAllClear(openQuery.askedAt);
        }
    }

    /** Renews, and asks the other VMs when the store does not answer. */
    private renewClaims(): void {
        this.renewals += 1;
        if (this.clock.listShards().length > 0 || this.renewals % idleRenewals === 0) {
            void this.renew();
        }
        const now = this.bootClock.read();
        if (now - this.renewedAt > askPeersAfterMs && this.clock.listShards().length > 0) {
            this.options.log.record("claimsInDoubt", {
                renewalAgeMs: Math.min(Math.round(now - this.renewedAt), maxRenewalAgeMs),
                clear: [...this.openQuery.clear],
                others: this.options.countOthers(),
            });
            this.openQuery = { query: this.openQuery.query + 1, askedAt: now, clear: new Set() };
            this.options.sendQuery(this.openQuery.query);
        }
        if (this.clock.isSettled(now) && this.clock.deal !== this.recordedGeneration) {
            this.recordedGeneration = this.clock.deal;
            this.options.recordGeneration(this.clock.deal);
        }
    }

    private async renew(): Promise<void> {
        if (this.isRenewing || this.isStopped) {
            return;
        }
        this.isRenewing = true;
        const sentAt = this.bootClock.read();
        const deal = await this.options.claims.renew(this.clock.deal);
        this.isRenewing = false;
        if (deal === undefined || this.isStopped) {
            return;
        }
        if (deal.generation !== this.clock.deal) {
            this.options.log.recordImportant("shardsDealt", deal);
        }
        const held = this.clock.listReleasable(this.bootClock.read());
        const generation = this.clock.deal;
        this.renewedAt = sentAt;
        this.clock.applyRenewal(deal.generation, deal.shards, sentAt, this.bootClock.read());
        this.update();
        const lost = held.filter(shard => !deal.shards.includes(shard));
        if (lost.length > 0) {
            this.options.sendRelease(lost, generation);
        }
    }
}
