/**
 * One timer for the heartbeats and the silence checks of all links of a process. With a timer per link, a VM with many
 * links would wake up once for each of them.
 */
export class LinkTicker {
    private readonly callbacks = new Set<() => void>();
    private timer: NodeJS.Timeout | undefined;

    /** @param intervalMs Time between two calls of a callback, in milliseconds. */
    constructor(readonly intervalMs: number) {}

    add(callback: () => void): void {
        this.callbacks.add(callback);
        if (this.timer === undefined) {
            this.timer = setInterval(() => this.runCallbacks(), this.intervalMs);
            this.timer.unref();
        }
    }

    remove(callback: () => void): void {
        this.callbacks.delete(callback);
        if (this.callbacks.size === 0) {
            clearInterval(this.timer);
            this.timer = undefined;
        }
    }

    private runCallbacks(): void {
        for (const callback of [...this.callbacks]) {
            callback();
        }
    }
}
