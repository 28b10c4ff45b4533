/** Most lines a second that are written in full; a burst may use what earlier seconds left. */
const linesPerSecond = 60;
const maxBurst = 240;

/** Most bytes that wait for a reader of the output before lines are dropped. */
const maxBufferedBytes = 256 * 1024;

/** How often dropped lines are told, in milliseconds. */
const droppedReportMs = 5000;

/** A line that matters more than its number: failures, refusals, changes of state. */
export type DecisionLevel = "info" | "important";

/** Where lines go. */
export interface LineSink {
    readonly writableLength: number;
    write(text: string): boolean;
}

/** Options of {@link DecisionLog}. */
export interface DecisionLogOptions {
    readonly program: string;
    readonly vm: string;
    readonly sink: LineSink;
    readonly readTime: () => number;
}

/**
 * Writes one JSON line for each decision. Its volume is bounded, and it never waits: what exceeds the budget, or what a
 * reader that does not read leaves no room for, is dropped and counted by event.
 */
export class DecisionLog {
    private tokens = maxBurst;
    private refilledAt: number;
    private readonly dropped = new Map<string, number>();
    private toldAt: number;

    constructor(private readonly options: DecisionLogOptions) {
        this.refilledAt = options.readTime();
        this.toldAt = this.refilledAt;
    }

    /** Writes a line that may be dropped under load. */
    record(event: string, fields: object): void {
        this.write("info", event, fields);
    }

    /** Writes a line that is dropped only if nobody reads the output. */
    recordImportant(event: string, fields: object): void {
        this.write("important", event, fields);
    }

    private write(level: DecisionLevel, event: string, fields: object): void {
        const now = this.options.readTime();
        this.advanceBudget(now);
        const isOverBudget = level === "info" && this.tokens < 1;
        if (isOverBudget || this.options.sink.writableLength > maxBufferedBytes) {
            this.dropped.set(event, (this.dropped.get(event) ?? 0) + 1);
            return;
        }
        this.tokens -= 1;
        this.writeLine(event, fields);
        if (this.dropped.size > 0 && now - this.toldAt > droppedReportMs) {
            this.toldAt = now;
            this.writeLine("linesDropped", { counts: Object.fromEntries(this.dropped) });
            this.dropped.clear();
        }
    }

    private writeLine(event: string, fields: object): void {
        const { program, vm, sink } = this.options;
        sink.write(JSON.stringify({ at: new Date().toISOString(), program, vm, event, ...fields }) + "\n");
    }

    private advanceBudget(now: number): void {
        const seconds = Math.max(0, now - this.refilledAt) / 1000;
        this.tokens = Math.min(maxBurst, this.tokens + seconds * linesPerSecond);
        this.refilledAt = now;
    }
}
