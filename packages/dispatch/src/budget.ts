/** Retries that are allowed before any success, and the most that are saved up. */
const initialRetries = 10;
const maxRetries = 50;

/** Lets retries be only a share of recent successes, so that they never multiply an overload. */
export class RetryBudget {
    private available = initialRetries;

    constructor(private readonly share: number) {}

    recordSuccess(): void {
        this.available = Math.min(this.available + this.share, maxRetries);
    }

    /** Takes one retry if there is one. */
    claim(): boolean {
        if (this.available < 1) {
            return false;
        }
        this.available--;
        return true;
    }
}
