import {
    type QuotaBounds,
    type QuotaLimit,
    QuotaPool,
    QuotaQueue,
    type QuotaVerdict,
    rankByRendezvous,
    readShard,
    readShareLeaseMs,
} from "@radishreel/fleet";
import type { ScheduledRun, Timers } from "../clock.js";
import type { PeerMessage } from "../links/messages.js";

/**
 * Number of groups to which quotas are assigned, each with a coordinator of its own. Every VM renews a lease with
 * each coordinator, so more groups cost more messages; with fewer groups, one VM handles more of the claims.
 */
const groupCount = 4;

/**
 * Time without a reply after which the next coordinator is asked as well, in milliseconds: replies take about 3 ms, and
 * 0.1 s where a processor is busy. The next coordinator can only decide if other VMs lease their shares to it too.
 */
const hedgeDelayMs = 80;

/** Time without a reply after which a coordinator is skipped, in milliseconds: it is unreachable or suspended. */
const replyTimeoutMs = 400;

/** How long a coordinator that did not reply is skipped, in milliseconds. */
const unresponsiveSkipMs = 1000;

/** Fraction of a lease's duration after which the lease is renewed. */
const leaseRenewFraction = 0.5;

/** How long the balance of a removed quota is kept, in milliseconds: the next configuration may contain it again. */
const removedQuotaRetentionMs = 60_000;

/**
 * Time for which a granted claim that waited may be under way to this VM, in milliseconds. Later, requests would arrive
 * together that were granted one after the other.
 */
const maxGrantTransitMs = 300;

/** Longest time between two checks of the waiting claims, in milliseconds: their patience ends, and leases expire. */
const maxQueueCheckMs = 100;

/** Messages between VMs about quotas. */
export type QuotaMessage = Extract<
    PeerMessage,
    { type: "leaseShare" | "claimQuota" | "quotaAnswer" | "returnQuota" | "cancelClaim"; }
>;

/** A claim on a quota. */
export interface QuotaClaim {
    /** Names the quota: see `formatAccountKey` and `formatUpstreamKey`. */
    readonly key: string;
    readonly limit: QuotaLimit;
    readonly cost: number;
}

/** How a claim may wait at the coordinator. */
export interface ClaimWait {
    /** 0 is the highest. */
    readonly priority: number;
    readonly patienceMs: number;
}

/** A claim that waits for the verdict of its coordinator. */
export interface WaitingQuotaClaim {
    /** Resolves with the final verdict; `unsure` if the coordinator is lost or did not reply in time. */
    readonly verdict: Promise<QuotaVerdict>;
    /** Withdraws the claim. A part of the quota that was already granted is returned. */
    cancel(): void;
}

/** Options of {@link Quotas}. */
export interface QuotasOptions {
    readonly vm: string;
    readonly bounds: QuotaBounds;
    /** Clock that also counts while the VM is suspended, in milliseconds. */
    readonly readBoot: () => number;
    readonly timers: Timers;
    /** VMs that can coordinate, as far as this VM knows; includes this VM if it can. */
    readonly listCandidates: () => string[];
    /** Number of VMs that this VM knows to exist, itself included. */
    readonly countVms: () => number;
    /** Whether any quota is in force. */
    readonly isNeeded: () => boolean;
    /** The rate and burst of a quota, as far as this VM knows; undefined if it knows no such quota. */
    readonly findLimit: (key: string) => QuotaLimit | undefined;
    /** Sends a message to another VM. @returns Whether the message could be sent. */
    readonly send: (vm: string, message: QuotaMessage) => boolean;
}

/** A claim that waits for the coordinator's reply. */
interface PendingClaim {
    readonly vm: string;
    readonly askedAt: number;
    readonly finish: (verdict: QuotaVerdict | undefined) => void;
    timer: ScheduledRun;
}

/** Claims quota for this VM's requests, and grants claims as the coordinator of some groups of quotas. */
export class Quotas {
    private readonly pools: QuotaPool[];
    /** Claims of all VMs that wait at this VM, by group. */
    private readonly queues: QuotaQueue[];
    private queueTimer: ScheduledRun | undefined;
    /** Groups for which each VM leases its shares to this VM, by VM. */
    private readonly leasedGroups = new Map<string, readonly number[]>();
    /** The coordinator that this VM has chosen for each group. */
    private readonly coordinators: (string | undefined)[] = Array.from({ length: groupCount });
    private readonly leasedAt = new Map<string, number>();
    private readonly skippedUntil = new Map<string, number>();
    private readonly pendingClaims = new Map<number, PendingClaim>();
    private readonly removedSince = new Map<string, number>();
    private lastTicket = 0;

    constructor(private readonly options: QuotasOptions) {
        const { bounds, countVms } = options;
        this.pools = Array.from({ length: groupCount }, () => new QuotaPool({ bounds, countVms }));
        this.queues = this.pools.map(pool => new QuotaQueue({ pool }));
    }

    /** Chooses coordinators, and renews the leases of this VM's shares to them. */
    update(): void {
        if (!this.options.isNeeded()) {
            return;
        }
        this.chooseCoordinators();
        const now = this.options.readBoot();
        const dueMs = readShareLeaseMs(this.options.bounds) * leaseRenewFraction;
        for (const vm of new Set(this.coordinators)) {
            if (vm !== undefined && now - (this.leasedAt.get(vm) ?? -Infinity) >= dueMs) {
                this.sendLease(vm);
            }
        }
    }

    /** Claims a request's cost. The verdict is `unsure` if no coordinator decides in time. */
    async claim(claim: QuotaClaim): Promise<QuotaVerdict> {
        const first = this.findCoordinator(claim.key);
        const firstReply = this.askCoordinator(first, claim);
        const firstVerdict = await this.waitWithTimeout(firstReply, hedgeDelayMs);
        if (firstVerdict !== undefined) {
            return firstVerdict;
        }
        const second = this.findAlternateCoordinator(claim.key, first);
        if (second === undefined) {
            return await firstReply ?? { kind: "unsure" };
        }
        return this.chooseVerdict(claim, [[first, firstReply], [second, this.askCoordinator(second, claim)]]);
    }

    /** Claims a request's cost, and lets the claim wait at the coordinator until the quota suffices. */
    claimAndWait(claim: QuotaClaim, wait: ClaimWait): WaitingQuotaClaim {
        const vm = this.findCoordinator(claim.key);
        const { ticket, reply } = this.openClaim(vm);
        let isGranted = false;
        const verdict = reply.then((received): QuotaVerdict => {
            isGranted = received?.kind === "granted";
            return received ?? { kind: "unsure" };
        });
        this.sendClaim(vm, ticket, claim, wait);
        const cancel = (): void => {
            if (this.pendingClaims.has(ticket)) {
                this.sendCancel(vm, ticket);
                this.pendingClaims.get(ticket)?.finish(undefined);
            }
            else if (isGranted) {
                isGranted = false;
                this.sendReturn(vm, claim.key, claim.cost);
            }
        };
        return { verdict, cancel };
    }

    /** Chooses the first decided verdict, and returns the cost that another coordinator granted in addition. */
    private async chooseVerdict(
        claim: QuotaClaim,
        pending: readonly (readonly [string, Promise<QuotaVerdict | undefined>])[],
    ): Promise<QuotaVerdict> {
        let chosen: QuotaVerdict | undefined;
        const receiveVerdict = async (vm: string, reply: Promise<QuotaVerdict | undefined>): Promise<QuotaVerdict> => {
            const verdict = await reply;
            if (verdict === undefined || verdict.kind === "unsure") {
                throw new Error(`coordinator ${vm} did not decide the quota claim`);
            }
            if (chosen !== undefined && verdict.kind === "granted") {
                this.sendReturn(vm, claim.key, claim.cost);
            }
            chosen ??= verdict;
            return verdict;
        };
        const verdicts = pending.map(([vm, reply]) => receiveVerdict(vm, reply));
        return Promise.any(verdicts).catch((): QuotaVerdict => ({ kind: "unsure" }));
    }

    /** Waits for a value; undefined if the wait exceeds the timeout. */
    private async waitWithTimeout<Value>(value: Promise<Value>, ms: number): Promise<Value | undefined> {
        let finish: () => void = () => {};
        const timeout = new Promise<undefined>(resolve => {
            finish = () => resolve(undefined);
        });
        // Without cancellation, the timer of each claim would wake the process once more.
        const timer = this.options.timers.scheduleOnce(finish, ms);
        const result = await Promise.race([value, timeout]);
        timer.cancel();
        return result;
    }

    /** Returns the cost of a request that did not run. */
    release({ key, cost }: QuotaClaim): void {
        this.sendReturn(this.findCoordinator(key), key, cost);
    }

    receiveMessage(vm: string, message: QuotaMessage): void {
        switch (message.type) {
            case "leaseShare":
                this.setLeasedGroups(vm, message.groups);
                return;
            case "claimQuota":
                this.receiveClaim(vm, message);
                return;
            case "quotaAnswer":
                this.receiveVerdict(message.ticket, message.verdict);
                return;
            case "returnQuota":
                this.findPool(message.key).addBack(message.key, message.cost);
                this.advanceQueues();
                return;
            case "cancelClaim":
                this.queues.forEach(queue => queue.remove(vm, message.ticket));
                return;
        }
    }

    private receiveClaim(vm: string, message: Extract<QuotaMessage, { type: "claimQuota"; }>): void {
        this.sendVerdict(vm, message.ticket, this.decide(vm, message));
        if (message.wait !== undefined) {
            this.scheduleQueues();
        }
    }

    /** The cost of a claim that timed out is not returned: its coordinator may count it or not, and it soon refills. */
    private receiveVerdict(ticket: number, verdict: QuotaVerdict): void {
        const claim = this.pendingClaims.get(ticket);
        if (claim === undefined) {
            return;
        }
        if (verdict.kind === "queued") {
            claim.timer.cancel();
            claim.timer = this.scheduleReplyTimeout(ticket, verdict.expectedMs + replyTimeoutMs);
            return;
        }
        const transitMs = this.options.readBoot() - claim.askedAt
            - (verdict.kind === "granted" ? verdict.heldMs ?? 0 : 0);
        const isLate = verdict.kind === "granted" && verdict.heldMs !== undefined && transitMs > maxGrantTransitMs;
        claim.finish(isLate ? undefined : verdict);
    }

    /** Ends the leases of a VM that became unreachable, and fails the claims that wait for its reply. */
    removeVm(vm: string): void {
        this.setLeasedGroups(vm, []);
        this.leasedAt.delete(vm);
        this.queues.forEach(queue => queue.removeVm(vm));
        for (const claim of [...this.pendingClaims.values()]) {
            if (claim.vm === vm) {
                claim.finish(undefined);
            }
        }
        this.update();
    }

    /** Drops the balances of quotas that were removed long ago. */
    expireOld(): void {
        const now = this.options.readBoot();
        for (const pool of this.pools) {
            pool.removeBalances(key => this.isExpired(key, now));
        }
    }

    private isExpired(key: string, now: number): boolean {
        if (this.options.findLimit(key) !== undefined) {
            this.removedSince.delete(key);
            return false;
        }
        const since = this.removedSince.get(key) ?? now;
        this.removedSince.set(key, since);
        if (now - since < removedQuotaRetentionMs) {
            return false;
        }
        this.removedSince.delete(key);
        return true;
    }

    private chooseCoordinators(): void {
        const { vm: self } = this.options;
        const candidates = this.listResponsive();
        const changed = new Set<string>();
        for (let group = 0; group < groupCount; group += 1) {
            const chosen = rankCoordinators(group, candidates)[0] ?? self;
            const previous = this.coordinators[group];
            if (chosen !== previous) {
                this.coordinators[group] = chosen;
                changed.add(chosen);
                if (previous !== undefined) {
                    changed.add(previous);
                }
            }
        }
        for (const vm of changed) {
            this.sendLease(vm);
        }
    }

    private listResponsive(): string[] {
        const now = this.options.readBoot();
        return this.options.listCandidates().filter(vm => now >= (this.skippedUntil.get(vm) ?? -Infinity));
    }

    /** The VM that would coordinate a quota if its coordinator failed. */
    private findAlternateCoordinator(key: string, coordinator: string): string | undefined {
        return rankCoordinators(readGroup(key), this.listResponsive()).find(vm => vm !== coordinator);
    }

    /** Fails a claim whose coordinator did not reply in time, and skips this coordinator for some time. */
    private recordReplyTimeout(ticket: number): void {
        const claim = this.pendingClaims.get(ticket);
        if (claim === undefined) {
            return;
        }
        claim.finish(undefined);
        this.skippedUntil.set(claim.vm, this.options.readBoot() + unresponsiveSkipMs);
        this.chooseCoordinators();
    }

    /** Leases this VM's shares to a VM for the groups that it coordinates, and ends the leases of all other groups. */
    private sendLease(vm: string): void {
        const groups = this.coordinators.flatMap((coordinator, group) => coordinator === vm ? [group] : []);
        this.leasedAt.set(vm, this.options.readBoot());
        if (vm === this.options.vm) {
            this.setLeasedGroups(vm, groups);
        }
        else {
            this.options.send(vm, { type: "leaseShare", groups });
        }
    }

    private setLeasedGroups(vm: string, groups: readonly number[]): void {
        const now = this.options.readBoot();
        for (const group of this.leasedGroups.get(vm) ?? []) {
            if (!groups.includes(group)) {
                this.pools[group]!.release(vm, now);
            }
        }
        for (const group of groups) {
            this.pools[group]?.lease(vm, now);
        }
        this.leasedGroups.set(vm, groups.filter(group => group < groupCount));
    }

    private findCoordinator(key: string): string {
        const group = readGroup(key);
        if (this.coordinators[group] === undefined) {
            this.chooseCoordinators();
        }
        return this.coordinators[group]!;
    }

    private findPool(key: string): QuotaPool {
        return this.pools[readGroup(key)]!;
    }

    private async askCoordinator(vm: string, claim: QuotaClaim): Promise<QuotaVerdict | undefined> {
        const { ticket, reply } = this.openClaim(vm);
        this.sendClaim(vm, ticket, claim);
        return reply;
    }

    private openClaim(vm: string): { ticket: number; reply: Promise<QuotaVerdict | undefined>; } {
        this.lastTicket += 1;
        const ticket = this.lastTicket;
        const reply = new Promise<QuotaVerdict | undefined>(resolve => {
            const finish = (verdict: QuotaVerdict | undefined): void => {
                this.pendingClaims.get(ticket)?.timer.cancel();
                this.pendingClaims.delete(ticket);
                resolve(verdict);
            };
            const timer = this.scheduleReplyTimeout(ticket, replyTimeoutMs);
            this.pendingClaims.set(ticket, { vm, askedAt: this.options.readBoot(), finish, timer });
        });
        return { ticket, reply };
    }

    private scheduleReplyTimeout(ticket: number, ms: number): ScheduledRun {
        return this.options.timers.scheduleOnce(() => this.recordReplyTimeout(ticket), ms);
    }

    private sendClaim(vm: string, ticket: number, { key, limit, cost }: QuotaClaim, wait?: ClaimWait): void {
        const message = { type: "claimQuota", ticket, key, limit, cost, wait } as const;
        if (vm === this.options.vm) {
            this.receiveClaim(vm, message);
            return;
        }
        this.leasedAt.set(vm, this.options.readBoot());
        if (!this.options.send(vm, message)) {
            this.pendingClaims.get(ticket)?.finish(undefined);
        }
    }

    private sendCancel(vm: string, ticket: number): void {
        if (vm === this.options.vm) {
            this.queues.forEach(queue => queue.remove(vm, ticket));
        }
        else {
            this.options.send(vm, { type: "cancelClaim", ticket });
        }
    }

    private decide(vm: string, message: Extract<QuotaMessage, { type: "claimQuota"; }>): QuotaVerdict {
        const { ticket, key, cost, wait } = message;
        const now = this.options.readBoot();
        // A claim also renews the leases of its VM, as a `leaseShare` message would.
        for (const group of this.leasedGroups.get(vm) ?? []) {
            this.pools[group]!.lease(vm, now);
        }
        // This VM may know a newer or an older limit than the VM that claims.
        const limit = this.options.findLimit(key) ?? message.limit;
        return wait === undefined
            ? this.findPool(key).claim(key, limit, cost, now)
            : this.queues[readGroup(key)]!.enqueue({ vm, ticket, key, limit, cost, ...wait }, now);
    }

    private sendVerdict(vm: string, ticket: number, verdict: QuotaVerdict): void {
        if (vm === this.options.vm) {
            this.receiveVerdict(ticket, verdict);
        }
        else {
            this.options.send(vm, { type: "quotaAnswer", ticket, verdict });
        }
    }

    /** Decides the waiting claims whose time has come or is over. */
    private advanceQueues(): void {
        const now = this.options.readBoot();
        for (const queue of this.queues) {
            for (const { vm, ticket, verdict } of queue.advance(now)) {
                this.sendVerdict(vm, ticket, verdict);
            }
        }
        this.scheduleQueues();
    }

    private scheduleQueues(): void {
        const now = this.options.readBoot();
        const waits = this.queues.map(queue => queue.readNextMs(now)).filter(ms => ms !== undefined);
        this.queueTimer?.cancel();
        this.queueTimer = waits.length === 0
            ? undefined
            : this.options.timers.scheduleOnce(
                () => this.advanceQueues(),
                Math.min(Math.max(1, Math.min(...waits)), maxQueueCheckMs),
            );
    }

    private sendReturn(vm: string, key: string, cost: number): void {
        if (vm === this.options.vm) {
            this.findPool(key).addBack(key, cost);
            this.advanceQueues();
        }
        else {
            this.options.send(vm, { type: "returnQuota", key, cost });
        }
    }
}

/** Ranks VMs by rendezvous hashing in the order in which they would coordinate a group. */
function rankCoordinators(group: number, vms: readonly string[]): string[] {
    return rankByRendezvous(`quotas ${group}`, vms.map(id => ({ id }))).map(({ id }) => id);
}

/** The group to which a quota is assigned. */
function readGroup(key: string): number {
    return readShard(key, groupCount);
}
