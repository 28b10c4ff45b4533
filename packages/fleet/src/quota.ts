/**
 * Part of what the operator allows beyond a quota that an account may overdraw its balance by: single large requests, and bursts right
 * after a change of coordinator. The rest is left for shares that two coordinators hold for a moment, and requests that begin late.
 */
const overdraftShare = 0.4;

/** A coordinator that holds at least this part of all shares can tell an account that it is over its limit. */
const certainShare = 0.9;

/** Fall of the shares after which balances are bounded by what is left, as a part of all shares. */
const shareStep = 0.05;

/** Shortest and longest lease of a share, in milliseconds. */
const minLeaseMs = 300;
const maxLeaseMs = 2000;

/** Longest time after which a caller is told to come back, in milliseconds. */
const maxWaitMs = 3000;

/** What the operator allows beyond the quotas. */
export interface QuotaBounds {
    /** Time over which use is counted, in milliseconds. */
    readonly windowMs: number;
    /** Part by which use within that time may exceed a quota. */
    readonly overage: number;
    /** What may be used within that time beyond that, in units of the quotas. */
    readonly slack: number;
}

/** How much one account may use, in units of its quota. */
export interface QuotaLimit {
    readonly perSecond: number;
    readonly burst: number;
}

/** What became of a claim on a quota. */
export type QuotaVerdict =
    | { readonly kind: "granted"; readonly balance: number; }
    /** The account is over its limit; after this time it may be below, or never for a request as large, in milliseconds. */
    | { readonly kind: "refused"; readonly balance: number; readonly waitMs?: number | undefined; }
    /** The coordinator holds too few shares, or has held them for too short, to know. */
    | { readonly kind: "unsure"; };

/** One account's quota at a coordinator. */
interface Balance {
    amount: number;
    /** Reading of the pool's {@link QuotaPool.filledSeconds} when `amount` was last brought up to date. */
    filledAt: number;
    burst: number;
    /** What refused callers were told to come back for. */
    promised: number;
}

/** Options of {@link QuotaPool}. */
export interface QuotaPoolOptions {
    readonly bounds: QuotaBounds;
    /** VMs that exist, as far as is known: each holds an equal share of all quotas. */
    readonly countVms: () => number;
}

/** How long a VM's share is leased, in milliseconds: two coordinators may both count it for so long. */
export function readShareLeaseMs({ overage, windowMs }: QuotaBounds): number {
    return Math.min(Math.max(overage * windowMs, minLeaseMs), maxLeaseMs);
}

/**
 * The quotas of a group of accounts, as one coordinator keeps them. Each VM leases its equal share of the quotas to one
 * coordinator at a time, and a coordinator grants no more than the shares that it holds: in a cut each side uses what its
 * own VMs bring, and after a loss of all VMs balances begin at nothing. Time is boot time: a coordinator that was suspended
 * finds its leases lapsed.
 */
export class QuotaPool {
    private readonly leases = new Map<string, number>();
    private readonly balances = new Map<string, Balance>();
    /** Integral of the share over time, in seconds of the whole quotas. */
    private filledSeconds = 0;
    private advancedAt = -Infinity;
    /** The share to which balances are bounded; see {@link shareStep}. */
    private boundShare = 0;
    /** Reading of {@link filledSeconds} from which accounts that have no balance yet are filled. */
    private emptyAt = 0;
    /** Reading of {@link filledSeconds} since which the coordinator has held nearly all shares; undefined while it has not. */
    private certainSince: number | undefined;
    private readonly leaseMs: number;

    constructor(private readonly options: QuotaPoolOptions) {
        this.leaseMs = readShareLeaseMs(options.bounds);
    }

    /** Takes a VM's share, or holds it for longer. */
    lease(vm: string, now: number): void {
        this.advance(now);
        this.leases.set(vm, now + this.leaseMs);
        this.updateShare(now);
    }

    /** Gives a VM's share back. */
    release(vm: string, now: number): void {
        this.advance(now);
        this.leases.delete(vm);
        this.updateShare(now);
    }

    /** Part of all shares that is held, from 0 to 1. */
    readShare(now: number): number {
        let held = 0;
        for (const until of this.leases.values()) {
            held += until > now ? 1 : 0;
        }
        return Math.min(1, held / Math.max(1, this.options.countVms()));
    }

    /** Takes a request's cost off its account's quota, if there is enough. */
    claim(account: string, limit: QuotaLimit, cost: number, now: number): QuotaVerdict {
        this.advance(now);
        const share = this.readShare(now);
        const balance = this.updateBalance(account, limit, share);
        const overdraft = this.readTolerance(limit) * overdraftShare * share;
        if (balance.amount + overdraft >= cost) {
            balance.amount -= cost;
            return { kind: "granted", balance: balance.amount };
        }
        if (!this.isCertain(limit)) {
            return { kind: "unsure" };
        }
        const largest = limit.burst + overdraft;
        if (cost > largest) {
            return { kind: "refused", balance: balance.amount, waitMs: undefined };
        }
        balance.promised += cost;
        const missing = balance.promised - balance.amount - overdraft;
        const waitMs = Math.min(Math.max(0, missing) / limit.perSecond * 1000, maxWaitMs);
        return { kind: "refused", balance: balance.amount, waitMs };
    }

    /** Takes back what a request was granted that has not run. */
    addBack(account: string, cost: number): void {
        const balance = this.balances.get(account);
        if (balance !== undefined) {
            balance.amount = Math.min(balance.burst * this.boundShare, balance.amount + cost);
        }
    }

    /** Forgets the balances of accounts that are gone. */
    removeAccounts(isGone: (account: string) => boolean): void {
        for (const account of this.balances.keys()) {
            if (isGone(account)) {
                this.balances.delete(account);
            }
        }
    }

    /** What an account may use within a window beyond its quota. */
    private readTolerance({ perSecond, burst }: QuotaLimit): number {
        const { windowMs, overage, slack } = this.options.bounds;
        return (perSecond * windowMs / 1000 + burst) * overage + slack;
    }

    /** Whether the coordinator has held nearly all shares for as long as a spent burst takes to come back. */
    private isCertain({ perSecond, burst }: QuotaLimit): boolean {
        return this.certainSince !== undefined && this.filledSeconds - this.certainSince >= burst / perSecond;
    }

    /**
     * Counts the time since the last call with the shares that are held still: one that has lapsed meanwhile may have been
     * leased to another coordinator at any moment of that time.
     */
    private advance(now: number): void {
        const share = this.readShare(now);
        if (this.advancedAt !== -Infinity) {
            this.filledSeconds += Math.max(0, now - this.advancedAt) / 1000 * share;
        }
        this.advancedAt = now;
        this.updateShare(now);
    }

    private updateShare(now: number): void {
        const share = this.readShare(now);
        if (share < certainShare) {
            this.certainSince = undefined;
        }
        else {
            this.certainSince ??= this.filledSeconds;
        }
        if (share > this.boundShare) {
            this.boundShare = share;
        }
        else if (share < this.boundShare - shareStep) {
            this.updateBound(share);
        }
    }

    /** What was held for VMs that now ask elsewhere must not be there still when they come back. */
    private updateBound(share: number): void {
        this.boundShare = share;
        this.emptyAt = this.filledSeconds;
        for (const balance of this.balances.values()) {
            balance.amount = Math.min(balance.amount, balance.burst * share);
        }
    }

    private updateBalance(account: string, limit: QuotaLimit, share: number): Balance {
        const known = this.balances.get(account);
        const balance = known ?? { amount: 0, filledAt: this.emptyAt, burst: limit.burst, promised: 0 };
        const filled = (this.filledSeconds - balance.filledAt) * limit.perSecond;
        balance.amount = Math.min(limit.burst * share, balance.amount + filled);
        balance.promised = Math.max(0, balance.promised - filled);
        balance.filledAt = this.filledSeconds;
        balance.burst = limit.burst;
        this.balances.set(account, balance);
        return balance;
    }
}
