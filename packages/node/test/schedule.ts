/** Simulated time, and what happens in it. */
export class Schedule {
    now = 0;
    private readonly runs: { readonly at: number; readonly run: () => void; }[] = [];

    add(waitMs: number, run: () => void): void {
        const at = this.now + waitMs;
        // The next one to run stands last; of those due at the same moment, the first that was added.
        let [low, high] = [0, this.runs.length];
        while (low < high) {
            const middle = (low + high) >> 1;
            [low, high] = this.runs[middle]!.at > at ? [middle + 1, high] : [low, middle];
        }
        this.runs.splice(low, 0, { at, run });
    }

    async advance(ms: number): Promise<void> {
        const until = this.now + ms;
        while (this.runs.length > 0 && this.runs.at(-1)!.at <= until) {
            const { at, run } = this.runs.pop()!;
            this.now = at;
            run();
            // What waits for an answer goes on before time does.
            await new Promise<void>(resolve => setImmediate(resolve));
        }
        this.now = until;
    }

    /** Advances time where nothing that happens waits for a promise. */
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
