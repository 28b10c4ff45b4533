import type { CustomerClass } from "@radishreel/dispatch";
import { RandomSource, ZipfSource } from "./random.js";

/** One request of a trace. Times are virtual, in milliseconds. */
export interface TraceRequest {
    readonly id: string;
    readonly model: string;
    readonly customer: string;
    readonly customerClass: CustomerClass;
    readonly arrivedAt: number;
    readonly deadlineAt: number;
    readonly tokens: number;
}

/** Something that goes wrong in a trace. */
export interface TraceFault {
    readonly at: number;
    readonly kind: "restartEngine";
    readonly engine: number;
}

/** Options of {@link createTrace}. */
export interface TraceOptions {
    readonly seed: number;
    readonly durationMs: number;
    readonly adapters: number;
    readonly zipf: number;
    /** Paying requests a second, over the whole trace. */
    readonly payingRate: number;
    readonly trialRate: number;
    readonly customers: number;
    readonly deadlineMs: number;
    readonly meanTokens: number;
    /** Moments at which popularity is drawn anew. */
    readonly shiftsAt?: readonly number[];
    /** Factor on both rates at a time. @default 1 throughout */
    readonly readLevel?: (at: number) => number;
    /** Factor on the trial rate at a time. @default 1 throughout */
    readonly readTrialLevel?: (at: number) => number;
}

/** Draws a trace. Equal options give equal traces. */
export function createTrace(options: TraceOptions): TraceRequest[] {
    const { seed, durationMs, payingRate, trialRate } = options;
    const requests = [
        ...createClass(options, "paying", payingRate, new RandomSource(seed)),
        ...createClass(options, "trial", trialRate, new RandomSource(seed + 1)),
    ];
    requests.sort((left, right) => left.arrivedAt - right.arrivedAt);
    return requests.filter(request => request.arrivedAt < durationMs);
}

function createClass(
    options: TraceOptions,
    customerClass: CustomerClass,
    rate: number,
    random: RandomSource,
): TraceRequest[] {
    const { durationMs, adapters, zipf, customers, deadlineMs, meanTokens, shiftsAt = [] } = options;
    const source = new ZipfSource(adapters, zipf);
    const requests: TraceRequest[] = [];
    let at = 0;
    while (rate > 0 && at < durationMs) {
        const level = (options.readLevel?.(at) ?? 1)
            * (customerClass === "trial" ? options.readTrialLevel?.(at) ?? 1 : 1);
        at += random.readExponential(1000 / (rate * level));
        const rank = source.readRank(random);
        const epoch = shiftsAt.filter(shift => shift <= at).length;
        requests.push({
            id: `${customerClass}-${requests.length}`,
            // Another epoch gives each rank another adapter.
            model: `adapter-${(rank * (2 * epoch + 1) * 7919 + epoch * 1301) % adapters}@1`,
            customer: `${customerClass}-customer-${random.readIndex(customers)}`,
            customerClass,
            arrivedAt: at,
            deadlineAt: at + deadlineMs,
            tokens: Math.max(1, Math.round(meanTokens * (0.5 + random.readUnit()))),
        });
    }
    return requests;
}
