/** Line budget of the log, in lines per second. Unused budget adds up to a burst of `maxBurstLines`. */
const maxLinesPerSecond = 60;
const maxBurstLines = 240;

/** Lines are dropped once this many bytes are buffered for the reader of the output. */
const maxBufferedBytes = 256 * 1024;

/** Minimum time between two reports of dropped lines, in milliseconds. */
const droppedReportIntervalMs = 5000;

/** Important lines are failures, rejections and changes of state. They are written even without line budget. */
export type DecisionLevel = "info" | "important";

/** Output stream for log lines. */
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
 * Writes one JSON line for each decision. The log never blocks: lines beyond the line budget, and lines that do not fit
 * into the output buffer because its reader is stalled, are dropped and counted by event.
 */
export class DecisionLog {
    private availableLines = maxBurstLines;
    private refilledAt: number;
    private readonly droppedCounts = new Map<string, number>();
    private droppedReportedAt: number;

    constructor(private readonly options: DecisionLogOptions) {
        this.refilledAt = options.readTime();
        this.droppedReportedAt = this.refilledAt;
    }

    /** Writes a line that is dropped when the line budget is used up. */
    record(event: string, fields: object): void {
        this.write("info", event, fields);
    }

    /** Writes a line that is dropped only when the output buffer is full. */
    recordImportant(event: string, fields: object): void {
        this.write("important", event, fields);
    }

    private write(level: DecisionLevel, event: string, fields: object): void {
        const now = this.options.readTime();
        this.advanceBudget(now);
        const isOverBudget = level === "info" && this.availableLines < 1;
        if (isOverBudget || this.options.sink.writableLength > maxBufferedBytes) {
            this.droppedCounts.set(event, (this.droppedCounts.get(event) ?? 0) + 1);
            return;
        }
        this.availableLines -= 1;
        this.writeLine(event, fields);
        if (this.droppedCounts.size > 0 && now - this.droppedReportedAt > droppedReportIntervalMs) {
            this.droppedReportedAt = now;
            this.writeLine("linesDropped", { counts: Object.fromEntries(this.droppedCounts) });
            this.droppedCounts.clear();
        }
    }

    private writeLine(event: string, fields: object): void {
        const { program, vm, sink } = this.options;
        sink.write(JSON.stringify({ at: new Date().toISOString(), program, vm, event, ...fields }) + "\n");
    }

    private advanceBudget(now: number): void {
        const seconds = Math.max(0, now - this.refilledAt) / 1000;
        this.availableLines = Math.min(maxBurstLines, this.availableLines + seconds * maxLinesPerSecond);
        this.refilledAt = now;
    }
}
