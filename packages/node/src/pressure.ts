import type { DecisionLog } from "./decisions.js";

/** Timers that come later than this are told, in milliseconds: a request of the shortest aim has lost most of it then. */
const tellLagMs = 100;

/** How often lateness is told at most, in milliseconds. */
const tellPauseMs = 5000;

/** Options of {@link PressureWatch}. */
export interface PressureWatchOptions {
    readonly log: DecisionLog;
    readonly readTime: () => number;
    /** Processor time used since the start, in milliseconds. */
    readonly readProcessorMs: () => number;
    /** Time between two checks, in milliseconds. */
    readonly intervalMs: number;
    readonly onLag: (ms: number) => void;
}

/**
 * Watches whether this VM keeps up: how late the timer of regular checks comes. When it comes too late, it tells what the VM
 * did since it last told: processor time, choices, and messages between VMs by type.
 */
export class PressureWatch {
    private readonly counts = new Map<string, number>();
    private checkedAt: number;
    private toldAt: number;
    private toldProcessorMs: number;

    constructor(private readonly options: PressureWatchOptions) {
        this.checkedAt = options.readTime();
        this.toldAt = this.checkedAt;
        this.toldProcessorMs = options.readProcessorMs();
    }

    /** Counts something that takes processor time. */
    recordWork(kind: string): void {
        this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
    }

    /** Is called by the timer of regular checks. */
    check(): void {
        const { readTime, intervalMs, onLag } = this.options;
        const now = readTime();
        const lagMs = Math.max(0, now - this.checkedAt - intervalMs);
        this.checkedAt = now;
        onLag(lagMs);
        if (lagMs > tellLagMs && now - this.toldAt >= tellPauseMs) {
            this.recordPressure(now, lagMs);
        }
    }

    private recordPressure(now: number, lagMs: number): void {
        const { log, readProcessorMs } = this.options;
        const processorMs = readProcessorMs();
        const sinceMs = now - this.toldAt;
        log.recordImportant("pressed", {
            lagMs: Math.round(lagMs),
            sinceMs: Math.round(sinceMs),
            processorMs: Math.round(processorMs - this.toldProcessorMs),
            work: Object.fromEntries(this.counts),
        });
        this.toldAt = now;
        this.toldProcessorMs = processorMs;
        this.counts.clear();
    }
}

/** Processor time that this process has used, in milliseconds. */
export function readProcessorMs(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1000;
}
