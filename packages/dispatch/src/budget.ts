/** Retries available before the first success, and the maximum that can accumulate. */
const initialRetries = 10;
const maxRetries = 50;

/** Limits retries to a share of recent successes, so that retries never amplify an overload. */
export class RetryBudget {
    private available = initialRetries;

    constructor(private readonly retriesPerSuccess: number) {}

    recordSuccess(): void {
        this.available = Math.min(this.available + this.retriesPerSuccess, maxRetries);
    }

    /** Takes one retry from the budget. Returns false if none is available. */
    claim(): boolean {
        if (this.available < 1) {
            return false;
        }
        this.available--;
        return true;
    }
}
