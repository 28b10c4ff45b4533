import { build, type Histogram } from "hdr-histogram-js";

/** Results of one class of requests. Times in milliseconds, from the scheduled time of a request. */
export interface ClassResult {
    readonly sent: number;
    readonly complete: number;
    /** Failed requests by problem reason, HTTP status, `truncated`, code of the connection error, or `broken`. */
    readonly failures: Record<string, number>;
    readonly firstByte: Percentiles;
    readonly whole: Percentiles;
}

/** Percentiles of one measure, in milliseconds. */
export interface Percentiles {
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
    readonly max: number;
}

/** Results of one second of a run, for plots. */
export interface SecondResult {
    readonly second: number;
    readonly complete: number;
    readonly failed: number;
    readonly firstByteP95: number;
}

/** Result of a run. */
export interface LoadResult {
    readonly durationSeconds: number;
    readonly bytes: number;
    readonly events: number;
    readonly paying: ClassResult;
    readonly trial: ClassResult;
    readonly seconds: readonly SecondResult[];
}

/** Histograms record whole microseconds. */
const microsecondsPerMs = 1000;

function createHistogram(): Histogram {
    return build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 3_600_000 * microsecondsPerMs,
        numberOfSignificantValueDigits: 3,
    });
}

function readPercentiles(histogram: Histogram): Percentiles {
    const read = (percentile: number): number => histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
    return { p50: read(50), p95: read(95), p99: read(99), max: histogram.maxValue / microsecondsPerMs };
}

/** Collects the results of one class of requests. */
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
        this.firstByte.recordValue(Math.round(firstByteMs * microsecondsPerMs));
        this.whole.recordValue(Math.round(wholeMs * microsecondsPerMs));
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

/** Collects results for each second of a run, by the scheduled time of the requests. */
export class SecondRecorder {
    private readonly seconds: { complete: number; failed: number; firstByte: Histogram; }[] = [];

    recordComplete(atMs: number, firstByteMs: number): void {
        const second = this.findSecond(atMs);
        second.complete++;
        second.firstByte.recordValue(Math.round(firstByteMs * microsecondsPerMs));
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
