import type { Performance } from "node:perf_hooks";
import type { DecisionLog } from "./decisions.js";
import type { CallerExchange } from "./requests/caller.js";

/** Timers that come later than this are told, in milliseconds: a request of the shortest aim has lost most of it then. */
const tellLagMs = 100;

/** How often lateness is told at most, and what a VM does at least, in milliseconds. */
const tellPauseMs = 5000;

/** Options of {@link PressureWatch}. */
export interface PressureWatchOptions {
    readonly log: DecisionLog;
    readonly readTime: () => number;
    /** Processor time used since the start, in milliseconds. @default that of this process */
    readonly readProcessorMs?: () => number;
    /** How often the process was woken since the start. @default that of this process */
    readonly countWakes?: () => number;
    /** Time between two checks, in milliseconds. */
    readonly intervalMs: number;
    readonly onLag: (ms: number) => void;
}

/**
 * Watches whether this VM keeps up: how late the timer of regular checks comes. When it comes too late, and every 5 s, it tells
 * what the VM did since it last told: processor time, wakes, and work by kind. The lines of a process add up to all it did.
 */
export class PressureWatch {
    private readonly readProcessorMs: () => number;
    private readonly countWakes: () => number;
    private readonly counts = new Map<string, number>();
    private checkedAt: number;
    private toldAt: number;
    private pressedAt: number;
    private toldProcessorMs: number;
    private toldWakes: number;

    constructor(private readonly options: PressureWatchOptions) {
        this.readProcessorMs = options.readProcessorMs ?? readProcessorMs;
        this.countWakes = options.countWakes ?? countWakes;
        this.checkedAt = options.readTime();
        this.toldAt = this.checkedAt;
        this.pressedAt = this.checkedAt;
        // What a process needs to start counts as well.
        this.toldProcessorMs = 0;
        this.toldWakes = 0;
    }

    /** Counts something that takes processor time. */
    recordWork(kind: string, count = 1): void {
        this.counts.set(kind, (this.counts.get(kind) ?? 0) + count);
    }

    /** Counts what a caller was sent of an upstream's answer. */
    recordAnswer({ partsPassed, bytesPassed }: CallerExchange): void {
        this.recordWork("parts passed", partsPassed);
        this.recordWork("bytes passed", bytesPassed);
    }

    /** Is called by the timer of regular checks. */
    check(): void {
        const { readTime, intervalMs, onLag } = this.options;
        const now = readTime();
        const lagMs = Math.max(0, now - this.checkedAt - intervalMs);
        this.checkedAt = now;
        onLag(lagMs);
        if (lagMs > tellLagMs && now - this.pressedAt >= tellPauseMs) {
            this.pressedAt = now;
            this.recordLine("pressed", now, lagMs);
        }
        else if (now - this.toldAt >= tellPauseMs) {
            this.recordLine("work", now, lagMs);
        }
    }

    private recordLine(event: string, now: number, lagMs: number): void {
        const processorMs = this.readProcessorMs();
        const wakes = this.countWakes();
        this.options.log.recordImportant(event, {
            lagMs: Math.round(lagMs),
            sinceMs: Math.round(now - this.toldAt),
            processorMs: Math.round(processorMs - this.toldProcessorMs),
            wakes: wakes - this.toldWakes,
            work: Object.fromEntries(this.counts),
        });
        this.toldAt = now;
        this.toldProcessorMs = processorMs;
        this.toldWakes = wakes;
        this.counts.clear();
    }
}

function readProcessorMs(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1000;
}

/** Turns of the event loop. The module of this object is not loaded for it, which each start would pay for. */
function countWakes(): number {
    return (performance as unknown as Performance).nodeTiming.uvMetricsInfo.loopCount;
}
