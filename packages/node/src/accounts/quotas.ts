import {
    type QuotaBounds,
    type QuotaLimit,
    QuotaPool,
    type QuotaVerdict,
    rankHomes,
    readShard,
    readShareLeaseMs,
} from "@radishreel/fleet";
import type { Timers } from "../clock.js";
import type { PeerMessage } from "../messages.js";

/**
 * Groups into which accounts are dealt, each with a coordinator of its own. Every VM renews a lease with each coordinator, so
 * more groups cost more messages; fewer leave more of the claims to one VM.
 */
const groupCount = 4;

/** A coordinator that has not answered for this long is passed by, in milliseconds: answers take some 3 ms. */
const answerTimeoutMs = 80;

/** How long a coordinator that did not answer is passed by, in milliseconds. */
const silencePauseMs = 1000;

/** Coordinators that one request asks at most. */
const maxAsks = 2;

/** Part of a lease after which it is renewed. */
const renewShare = 0.5;

/** How long the balance of an account that is gone is kept, in milliseconds: it may come back with the next configuration. */
const forgetMs = 60_000;

/** Messages about quotas. */
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
    /** Time that goes on while the VM is suspended, in milliseconds. */
    readonly readBoot: () => number;
    readonly timers: Timers;
    /** VMs that can coordinate, as far as this VM knows, itself among them if it can. */
    readonly listCandidates: () => string[];
    /** VMs that exist, as far as is known, this one included. */
    readonly countVms: () => number;
    /** Whether any account has a quota. */
    readonly isNeeded: () => boolean;
    /** The quota of an account by this VM's configuration; undefined if it knows none. */
    readonly findLimit: (account: string) => QuotaLimit | undefined;
    /** Sends to another VM. @returns Whether it could be sent. */
    readonly send: (vm: string, message: QuotaMessage) => boolean;
}

interface OpenClaim {
    readonly vm: string;
    readonly finish: (verdict: QuotaVerdict | undefined) => void;
}

/** Claims parts of accounts' quotas for this VM's requests, and grants them as the coordinator of some accounts. */
export class Quotas {
    private readonly pools: QuotaPool[];
    /** Groups whose shares each VM leases to this one. */
    private readonly lessors = new Map<string, readonly number[]>();
    /** The coordinator of each group, as this VM has chosen it. */
    private readonly coordinators: (string | undefined)[] = Array.from({ length: groupCount });
    private readonly leasedAt = new Map<string, number>();
    private readonly silentUntil = new Map<string, number>();
    private readonly claims = new Map<number, OpenClaim>();
    private readonly goneSince = new Map<string, number>();
    private lastTicket = 0;

    constructor(private readonly options: QuotasOptions) {
        const { bounds, countVms } = options;
        this.pools = Array.from({ length: groupCount }, () => new QuotaPool({ bounds, countVms }));
    }

    /** Chooses coordinators, and renews what is leased to them. */
    update(): void {
        if (!this.options.isNeeded()) {
            return;
        }
        this.chooseCoordinators();
        const now = this.options.readBoot();
        const dueMs = readShareLeaseMs(this.options.bounds) * renewShare;
        for (const vm of new Set(this.coordinators)) {
            if (vm !== undefined && now - (this.leasedAt.get(vm) ?? -Infinity) >= dueMs) {
                this.sendLease(vm);
            }
        }
    }

    /** Claims a request's cost; the answer is unsure if no coordinator can be asked. */
    async claim(claim: QuotaClaim): Promise<QuotaVerdict> {
        for (let asks = 0; asks < maxAsks; asks += 1) {
            const vm = this.findCoordinator(claim.account);
            const verdict = await this.ask(vm, claim);
            if (verdict !== undefined) {
                return verdict;
            }
            this.silentUntil.set(vm, this.options.readBoot() + silencePauseMs);
            this.chooseCoordinators();
        }
        return { kind: "unsure" };
    }

    /** Gives back the cost of a request that has not run. */
    release({ account, cost }: QuotaClaim): void {
        this.sendBack(this.findCoordinator(account), account, cost);
    }

    receiveMessage(vm: string, message: QuotaMessage): void {
        switch (message.type) {
            case "leaseShare":
                this.setLessor(vm, message.groups);
                return;
            case "claimQuota":
                this.options.send(vm, {
                    type: "quotaAnswer",
                    ticket: message.ticket,
                    verdict: this.decide(vm, message),
                });
                return;
            case "quotaAnswer":
                // A claim that was given up is not given back: whether its coordinator counts it does not matter for long.
                this.claims.get(message.ticket)?.finish(message.verdict);
                return;
            case "returnQuota":
                this.findPool(message.account).addBack(message.account, message.cost);
                return;
        }
    }

    /** A VM is out of reach: its share is its own again, and nothing is asked of it. */
    removeVm(vm: string): void {
        this.setLessor(vm, []);
        this.leasedAt.delete(vm);
        for (const claim of [...this.claims.values()]) {
            if (claim.vm === vm) {
                claim.finish(undefined);
            }
        }
        this.update();
    }

    /** Forgets the balances of accounts that have been gone for long. */
    expireOld(): void {
        const now = this.options.readBoot();
        for (const pool of this.pools) {
            pool.removeAccounts(account => this.isGone(account, now));
        }
    }

    private isGone(account: string, now: number): boolean {
        if (this.options.findLimit(account) !== undefined) {
            this.goneSince.delete(account);
            return false;
        }
        const since = this.goneSince.get(account) ?? now;
        this.goneSince.set(account, since);
        if (now - since < forgetMs) {
            return false;
        }
        this.goneSince.delete(account);
        return true;
    }

    private chooseCoordinators(): void {
        const { vm: self, listCandidates, readBoot } = this.options;
        const now = readBoot();
        const candidates = listCandidates()
            .filter(vm => now >= (this.silentUntil.get(vm) ?? -Infinity))
            .map(id => ({ id }));
        const changed = new Set<string>();
        for (let group = 0; group < groupCount; group += 1) {
            const chosen = rankHomes(`accounts ${group}`, candidates)[0]?.id ?? self;
            const before = this.coordinators[group];
            if (chosen !== before) {
                this.coordinators[group] = chosen;
                changed.add(chosen);
                if (before !== undefined) {
                    changed.add(before);
                }
            }
        }
        for (const vm of changed) {
            this.sendLease(vm);
        }
    }

    /** Leases to a VM the groups for which it was chosen, and no others. */
    private sendLease(vm: string): void {
        const groups = this.coordinators.flatMap((coordinator, group) => coordinator === vm ? [group] : []);
        this.leasedAt.set(vm, this.options.readBoot());
        if (vm === this.options.vm) {
            this.setLessor(vm, groups);
        }
        else {
            this.options.send(vm, { type: "leaseShare", groups });
        }
    }

    private setLessor(vm: string, groups: readonly number[]): void {
        const now = this.options.readBoot();
        for (const group of this.lessors.get(vm) ?? []) {
            if (!groups.includes(group)) {
                this.pools[group]!.release(vm, now);
            }
        }
        for (const group of groups) {
            this.pools[group]?.lease(vm, now);
        }
        this.lessors.set(vm, groups.filter(group => group < groupCount));
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

    private async ask(vm: string, claim: QuotaClaim): Promise<QuotaVerdict | undefined> {
        if (vm === this.options.vm) {
            return this.decide(vm, claim);
        }
        this.lastTicket += 1;
        const ticket = this.lastTicket;
        return new Promise(resolve => {
            const finish = (verdict: QuotaVerdict | undefined): void => {
                timer.cancel();
                this.claims.delete(ticket);
                resolve(verdict);
            };
            const timer = this.options.timers.scheduleOnce(() => finish(undefined), answerTimeoutMs);
            this.claims.set(ticket, { vm, finish });
            const { account, limit, cost } = claim;
            if (!this.options.send(vm, { type: "claimQuota", ticket, account, limit, cost })) {
                finish(undefined);
            }
        });
    }

    private decide(vm: string, { account, limit, cost }: QuotaClaim): QuotaVerdict {
        const now = this.options.readBoot();
        const pool = this.findPool(account);
        const groups = this.lessors.get(vm) ?? [];
        if (groups.includes(readGroup(account))) {
            pool.lease(vm, now);
        }
        // This VM may have a newer configuration than the one that asks, or an older one.
        return pool.claim(account, this.options.findLimit(account) ?? limit, cost, now);
    }

    private sendBack(vm: string, account: string, cost: number): void {
        if (vm === this.options.vm) {
            this.findPool(account).addBack(account, cost);
        }
        else {
            this.options.send(vm, { type: "returnQuota", account, cost });
        }
    }
}

/** The group of an account. */
function readGroup(account: string): number {
    return readShard(account, groupCount);
}
