import prand from "pure-rand";
import type { LoadOptions } from "./options.js";

/** One request that will be sent at its time, whether or not those before it were answered. */
export interface Arrival {
    /** Milliseconds from the start. */
    readonly at: number;
    readonly customerClass: "paying" | "trial";
    readonly kind: "completion" | "once";
    readonly model: string;
    readonly isStream: boolean;
}

const scale = 0x4000_0000;

/** Draws every arrival of a run: Poisson in time, Zipf over models. Equal options give equal arrivals. */
export function createArrivals(options: LoadOptions): Arrival[] {
    const generator = prand.xoroshiro128plus(options.seed);
    const readUnit = (): number => prand.unsafeUniformIntDistribution(0, scale - 1, generator) / scale;
    const weights = options.models.map((_model, rank) => 1 / (rank + 1) ** options.zipf);
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    const chooseRank = (): number => {
        let left = readUnit() * total;
        return Math.max(0, weights.findIndex(weight => (left -= weight) < 0));
    };
    const arrivals: Arrival[] = [];
    for (const customerClass of ["paying", "trial"] as const) {
        const rate = customerClass === "paying" ? options.payingRate : options.trialRate;
        for (let at = 0; rate > 0;) {
            at += -1000 * options.burst / rate * Math.log(1 - readUnit());
            if (at >= options.durationSeconds * 1000) {
                break;
            }
            const epoch = options.shiftSeconds === undefined ? 0 : Math.floor(at / 1000 / options.shiftSeconds);
            for (let index = 0; index < options.burst; index++) {
                const rank = (chooseRank() + epoch * 7919) % options.models.length;
                const kind = readUnit() < options.onceShare && options.onceCall !== undefined ? "once" : "completion";
                arrivals.push({
                    at,
                    customerClass,
                    kind,
                    model: options.models[rank]!,
                    isStream: readUnit() < options.streamShare,
                });
            }
        }
    }
    return arrivals.sort((left, right) => left.at - right.at);
}
