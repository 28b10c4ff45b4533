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
import type { PeerMessage } from "../links/messages.js";

/**
 * Groups into which accounts are dealt, each with a coordinator of its own. Every VM renews a lease with each coordinator, so
 * more groups cost more messages; fewer leave more of the claims to one VM.
 */
const groupCount = 4;

/**
 * Once a coordinator has not answered for this long the next one is asked beside it, in milliseconds: answers take some 3 ms, and
 * 0.1 s where a processor is busy. The next one only knows if others have turned to it as well.
 */
const slowAnswerMs = 80;

/** A coordinator that has not answered for this long is passed by, in milliseconds: it is lost, or stands still. */
const answerTimeoutMs = 400;

/** How long a coordinator that did not answer is passed by, in milliseconds. */
const silencePauseMs = 1000;

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

    /** Claims a request's cost; the answer is unsure if no coordinator can tell in time. */
    async claim(claim: QuotaClaim): Promise<QuotaVerdict> {
        const first = this.findCoordinator(claim.account);
        const answer = this.ask(first, claim);
        const quick = await this.waitAtMost(answer, slowAnswerMs);
        if (quick !== undefined) {
            return quick;
        }
        const second = this.findOther(claim.account, first);
        if (second === undefined) {
            return await answer ?? { kind: "unsure" };
        }
        return this.chooseVerdict(claim, [[first, answer], [second, this.ask(second, claim)]]);
    }

    /** Takes the first answer of those that know, and gives back what another one granted. */
    private async chooseVerdict(
        claim: QuotaClaim,
        asked: readonly (readonly [string, Promise<QuotaVerdict | undefined>])[],
    ): Promise<QuotaVerdict> {
        let taken: QuotaVerdict | undefined;
        const takeAnswer = async (vm: string, answer: Promise<QuotaVerdict | undefined>): Promise<QuotaVerdict> => {
            const verdict = await answer;
            if (verdict === undefined || verdict.kind === "unsure") {
                throw new Error(`${vm} cannot tell`);
            }
            if (taken !== undefined && verdict.kind === "granted") {
                this.sendBack(vm, claim.account, claim.cost);
            }
            taken ??= verdict;
            return verdict;
        };
        const answers = asked.map(([vm, answer]) => takeAnswer(vm, answer));
        return Promise.any(answers).catch((): QuotaVerdict => ({ kind: "unsure" }));
    }

    /** Waits for a value; undefined if it takes longer. */
    private async waitAtMost<Value>(value: Promise<Value>, ms: number): Promise<Value | undefined> {
        let finish: () => void = () => {};
        const late = new Promise<undefined>(resolve => {
            finish = () => resolve(undefined);
        });
        // Left running, a timer for each claim would wake the process once more.
        const timer = this.options.timers.scheduleOnce(finish, ms);
        const result = await Promise.race([value, late]);
        timer.cancel();
        return result;
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
        const { vm: self } = this.options;
        const candidates = this.listResponsive();
        const changed = new Set<string>();
        for (let group = 0; group < groupCount; group += 1) {
            const chosen = rankGroup(group, candidates)[0] ?? self;
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

    private listResponsive(): string[] {
        const now = this.options.readBoot();
        return this.options.listCandidates().filter(vm => now >= (this.silentUntil.get(vm) ?? -Infinity));
    }

    /** The VM that would coordinate an account without the one that does. */
    private findOther(account: string, coordinator: string): string | undefined {
        return rankGroup(readGroup(account), this.listResponsive()).find(vm => vm !== coordinator);
    }

    /** A coordinator has not answered: this VM turns to another one. */
    private recordSilence(ticket: number): void {
        const claim = this.claims.get(ticket);
        if (claim === undefined) {
            return;
        }
        claim.finish(undefined);
        this.silentUntil.set(claim.vm, this.options.readBoot() + silencePauseMs);
        this.chooseCoordinators();
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
            const timer = this.options.timers.scheduleOnce(() => this.recordSilence(ticket), answerTimeoutMs);
            this.claims.set(ticket, { vm, finish });
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
        // A claim renews what its VM has leased, as a message of its own would.
        for (const group of this.lessors.get(vm) ?? []) {
            this.pools[group]!.lease(vm, now);
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

/** VMs in the order in which they would coordinate a group. */
function rankGroup(group: number, vms: readonly string[]): string[] {
    return rankHomes(`accounts ${group}`, vms.map(id => ({ id }))).map(({ id }) => id);
}

/** The group of an account. */
function readGroup(account: string): number {
    return readShard(account, groupCount);
}
