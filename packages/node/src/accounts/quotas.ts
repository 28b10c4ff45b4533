import {
    type QuotaBounds,
    type QuotaLimit,
    QuotaPool,
    type QuotaVerdict,
    rankByRendezvous,
    readShard,
    readShareLeaseMs,
} from "@radishreel/fleet";
import type { Timers } from "../clock.js";
import type { PeerMessage } from "../links/messages.js";

/**
 * Number of groups to which accounts are assigned, each with a coordinator of its own. Every VM renews a lease with
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

/** How long the balance of a removed account is kept, in milliseconds: the next configuration may contain it again. */
const removedAccountRetentionMs = 60_000;

/** Messages between VMs about quotas. */
export type QuotaMessage = Extract<PeerMessage, { type: "leaseShare" | "claimQuota" | "quotaAnswer" | "returnQuota"; }>;

/** A claim on an account's quota. */
export interface QuotaClaim {
    readonly account: string;
    readonly limit: QuotaLimit;
    readonly cost: number;
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
    /** Whether any account has a quota. */
    readonly isNeeded: () => boolean;
    /** The quota of an account by this VM's configuration; undefined if the configuration has none. */
    readonly findLimit: (account: string) => QuotaLimit | undefined;
    /** Sends a message to another VM. @returns Whether the message could be sent. */
    readonly send: (vm: string, message: QuotaMessage) => boolean;
}

/** A claim that waits for the coordinator's reply. */
interface PendingClaim {
    readonly vm: string;
    readonly finish: (verdict: QuotaVerdict | undefined) => void;
}

/** Claims quota for this VM's requests, and grants claims as the coordinator of some groups of accounts. */
export class Quotas {
    private readonly pools: QuotaPool[];
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
        const first = this.findCoordinator(claim.account);
        const firstReply = this.askCoordinator(first, claim);
        const firstVerdict = await this.waitWithTimeout(firstReply, hedgeDelayMs);
        if (firstVerdict !== undefined) {
            return firstVerdict;
        }
        const second = this.findAlternateCoordinator(claim.account, first);
        if (second === undefined) {
            return await firstReply ?? { kind: "unsure" };
        }
        return this.chooseVerdict(claim, [[first, firstReply], [second, this.askCoordinator(second, claim)]]);
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
                this.sendReturn(vm, claim.account, claim.cost);
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
    release({ account, cost }: QuotaClaim): void {
        this.sendReturn(this.findCoordinator(account), account, cost);
    }

    receiveMessage(vm: string, message: QuotaMessage): void {
        switch (message.type) {
            case "leaseShare":
                this.setLeasedGroups(vm, message.groups);
                return;
            case "claimQuota":
                this.options.send(vm, {
                    type: "quotaAnswer",
                    ticket: message.ticket,
                    verdict: this.decide(vm, message),
                });
                return;
            case "quotaAnswer":
                // The cost of a claim that timed out is not returned: its coordinator may count it or not, and
                // the balance soon refills.
                this.pendingClaims.get(message.ticket)?.finish(message.verdict);
                return;
            case "returnQuota":
                this.findPool(message.account).addBack(message.account, message.cost);
                return;
        }
    }

    /** Ends the leases of a VM that became unreachable, and fails the claims that wait for its reply. */
    removeVm(vm: string): void {
        this.setLeasedGroups(vm, []);
        this.leasedAt.delete(vm);
        for (const claim of [...this.pendingClaims.values()]) {
            if (claim.vm === vm) {
                claim.finish(undefined);
            }
        }
        this.update();
    }

    /** Drops the balances of accounts that were removed long ago. */
    expireOld(): void {
        const now = this.options.readBoot();
        for (const pool of this.pools) {
            pool.removeAccounts(account => this.isExpired(account, now));
        }
    }

    private isExpired(account: string, now: number): boolean {
        if (this.options.findLimit(account) !== undefined) {
            this.removedSince.delete(account);
            return false;
        }
        const since = this.removedSince.get(account) ?? now;
        this.removedSince.set(account, since);
        if (now - since < removedAccountRetentionMs) {
            return false;
        }
        this.removedSince.delete(account);
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

    /** The VM that would coordinate an account if its coordinator failed. */
    private findAlternateCoordinator(account: string, coordinator: string): string | undefined {
        return rankCoordinators(readGroup(account), this.listResponsive()).find(vm => vm !== coordinator);
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

    private findCoordinator(account: string): string {
        const group = readGroup(account);
        if (this.coordinators[group] === undefined) {
            this.chooseCoordinators();
        }
        return this.coordinators[group]!;
    }

    private findPool(account: string): QuotaPool {
        return this.pools[readGroup(account)]!;
    }

    private async askCoordinator(vm: string, claim: QuotaClaim): Promise<QuotaVerdict | undefined> {
        if (vm === this.options.vm) {
            return this.decide(vm, claim);
        }
        this.lastTicket += 1;
        const ticket = this.lastTicket;
        return new Promise(resolve => {
            const finish = (verdict: QuotaVerdict | undefined): void => {
                timer.cancel();
                this.pendingClaims.delete(ticket);
                resolve(verdict);
            };
            const timer = this.options.timers.scheduleOnce(() => this.recordReplyTimeout(ticket), replyTimeoutMs);
            this.pendingClaims.set(ticket, { vm, finish });
            this.leasedAt.set(vm, this.options.readBoot());
            const { account, limit, cost } = claim;
            if (!this.options.send(vm, { type: "claimQuota", ticket, account, limit, cost })) {
                finish(undefined);
            }
        });
    }

    private decide(vm: string, { account, limit, cost }: QuotaClaim): QuotaVerdict {
        const now = this.options.readBoot();
        const pool = this.findPool(account);
        // A claim also renews the leases of its VM, as a `leaseShare` message would.
        for (const group of this.leasedGroups.get(vm) ?? []) {
            this.pools[group]!.lease(vm, now);
        }
        // This VM may have a newer or an older configuration than the VM that claims.
        return pool.claim(account, this.options.findLimit(account) ?? limit, cost, now);
    }

    private sendReturn(vm: string, account: string, cost: number): void {
        if (vm === this.options.vm) {
            this.findPool(account).addBack(account, cost);
        }
        else {
            this.options.send(vm, { type: "returnQuota", account, cost });
        }
    }
}

/** Ranks VMs by rendezvous hashing in the order in which they would coordinate a group. */
function rankCoordinators(group: number, vms: readonly string[]): string[] {
    return rankByRendezvous(`accounts ${group}`, vms.map(id => ({ id }))).map(({ id }) => id);
}

/** The group to which an account is assigned. */
function readGroup(account: string): number {
    return readShard(account, groupCount);
}
