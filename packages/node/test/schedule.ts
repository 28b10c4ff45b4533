/** Simulated time with scheduled callbacks. */
export class Schedule {
    now = 0;
    private readonly runs: { readonly at: number; readonly run: () => void; }[] = [];

    add(waitMs: number, run: () => void): void {
        const at = this.now + waitMs;
        // The next callback to run is last in the list; callbacks due at the same time run in the order in which
        // they were added.
        let [low, high] = [0, this.runs.length];
        while (low < high) {
            const middle = (low + high) >> 1;
            [low, high] = this.runs[middle]!.at > at ? [middle + 1, high] : [low, middle];
        }
        this.runs.splice(low, 0, { at, run });
    }

    /** Advances time, and after each callback lets pending promises continue. */
    async advance(ms: number): Promise<void> {
        const until = this.now + ms;
        while (this.runs.length > 0 && this.runs.at(-1)!.at <= until) {
            const { at, run } = this.runs.pop()!;
            this.now = at;
            run();
            // Code that awaits a promise continues before time advances.
            await new Promise<void>(resolve => setImmediate(resolve));
        }
        this.now = until;
    }

    /** Advances time synchronously, for callbacks that await no promise. */
    run(ms: number): void {
        const until = this.now + ms;
        while (this.runs.length > 0 && this.runs.at(-1)!.at <= until) {
            const { at, run } = this.runs.pop()!;
            this.now = at;
            run();
        }
        this.now = until;
    }
}
