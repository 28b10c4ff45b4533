import type { AccountClass } from "@radishreel/dispatch";
import { RandomSource, ZipfSource } from "./random.js";

/** One request of a trace. Times are in milliseconds of virtual time. */
export interface TraceRequest {
    readonly id: string;
    readonly model: string;
    readonly account: string;
    readonly accountClass: AccountClass;
    readonly arrivedAt: number;
    readonly deadlineAt: number;
    readonly tokens: number;
}

/** A fault that is injected during a trace. */
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
    /** Paying requests per second at level 1. */
    readonly payingRate: number;
    readonly trialRate: number;
    readonly accounts: number;
    readonly deadlineMs: number;
    readonly meanTokens: number;
    /** Times at which the popularity of the adapters is reassigned. */
    readonly shiftsAt?: readonly number[];
    /** Returns the factor on both rates at a time. @default always 1 */
    readonly readLevel?: (at: number) => number;
    /** Returns the additional factor on the trial rate at a time. @default always 1 */
    readonly readTrialLevel?: (at: number) => number;
}

/** Creates a random trace. Equal options produce equal traces. */
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
    accountClass: AccountClass,
    rate: number,
    random: RandomSource,
): TraceRequest[] {
    const { durationMs, adapters, zipf, accounts, deadlineMs, meanTokens, shiftsAt = [] } = options;
    const source = new ZipfSource(adapters, zipf);
    const requests: TraceRequest[] = [];
    let at = 0;
    while (rate > 0 && at < durationMs) {
        const level = (options.readLevel?.(at) ?? 1)
            * (accountClass === "trial" ? options.readTrialLevel?.(at) ?? 1 : 1);
        at += random.readExponential(1000 / (rate * level));
        const rank = source.readRank(random);
        const epoch = shiftsAt.filter(shift => shift <= at).length;
        requests.push({
            id: `${accountClass}-${requests.length}`,
            // Each epoch maps the ranks to the adapters differently.
            model: `adapter-${(rank * (2 * epoch + 1) * 7919 + epoch * 1301) % adapters}@1`,
            account: `${accountClass}-customer-${random.readIndex(accounts)}`,
            accountClass,
            arrivedAt: at,
            deadlineAt: at + deadlineMs,
            tokens: Math.max(1, Math.round(meanTokens * (0.5 + random.readUnit()))),
        });
    }
    return requests;
}
