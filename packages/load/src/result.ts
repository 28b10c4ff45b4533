import { build, type Histogram } from "hdr-histogram-js";

/** Figures of one class. Times in milliseconds, counted from when a request should have been sent. */
export interface ClassResult {
    readonly sent: number;
    readonly complete: number;
    /** Answers by problem reason, or by status, or `broken`. */
    readonly failures: Record<string, number>;
    readonly firstByte: Percentiles;
    readonly whole: Percentiles;
}

/** Percentiles of one measure. */
export interface Percentiles {
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
    readonly max: number;
}

/** One second of a run, for plots. */
export interface SecondResult {
    readonly second: number;
    readonly complete: number;
    readonly failed: number;
    readonly firstByteP95: number;
}

/** What a run writes. */
export interface LoadResult {
    readonly durationSeconds: number;
    readonly bytes: number;
    readonly events: number;
    readonly paying: ClassResult;
    readonly trial: ClassResult;
    readonly seconds: readonly SecondResult[];
}

/** Microseconds in a millisecond: histograms hold whole microseconds. */
const scale = 1000;

function createHistogram(): Histogram {
    return build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 3_600_000 * scale,
        numberOfSignificantValueDigits: 3,
    });
}

function readPercentiles(histogram: Histogram): Percentiles {
    const read = (percentile: number): number => histogram.getValueAtPercentile(percentile) / scale;
    return { p50: read(50), p95: read(95), p99: read(99), max: histogram.maxValue / scale };
}

/** Collects one class's requests. */
export class ClassRecorder {
    private sent = 0;
    private complete = 0;
    private readonly failures: Record<string, number> = {};
    private readonly firstByte = createHistogram();
    private readonly whole = createHistogram();

    recordSent(): void {
        this.sent++;
    }

    recordComplete(firstByteMs: number, wholeMs: number): void {
        this.complete++;
        this.firstByte.recordValue(Math.round(firstByteMs * scale));
        this.whole.recordValue(Math.round(wholeMs * scale));
    }

    recordFailure(reason: string): void {
        this.failures[reason] = (this.failures[reason] ?? 0) + 1;
    }

    readResult(): ClassResult {
        return {
            sent: this.sent,
            complete: this.complete,
            failures: this.failures,
            firstByte: readPercentiles(this.firstByte),
            whole: readPercentiles(this.whole),
        };
    }
}

/** Collects figures second by second. */
export class SecondRecorder {
    private readonly seconds: { complete: number; failed: number; firstByte: Histogram; }[] = [];

    recordComplete(atMs: number, firstByteMs: number): void {
        const second = this.findSecond(atMs);
        second.complete++;
        second.firstByte.recordValue(Math.round(firstByteMs * scale));
    }

    recordFailure(atMs: number): void {
        this.findSecond(atMs).failed++;
    }

    readResult(): SecondResult[] {
        return Array.from(this.seconds, (entry, second) => ({
            second,
            complete: entry?.complete ?? 0,
            failed: entry?.failed ?? 0,
            firstByteP95: entry === undefined ? 0 : readPercentiles(entry.firstByte).p95,
        }));
    }

    private findSecond(atMs: number) {
        return this.seconds[Math.floor(atMs / 1000)] ??= { complete: 0, failed: 0, firstByte: createHistogram() };
    }
}
