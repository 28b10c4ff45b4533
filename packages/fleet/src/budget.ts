/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
    /** Repeated sends allowed for each request, over all VMs. */
    readonly ratio: number;
    /** Further repeated sends allowed in one window, over all VMs together. */
    readonly slack: number;
    readonly windowMs: number;
}

/**
 * Part of the shared ratio that is used. The rest covers requests counted in another window than their repeats.
 * A tenth is the share of a 10 s window that one second of clock difference between VMs moves.
 */
const ratioUsed = 0.9;

/**
 * One VM's share of a retry budget that all VMs of a deployment keep together without talking to each other: repeats in
 * any window stay under `ratio` times this VM's own requests plus its part of the slack. The sum over VMs keeps the whole.
 */
export class RetryBudget {
    private readonly requests: number[] = [];
    private readonly repeats: number[] = [];

    constructor(private readonly options: RetryBudgetOptions) {}

    /** Counts one request of a caller. */
    recordRequest(now: number): void {
        this.requests.push(now);
        this.expireOld(now);
    }

    /**
     * Takes one repeated send out of the budget, if there is room.
     * @param vmCount Most VMs that may be sending in this window.
     */
    claimRepeat(now: number, vmCount: number): boolean {
        this.expireOld(now);
        if (this.repeats.length + 1 > this.countAllowed(vmCount)) {
            return false;
        }
        this.repeats.push(now);
        return true;
    }

    private countAllowed(vmCount: number): number {
        const { ratio, slack } = this.options;
        return ratio * ratioUsed * this.requests.length + slack / Math.max(1, vmCount);
    }

    private expireOld(now: number): void {
        const from = now - this.options.windowMs;
        while (this.requests[0] !== undefined && this.requests[0] < from) {
            this.requests.shift();
        }
        while (this.repeats[0] !== undefined && this.repeats[0] < from) {
            this.repeats.shift();
        }
    }
}
