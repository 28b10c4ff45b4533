/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
    /** Retries allowed for each request, over all VMs. */
    readonly ratio: number;
    /** Further retries allowed in one window, over all VMs together. */
    readonly slack: number;
    readonly windowMs: number;
}

/** What a retry budget holds, for logs. */
export interface RetryBudgetState {
    /** Requests and retries of this VM in the window. */
    readonly requests: number;
    readonly retries: number;
    /** Retries that this VM may have in the window. */
    readonly allowed: number;
}

/**
 * Part of the shared ratio that VMs use. The rest covers requests that are counted in another window than their
 * retries: a clock difference of 1 s between VMs moves a tenth of a 10 s window.
 */
const usableRatioShare = 0.9;

/**
 * One VM's share of a retry budget that all VMs of a deployment keep together without exchanging messages. The retries
 * of this VM in any window stay under `ratio` times its own requests plus its part of the slack, so that the sum over
 * all VMs stays within the whole budget.
 */
export class RetryBudget {
    private readonly requests: number[] = [];
    private readonly retries: number[] = [];

    constructor(private readonly options: RetryBudgetOptions) {}

    /** Counts a caller's request. */
    recordRequest(now: number): void {
        this.requests.push(now);
        this.expireOld(now);
    }

    /**
     * Takes one retry from the budget.
     * @param vmCount Upper bound of the VMs that send in this window.
     * @returns Whether the budget allows the retry.
     */
    claimRetry(now: number, vmCount: number): boolean {
        this.expireOld(now);
        if (this.retries.length + 1 > this.countAllowed(vmCount)) {
            return false;
        }
        this.retries.push(now);
        return true;
    }

    /** Reads what the budget holds. @param vmCount As for {@link claimRetry}. */
    explain(now: number, vmCount: number): RetryBudgetState {
        this.expireOld(now);
        return {
            requests: this.requests.length,
            retries: this.retries.length,
            allowed: this.countAllowed(vmCount),
        };
    }

    private countAllowed(vmCount: number): number {
        const { ratio, slack } = this.options;
        return ratio * usableRatioShare * this.requests.length + slack / Math.max(1, vmCount);
    }

    private expireOld(now: number): void {
        const from = now - this.options.windowMs;
        while (this.requests[0] !== undefined && this.requests[0] < from) {
            this.requests.shift();
        }
        while (this.retries[0] !== undefined && this.retries[0] < from) {
            this.retries.shift();
        }
    }
}
