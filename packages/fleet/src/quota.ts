/**
 * Part of the operator's tolerance beyond a quota by which an account may overdraw its balance. The overdraft serves
 * single large requests, and bursts right after a change of coordinator. The rest of the tolerance covers shares that
 * two coordinators hold at the same time for a moment, and requests that start late.
 */
const overdraftShare = 0.4;

/** Part of all shares from which on a coordinator can refuse an account for exceeding its limit. */
const minCertainShare = 0.9;

/** Decrease of the held shares at which balances are limited to the remaining ones, as a part of all shares. */
const boundUpdateStep = 0.05;

/**
 * Number of parts of a partitioned network that can each save up one claim on a quota that must not be overdrawn.
 * Smaller parts cannot use such a quota: many of them would exceed it with one claim each.
 */
const maxSavingParts = 4;

/** Shortest and longest lease of a share, in milliseconds. */
const minLeaseMs = 300;
const maxLeaseMs = 2000;

/** Longest time after which a refused caller is asked to retry, in milliseconds. */
const maxWaitMs = 3000;

/** The operator's tolerance beyond the quotas. */
export interface QuotaBounds {
    /** Window over which usage is counted, in milliseconds. */
    readonly windowMs: number;
    /** Part of a quota by which the usage within the window may exceed it. */
    readonly overage: number;
    /** Usage that is allowed within the window beyond the quota and the overage, in units of the quotas. */
    readonly slack: number;
}

/** Rate and burst of a quota, in its units. */
export interface QuotaLimit {
    readonly perSecond: number;
    readonly burst: number;
    /**
     * Cost of each claim, for a quota that must not be overdrawn. Its balance can grow to one claim beyond the burst,
     * else a low rate could never be used.
     * @default undefined: costs vary, and the operator's tolerance applies
     */
    readonly claimCost?: number | undefined;
}

/** Result of a claim on a quota. */
export type QuotaVerdict =
    | {
        readonly kind: "granted";
        readonly balance: number;
        /** How long the claim waited at the coordinator, in milliseconds. @default 0 */
        readonly heldMs?: number | undefined;
        /** Time until a further claim may be granted, in milliseconds; set for claims that may wait. */
        readonly nextMs?: number | undefined;
    }
    /** The claim waits at the coordinator and is expected to be granted after this time. */
    | { readonly kind: "queued"; readonly expectedMs: number; }
    /**
     * The quota is used up. `waitMs` is the time until a retry may succeed; undefined for a request that is
     * too large.
     */
    | { readonly kind: "refused"; readonly balance: number; readonly waitMs?: number | undefined; }
    /** The coordinator cannot decide: it holds too few shares, or has not held them for long enough. */
    | { readonly kind: "unsure"; };

/** Token bucket of one quota at a coordinator. */
interface Balance {
    amount: number;
    /** Value of the pool's {@link QuotaPool.filledSeconds} at the last update of `amount`. */
    filledAt: number;
    limit: QuotaLimit;
    /** Total cost of refused requests whose callers were asked to retry. */
    deferredCost: number;
}

/** Options of {@link QuotaPool}. */
export interface QuotaPoolOptions {
    readonly bounds: QuotaBounds;
    /** Counts the known VMs: each holds an equal share of all quotas. */
    readonly countVms: () => number;
}

/** Lease duration of a VM's share, in milliseconds. Two coordinators may both count the share for at most this time. */
export function readShareLeaseMs({ overage, windowMs }: QuotaBounds): number {
    return Math.min(Math.max(overage * windowMs, minLeaseMs), maxLeaseMs);
}

/**
 * A group of quotas at one coordinator. Each VM leases its equal share of the quotas to one coordinator
 * at a time, and a coordinator grants no more than the shares that it holds. In a network partition each side uses the
 * shares of its own VMs, and after a loss of all VMs balances start at 0. Times are boot time, so the leases of a
 * coordinator that was suspended have expired.
 */
export class QuotaPool {
    private readonly leases = new Map<string, number>();
    private readonly balances = new Map<string, Balance>();
    /** Integral of the share over time, in seconds of the whole quotas. */
    private filledSeconds = 0;
    private advancedAt = -Infinity;
    /** Share of a quota's burst to which its balance is limited; see {@link boundUpdateStep}. */
    private boundShare = 0;
    /** Value of {@link filledSeconds} from which new balances are filled. */
    private newBalancesFilledAt = 0;
    /**
     * Value of {@link filledSeconds} since which the coordinator has held nearly all shares; undefined while it does
     * not.
     */
    private certainSince: number | undefined;
    private readonly leaseMs: number;

    constructor(private readonly options: QuotaPoolOptions) {
        this.leaseMs = readShareLeaseMs(options.bounds);
    }

    /** Leases a VM's share, or renews its lease. */
    lease(vm: string, now: number): void {
        this.advance(now);
        this.leases.set(vm, now + this.leaseMs);
        this.updateShare(now);
    }

    /** Ends the lease of a VM's share. */
    release(vm: string, now: number): void {
        this.advance(now);
        this.leases.delete(vm);
        this.updateShare(now);
    }

    /** Part of all shares that the coordinator holds, from 0 to 1. */
    readShare(now: number): number {
        let held = 0;
        for (const until of this.leases.values()) {
            held += until > now ? 1 : 0;
        }
        return Math.min(1, held / Math.max(1, this.options.countVms()));
    }

    /** Deducts a request's cost from the balance of its quota, if the balance allows it. */
    claim(key: string, limit: QuotaLimit, cost: number, now: number): QuotaVerdict {
        const balance = this.update(key, limit, now);
        const overdraft = this.readOverdraft(limit, now);
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
        balance.deferredCost += cost;
        const missing = balance.deferredCost - balance.amount - overdraft;
        const waitMs = Math.min(Math.max(0, missing) / limit.perSecond * 1000, maxWaitMs);
        return { kind: "refused", balance: balance.amount, waitMs };
    }

    /**
     * Expected time until the balance covers a cost, in milliseconds; infinite if the coordinator holds too few shares
     * for any claim.
     */
    readWaitMs(key: string, limit: QuotaLimit, cost: number, now: number): number {
        const balance = this.update(key, limit, now);
        const share = this.readShare(now);
        const canGrant = readCapacity(limit, share) >= (limit.claimCost ?? 0) && share > 0;
        const missing = cost - balance.amount - this.readOverdraft(limit, now);
        return canGrant ? Math.max(0, missing) / (limit.perSecond * share) * 1000 : Infinity;
    }

    /** Refunds the cost of a request that was granted but has not run. */
    addBack(key: string, cost: number): void {
        const balance = this.balances.get(key);
        if (balance !== undefined) {
            balance.amount = Math.min(readCapacity(balance.limit, this.boundShare), balance.amount + cost);
        }
    }

    /** Removes the balances of quotas that no longer exist. */
    removeBalances(isGone: (key: string) => boolean): void {
        for (const key of this.balances.keys()) {
            if (isGone(key)) {
                this.balances.delete(key);
            }
        }
    }

    /** Amount by which the coordinator may overdraw a balance: its share of a part of the operator's tolerance. */
    private readOverdraft({ perSecond, burst, claimCost }: QuotaLimit, now: number): number {
        if (claimCost !== undefined) {
            return 0;
        }
        const { windowMs, overage, slack } = this.options.bounds;
        const tolerance = (perSecond * windowMs / 1000 + burst) * overage + slack;
        return tolerance * overdraftShare * this.readShare(now);
    }

    /** Whether the coordinator has held nearly all shares for the time in which a used-up burst refills. */
    private isCertain({ perSecond, burst }: QuotaLimit): boolean {
        return this.certainSince !== undefined && this.filledSeconds - this.certainSince >= burst / perSecond;
    }

    /**
     * Fills the time since the last call with the shares that are still held: a share whose lease has expired since may
     * have been leased to another coordinator at any moment of that time.
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
        if (share < minCertainShare) {
            this.certainSince = undefined;
        }
        else {
            this.certainSince ??= this.filledSeconds;
        }
        if (share > this.boundShare) {
            this.boundShare = share;
        }
        else if (share < this.boundShare - boundUpdateStep) {
            this.updateBound(share);
        }
    }

    /** Limits balances, so that shares that VMs lease elsewhere do not still count here when those VMs return. */
    private updateBound(share: number): void {
        this.boundShare = share;
        this.newBalancesFilledAt = this.filledSeconds;
        for (const balance of this.balances.values()) {
            balance.amount = Math.min(balance.amount, readCapacity(balance.limit, share));
        }
    }

    /** Updates the balance of a quota to the current time. */
    private update(key: string, limit: QuotaLimit, now: number): Balance {
        this.advance(now);
        const known = this.balances.get(key);
        const balance = known ?? { amount: 0, filledAt: this.newBalancesFilledAt, limit, deferredCost: 0 };
        const filled = (this.filledSeconds - balance.filledAt) * limit.perSecond;
        balance.amount = Math.min(readCapacity(limit, this.readShare(now)), balance.amount + filled);
        balance.deferredCost = Math.max(0, balance.deferredCost - filled);
        balance.filledAt = this.filledSeconds;
        balance.limit = limit;
        this.balances.set(key, balance);
        return balance;
    }
}

/** Largest balance of a coordinator that holds a part of all shares. */
function readCapacity({ burst, claimCost = 0 }: QuotaLimit, share: number): number {
    return burst * share + claimCost * Math.min(1, share * maxSavingParts);
}
