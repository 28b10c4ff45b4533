/**
 * Calls all links of a process to look at their heartbeats and at silence, by one timer: with a timer for each link a VM
 * with many links is woken for each of them.
 */
export class LinkTicker {
    private readonly checks = new Set<() => void>();
    private timer: NodeJS.Timeout | undefined;

    /** @param intervalMs Time between two calls, in milliseconds. */
    constructor(readonly intervalMs: number) {}

    add(check: () => void): void {
        this.checks.add(check);
        if (this.timer === undefined) {
            this.timer = setInterval(() => this.runChecks(), this.intervalMs);
            this.timer.unref();
        }
    }

    remove(check: () => void): void {
        this.checks.delete(check);
        if (this.checks.size === 0) {
            clearInterval(this.timer);
            this.timer = undefined;
        }
    }

    private runChecks(): void {
        for (const check of [...this.checks]) {
            check();
        }
    }
}
