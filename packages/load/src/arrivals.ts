import prand from "pure-rand";
import type { LoadOptions } from "./options.js";

/** A scheduled request. It is sent at its time, whether or not earlier requests have finished. */
export interface Arrival {
    /** Time since the start of the run, in milliseconds. */
    readonly at: number;
    readonly accountClass: "paying" | "trial";
    readonly kind: "completion" | "once";
    readonly model: string;
    readonly isStream: boolean;
}

const randomRange = 0x4000_0000;

/**
 * Generates all arrivals of a run: a Poisson process for each class, models with a Zipf distribution. Equal options
 * give equal arrivals.
 */
export function createArrivals(options: LoadOptions): Arrival[] {
    const generator = prand.xoroshiro128plus(options.seed);
    const readRandomFraction = (): number =>
        prand.unsafeUniformIntDistribution(0, randomRange - 1, generator) / randomRange;
    const weights = options.models.map((_model, rank) => 1 / (rank + 1) ** options.zipf);
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    const chooseRank = (): number => {
        let remaining = readRandomFraction() * total;
        return Math.max(0, weights.findIndex(weight => (remaining -= weight) < 0));
    };
    const arrivals: Arrival[] = [];
    for (const accountClass of ["paying", "trial"] as const) {
        const rate = accountClass === "paying" ? options.payingRate : options.trialRate;
        for (let at = 0; rate > 0;) {
            at += -1000 * options.burst / rate * Math.log(1 - readRandomFraction());
            if (at >= options.durationSeconds * 1000) {
                break;
            }
            const epoch = options.shiftSeconds === undefined ? 0 : Math.floor(at / 1000 / options.shiftSeconds);
            for (let index = 0; index < options.burst; index++) {
                const rank = (chooseRank() + epoch * 7919) % options.models.length;
                const kind = readRandomFraction() < options.onceShare && options.onceCall !== undefined
                    ? "once"
                    : "completion";
                arrivals.push({
                    at,
                    accountClass,
                    kind,
                    model: options.models[rank]!,
                    isStream: readRandomFraction() < options.streamShare,
                });
            }
        }
    }
    return arrivals.sort((left, right) => left.at - right.at);
}
