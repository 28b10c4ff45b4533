import type { Performance } from "node:perf_hooks";
import type { DecisionLog } from "./decisions.js";
import type { CallerExchange } from "./requests/caller.js";

/** Timer delay that is logged as overload, in milliseconds: it uses up most of the shortest latency target. */
const overloadLagMs = 100;

/** Minimum time between two overload lines, and maximum time between two lines of any kind, in milliseconds. */
const reportIntervalMs = 5000;

/** Options of {@link OverloadMonitor}. */
export interface OverloadMonitorOptions {
    readonly log: DecisionLog;
    readonly readTime: () => number;
    /** Processor time used since the start, in milliseconds. @default that of this process */
    readonly readProcessorMs?: () => number;
    /** Iterations of the event loop since the start. @default that of this process */
    readonly countLoopIterations?: () => number;
    /** Time between two checks, in milliseconds. */
    readonly intervalMs: number;
    readonly onLag: (ms: number) => void;
}

/**
 * Detects overload of this process by the delay of the housekeeping timer. When the timer is too late, and at least
 * every 5 s, the monitor logs what the process did since its previous line: processor time, iterations of the event
 * loop, and work by kind. The sum over all lines of a process is its total work.
 */
export class OverloadMonitor {
    private readonly readProcessorMs: () => number;
    private readonly countLoopIterations: () => number;
    private readonly counts = new Map<string, number>();
    private checkedAt: number;
    private reportedAt: number;
    private overloadReportedAt: number;
    private newestLagMs = 0;
    private reportedProcessorMs: number;
    private reportedIterations: number;

    constructor(private readonly options: OverloadMonitorOptions) {
        this.readProcessorMs = options.readProcessorMs ?? readProcessorMs;
        this.countLoopIterations = options.countLoopIterations ?? countLoopIterations;
        this.checkedAt = options.readTime();
        this.reportedAt = this.checkedAt;
        this.overloadReportedAt = this.checkedAt;
        // The first line includes the work of starting the process.
        this.reportedProcessorMs = 0;
        this.reportedIterations = 0;
    }

    /** Counts work that takes processor time. */
    recordWork(kind: string, count = 1): void {
        this.counts.set(kind, (this.counts.get(kind) ?? 0) + count);
    }

    /** Counts the parts and bytes of an upstream's response that were sent to the caller. */
    recordResponse({ partsPassed, bytesPassed }: CallerExchange): void {
        this.recordWork("parts passed", partsPassed);
        this.recordWork("bytes passed", bytesPassed);
    }

    /** Returns the delay of the housekeeping timer when it last ran, or of the run that is due, in milliseconds. */
    readLag(): number {
        const { readTime, intervalMs } = this.options;
        return Math.max(this.newestLagMs, readTime() - this.checkedAt - intervalMs);
    }

    /** Called by the housekeeping timer. */
    check(): void {
        const { readTime, intervalMs, onLag } = this.options;
        const now = readTime();
        const lagMs = Math.max(0, now - this.checkedAt - intervalMs);
        this.newestLagMs = lagMs;
        this.checkedAt = now;
        onLag(lagMs);
        if (lagMs > overloadLagMs && now - this.overloadReportedAt >= reportIntervalMs) {
            this.overloadReportedAt = now;
            this.recordLine("pressed", now, lagMs);
        }
        else if (now - this.reportedAt >= reportIntervalMs) {
            this.recordLine("work", now, lagMs);
        }
    }

    private recordLine(event: string, now: number, lagMs: number): void {
        const processorMs = this.readProcessorMs();
        const iterations = this.countLoopIterations();
        this.options.log.recordImportant(event, {
            lagMs: Math.round(lagMs),
            sinceMs: Math.round(now - this.reportedAt),
            processorMs: Math.round(processorMs - this.reportedProcessorMs),
            wakes: iterations - this.reportedIterations,
            work: Object.fromEntries(this.counts),
        });
        this.reportedAt = now;
        this.reportedProcessorMs = processorMs;
        this.reportedIterations = iterations;
        this.counts.clear();
    }
}

function readProcessorMs(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1000;
}

/** Reads the iterations of the event loop from the global `performance`: loading `node:perf_hooks` slows each start. */
function countLoopIterations(): number {
    return (performance as unknown as Performance).nodeTiming.uvMetricsInfo.loopCount;
}
