import {
    type AdapterWant,
    ClaimClock,
    type EngineNews,
    type EngineOrder,
    EnginePlaces,
    type FleetView,
    readShard,
    type UpstreamState,
} from "@radishreel/fleet";
import type { Service } from "@radishreel/routing";
import { BootClock } from "./clock.js";
import type { DecisionLog } from "./decisions.js";
import type { EngineOrders, Member, ShardClaims } from "./ports.js";

/** How often claims are renewed, in milliseconds: two renewals may be lost before a claim lapses. */
const renewMs = 400;

/** How long a new holder is confirmed before it orders, beyond the time of use, in milliseconds: two renewals. */
const claimSettleMs = 2 * renewMs;

/** Other VMs are asked about claims once the last answered renewal is this old, in milliseconds. */
const askPeersAfterMs = 550;

/** How long one confirmed renewal lets its holder give orders, in milliseconds. */
const claimUseMs = 1300;

/** Age told for a renewal that is older or never was, in milliseconds. */
const maxRenewalAgeMs = 1_000_000;

/** Options of {@link Owning}. */
export interface OwningOptions {
    readonly vm: string;
    readonly view: FleetView;
    readonly claims: ShardClaims;
    readonly orders: EngineOrders;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    /** Two holders of one engine must not give orders within this time of each other, in milliseconds. */
    readonly turnMs: number;
    readonly findService: (name: string) => Service | undefined;
    readonly sendNews: (news: EngineNews[]) => void;
    readonly sendRelease: (shards: number[], generation: number) => void;
    readonly sendQuery: (query: number) => void;
    /** Hands shards to one other VM. @returns Whether there is one. */
    readonly sendHandover: (handover: Handover) => boolean;
    /** Other VMs that may be running, connected or not. */
    readonly countOthers: () => number;
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

interface OwnedEngine {
    readonly id: string;
    readonly places: EnginePlaces;
    fence: number;
    revision: number;
    lastNews: string;
    isWorking: boolean;
    timer: NodeJS.Timeout | undefined;
    canOrder: boolean;
}

/** The engines that this VM owns: it alone gives them orders, and tells all VMs what they hold. */
export class Owning {
    private readonly clock: ClaimClock;
    private readonly engines = new Map<string, OwnedEngine>();
    private renewTimer: NodeJS.Timeout | undefined;
    private isRenewing = false;
    private isStopped = false;
    private readonly bootClock = new BootClock();
    private suspendedMs = 0;
    private renewedAt = -Infinity;
    private openQuery: OpenQuery = { query: 0, askedAt: 0, clear: new Set() };
    private recordedGeneration = -1;

    constructor(private readonly options: OwningOptions) {
        this.clock = new ClaimClock({
            useMs: claimUseMs,
            settleMs: claimSettleMs,
            turnMs: options.turnMs,
            startedAt: this.bootClock.read(),
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
        for (const id of [...this.engines.keys()]) {
            this.removeEngine(id);
        }
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

    /** Asks for an adapter on an engine of this VM. */
    addWant(engine: string, want: AdapterWant): void {
        const owned = this.engines.get(engine);
        if (owned !== undefined) {
            owned.places.addWant(want, this.options.readTime());
            this.advance(owned);
        }
    }

    recordMissing(engine: string, key: string): void {
        const owned = this.engines.get(engine);
        owned?.places.recordMissing(key, this.options.readTime());
        if (owned !== undefined) {
            this.advance(owned);
        }
    }

    recordUse(engine: string, key: string, count: number): void {
        const places = this.engines.get(engine)?.places;
        for (let index = 0; index < Math.min(count, 8); index++) {
            places?.recordUse(key, this.options.readTime());
        }
    }

    /** A newer version of an adapter exists: engines that hold an older one load it. */
    updateVersion(key: string, version: number): void {
        for (const owned of this.engines.values()) {
            if (key in owned.places.listHeld()) {
                owned.places.addWant({ key, version, runMs: 0, onTimeMs: 0 }, this.options.readTime());
                this.advance(owned);
            }
        }
    }

    /** Looks again at which engines exist and which of them this VM owns. */
    update(): void {
        if (this.isStopped) {
            return;
        }
        const shards = new Set(this.clock.listShards());
        for (const state of this.options.view.listUpstreams()) {
            const limits = this.options.findService(state.upstream.service)?.engine;
            const shard = readShard(state.upstream.id, this.options.claims.shardCount);
            if (limits !== undefined && shards.has(shard) && !this.engines.has(state.upstream.id)) {
                this.addEngine(state);
            }
        }
        for (const owned of [...this.engines.values()]) {
            const isGone = this.options.view.findUpstream(owned.id) === undefined;
            if (isGone || !shards.has(readShard(owned.id, this.options.claims.shardCount))) {
                this.removeEngine(owned.id);
                continue;
            }
            this.advance(owned);
        }
    }

    /** Tells the whole state again, for a VM that has just connected. */
    listNews(): EngineNews[] {
        return [...this.engines.values()].map(owned => this.createNews(owned));
    }

    private addEngine(state: UpstreamState): void {
        const service = this.options.findService(state.upstream.service);
        const owned: OwnedEngine = {
            id: state.upstream.id,
            places: new EnginePlaces({
                limits: service!.engine!,
                models: state.upstream.models,
                held: state.news?.held ?? {},
                warm: state.warm.list(),
                sequence: state.upstream.sequence,
                now: this.options.readTime(),
            }),
            fence: this.readFence(state.upstream.id),
            revision: 0,
            lastNews: "",
            isWorking: false,
            timer: undefined,
            canOrder: false,
        };
        this.engines.set(owned.id, owned);
        this.options.log.recordImportant("engineClaimed", { engine: owned.id, fence: owned.fence });
        this.advance(owned);
    }

    private removeEngine(id: string): void {
        const owned = this.engines.get(id);
        if (owned === undefined) {
            return;
        }
        clearTimeout(owned.timer);
        this.engines.delete(id);
        this.options.log.recordImportant("engineGivenUp", { engine: id, fence: owned.fence });
        owned.canOrder = false;
        this.options.sendNews([{ ...this.createNews(owned), canOrder: false }]);
    }

    private readFence(id: string): number {
        return this.clock.readFence(readShard(id, this.options.claims.shardCount));
    }

    private canOrder(id: string): boolean {
        this.checkSuspension();
        return this.clock.canOrder(readShard(id, this.options.claims.shardCount), this.bootClock.read());
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

    /** Takes the next step for one engine, unless one is under way. */
    private advance(owned: OwnedEngine): void {
        if (owned.isWorking || this.isStopped || this.engines.get(owned.id) !== owned) {
            return;
        }
        clearTimeout(owned.timer);
        const state = this.options.view.findUpstream(owned.id);
        const canOrder = this.canOrder(owned.id);
        if (canOrder !== owned.canOrder) {
            owned.canOrder = canOrder;
            this.options.log.recordImportant("ordersAllowed", { engine: owned.id, canOrder, fence: owned.fence });
        }
        this.sendChanges(owned);
        // A report may be asked for before orders may be given: what the engine holds stays in use meanwhile.
        if (state === undefined || (!canOrder && !owned.places.needsReport)) {
            this.scheduleAdvance(owned, 200);
            return;
        }
        const now = this.options.readTime();
        const uses = this.options.view.countUses(owned.id);
        const step = owned.places.decide(now, key => uses.get(key) ?? 0);
        switch (step.kind) {
            case "wait":
                this.scheduleAdvance(owned, Math.max(1, step.untilMs - now));
                return;
            case "report":
                void this.runReport(owned, state);
                return;
            case "order":
                void this.runOrder(owned, state, step.order);
                return;
        }
    }

    private scheduleAdvance(owned: OwnedEngine, waitMs: number): void {
        owned.timer = setTimeout(() => this.advance(owned), waitMs);
    }

    private async runReport(owned: OwnedEngine, state: UpstreamState): Promise<void> {
        owned.isWorking = true;
        const askedAt = this.options.readTime();
        const report = await this.options.orders.readReport(state.upstream);
        const now = this.options.readTime();
        if (report.isErr()) {
            owned.places.recordReportFailure(report.error !== "unreachable", now);
            this.options.log.record("engineReport", { engine: owned.id, failure: report.error });
        }
        else {
            const { sequence, coming, models } = report.value;
            owned.places.applyReport(report.value, askedAt, now);
            this.options.log.record("engineReport", { engine: owned.id, sequence, coming, held: models });
        }
        owned.isWorking = false;
        this.advance(owned);
    }

    private async runOrder(owned: OwnedEngine, state: UpstreamState, order: EngineOrder): Promise<void> {
        owned.isWorking = true;
        owned.fence = Math.max(owned.fence, this.readFence(owned.id));
        const sentAt = this.options.readTime();
        const answer = await this.options.orders.send(state.upstream, order, {
            holder: this.options.vm,
            fence: owned.fence,
            checkBeforeSend: () => this.canOrder(owned.id),
        });
        const now = this.options.readTime();
        owned.places.applyAnswer(order, answer, now);
        const uses = this.options.view.countUses(owned.id);
        this.options.log.record("order", {
            engine: owned.id,
            action: order.action,
            adapter: order.adapter,
            version: order.version,
            sequence: order.expectedSequence,
            fence: owned.fence,
            answer,
            places: owned.places.countPlaces(now, key => uses.get(key) ?? 0),
            ms: Math.round(now - sentAt),
        });
        owned.isWorking = false;
        this.advance(owned);
    }

    private createNews(owned: OwnedEngine): EngineNews {
        return {
            engine: owned.id,
            fence: owned.fence,
            revision: owned.revision,
            canOrder: owned.canOrder && owned.places.isReachable,
            isReachable: owned.places.isReachable,
            held: owned.places.listHeld(),
            coming: owned.places.listComing(),
            queued: owned.places.listQueued(this.options.readTime()),
        };
    }

    /** Tells all VMs what has changed since the last time. */
    private sendChanges(owned: OwnedEngine): void {
        const news = this.createNews(owned);
        const text = JSON.stringify([news.canOrder, news.isReachable, news.held, news.coming, news.queued]);
        if (text === owned.lastNews) {
            return;
        }
        owned.lastNews = text;
        owned.revision += 1;
        this.options.sendNews([{ ...news, revision: owned.revision }]);
    }

    /** What this VM knows of the claims, for one that asks. */
    readClaimState(query: number): ClaimState {
        return {
            query,
            generation: this.clock.deal,
            shards: this.clock.listShards(),
            renewalAgeMs: Math.min(this.bootClock.read() - this.renewedAt, maxRenewalAgeMs),
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
        void this.renew();
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
