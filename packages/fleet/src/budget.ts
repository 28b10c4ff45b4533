/** Limits of the retries to one service over all VMs. */
export interface RetryLimits {
    /** Retries allowed for each request, over all VMs. */
    readonly ratio: number;
    /** Further retries allowed in one window, over all VMs together. */
    readonly slack: number;
    readonly windowMs: number;
}

/** What a retry budget holds, for logs. */
export interface RetryBudgetState {
    /** Requests of this process in the window. */
    readonly requests: number;
    /** Retries whose arrival is not confirmed yet. */
    readonly pending: number;
    /** Retries that may be claimed now from the credit that requests have earned, and from this VM's part of the slack. */
    readonly credit: number;
    readonly slack: number;
}

/** A retry that was taken from a budget. Only the first call of its functions has an effect. */
export interface RetryClaim {
    /** Records that the retry has arrived, or can no longer arrive. */
    confirm(now: number): void;
    /** Returns a retry that was not sent. */
    cancel(): void;
}

/**
 * Part of the shared ratio that VMs use. The rest covers requests that are counted in another window than their
 * retries: a clock difference of 1 s between VMs moves a tenth of a 10 s window.
 */
const usableRatioShare = 0.9;

/** Part of the ratio that can be saved for a burst of retries. Requests earn the rest, whatever was spent before. */
const savableShare = 0.5;

/**
 * Part of the slack that VMs use. The rest covers VMs that do not know of each other, up to half as many as those that
 * do, and retries of killed processes that arrive late.
 */
const usableSlackShare = 2 / 3;

/** Minimum number of VMs among which the slack is divided. */
const minAssumedVms = 4;

/** Deviation up to which sums of fractions count as equal. */
const roundingError = 1e-9;

/** Slack that was used, until the end of the window that began with the arrival of the retry. */
interface UsedSlack {
    readonly amount: number;
    until: number;
}

/**
 * One process's part of a retry budget that all processes of a deployment keep together without exchanging messages.
 *
 * Each request earns credit, and the credit that is saved is limited by the requests of the last window. In any window
 * the retries of all processes are thus at most what was saved before it, which the requests of the window before it
 * cover, and what was earned within it, whichever processes end or start. A process that starts has saved nothing. Its
 * part of the slack becomes available after a window, when the slack that an earlier process of its VM used has expired.
 * A retry counts as both spent and saved until its arrival is confirmed, since it may arrive in a later window.
 */
export class RetryBudget {
    private readonly requests: number[] = [];
    private usedSlack: UsedSlack[] = [];
    private credit = 0;
    private pendingCredit = 0;
    private pendingCount = 0;

    /** @param readSlackShare Reads this VM's part of the slack at a time, in retries. */
    constructor(
        private readonly limits: RetryLimits,
        private readonly readSlackShare: (now: number) => number,
    ) {}

    /** Counts a caller's request. */
    recordRequest(now: number): void {
        this.advance(now);
        this.requests.push(now);
        this.credit += this.usableRatio * (1 - savableShare);
        this.updateCredit();
    }

    /**
     * Takes one retry from the budget; undefined if the budget does not allow it.
     * @param reserveShare Share of this VM's part of the slack that has to be left. @default 0
     */
    claimRetry(now: number, reserveShare = 0): RetryClaim | undefined {
        this.advance(now);
        const reserve = this.readSlackShare(now) * reserveShare;
        if (this.credit + this.readSlack(now) - 1 < reserve - roundingError) {
            return undefined;
        }
        const credit = Math.min(1, this.credit);
        const slack = { amount: 1 - credit, until: Infinity };
        this.credit -= credit;
        this.pendingCredit += credit;
        this.pendingCount += 1;
        if (slack.amount > 0) {
            this.usedSlack.push(slack);
        }
        return this.createClaim(credit, slack);
    }

    /** Reads what the budget holds, for logs. */
    explain(now: number): RetryBudgetState {
        this.advance(now);
        return {
            requests: this.requests.length,
            pending: this.pendingCount,
            credit: this.credit,
            slack: this.readSlack(now),
        };
    }

    private get usableRatio(): number {
        return this.limits.ratio * usableRatioShare;
    }

    private createClaim(credit: number, slack: UsedSlack): RetryClaim {
        let isPending = true;
        const finish = (returned: number, slackUntil: number): void => {
            if (!isPending) {
                return;
            }
            isPending = false;
            this.pendingCredit -= credit;
            this.pendingCount -= 1;
            this.credit += returned;
            this.updateCredit();
            slack.until = slackUntil;
        };
        return {
            confirm: now => finish(0, now + this.limits.windowMs),
            cancel: () => finish(credit, -Infinity),
        };
    }

    private readSlack(now: number): number {
        const used = this.usedSlack.reduce((sum, { amount }) => sum + amount, 0);
        return Math.max(0, this.readSlackShare(now) - used);
    }

    private advance(now: number): void {
        const from = now - this.limits.windowMs;
        while (this.requests[0] !== undefined && this.requests[0] < from) {
            this.requests.shift();
        }
        this.usedSlack = this.usedSlack.filter(({ until }) => until > now);
        this.updateCredit();
    }

    /** Limits the saved credit to what the requests of the window allow. */
    private updateCredit(): void {
        const limit = this.usableRatio * savableShare * this.requests.length;
        this.credit = Math.max(0, Math.min(this.credit, limit - this.pendingCredit));
    }
}

/** Options of {@link RetryBudgets}. */
export interface RetryBudgetsOptions extends RetryLimits {
    /** Counts the VMs that this process knows, its own included. */
    readonly countVms: () => number;
}

/** Holds one retry budget per service. */
export class RetryBudgets {
    private readonly budgets = new Map<string, RetryBudget>();
    private membersReadAt = Infinity;

    constructor(private readonly options: RetryBudgetsOptions) {}

    /** Records that this process has read the list of all VMs. Before that, it has no part of the slack. */
    recordMembersRead(now: number): void {
        this.membersReadAt = Math.min(this.membersReadAt, now);
    }

    /** Returns the budget of a service, which is created on first use. */
    read(service: string): RetryBudget {
        const budget = this.budgets.get(service) ?? new RetryBudget(this.options, now => this.readSlackShare(now));
        this.budgets.set(service, budget);
        return budget;
    }

    /**
     * Reads this VM's part of the slack, in retries. The part is withheld for one window: meanwhile the other VMs learn
     * of a new VM, and the slack expires that an earlier process of the same VM used.
     */
    private readSlackShare(now: number): number {
        const { slack, windowMs, countVms } = this.options;
        if (now - this.membersReadAt < windowMs) {
            return 0;
        }
        return slack * usableSlackShare / Math.max(minAssumedVms, countVms());
    }
}
