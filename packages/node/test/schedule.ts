/** Simulated time, and what happens in it. */
export class Schedule {
    now = 0;
    private readonly runs: { readonly at: number; readonly run: () => void; }[] = [];

    add(waitMs: number, run: () => void): void {
        const at = this.now + waitMs;
        let index = this.runs.length;
        while (index > 0 && this.runs[index - 1]!.at <= at) {
            index -= 1;
        }
        this.runs.splice(index, 0, { at, run });
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
}
