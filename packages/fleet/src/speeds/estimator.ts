/** Most observations in the window of the lasting estimate: enough for 4% with observations that are off by 20%. */
const windowSize = 40;

/** Fewest observations of an estimate, unless an earlier one is known. */
const minObservations = 12;

/** Standard error of the lasting estimate, as a logarithm, above which it counts as unknown. */
const maxError = 0.08;

/** Ratio of a normal distribution's standard deviation to its median absolute deviation. */
const deviationFactor = 1.4826;

/** Ratio of the standard error of a median to that of a mean. */
const medianErrorFactor = 1.2533;

/** Deviation from the lasting speed, as a logarithm, from which on an observation may belong to a step change. */
const stepDeviation = 0.25;

/**
 * Time and number of deviating observations that show a step change. Transient slowdowns last 600 ms, so
 * that an observation which began this long after the first deviating one ended was not affected by the same slowdown.
 */
const stepMs = 650;
const stepObservations = 6;

/** Observations since a step change that may not deviate, as a share of those that do: outliers. */
const otherShare = 0.25;

/** Observations of the last such time show a transient slowdown, in milliseconds: less than such a slowdown lasts. */
const transientMs = 400;

/** Most observations in the estimate of a transient slowdown. */
const transientObservations = 3;

/** Smallest transient slowdown that counts, and the bound on it. */
const minSlowdown = 1.5;
const maxSlowdown = 4;

/** Bounds of one observation, as factors of the expected speed. */
const minSpeed = 0.05;
const maxSpeed = 20;

/** One observed speed, as a logarithm: factors of 2 and 1/2 then deviate equally. */
interface Observation {
    readonly startedAt: number;
    readonly at: number;
    readonly value: number;
}

/** Options of {@link SpeedEstimator}. */
export interface SpeedEstimatorOptions {
    /** Speed that holds until there are enough observations. @default unknown */
    readonly initial?: number | undefined;
}

/**
 * Estimates the speed of one upstream, as a factor of the expected speed. The lasting estimate is the median of the
 * latest observations, on which a transient slowdown has little effect; a step change that outlasts such slowdowns
 * discards the observations before it. The estimate of a transient slowdown uses the last few observations only.
 */
export class SpeedEstimator {
    private observations: Observation[] = [];
    private lasting: number | undefined;

    constructor({ initial }: SpeedEstimatorOptions = {}) {
        this.lasting = initial === undefined ? undefined : Math.log(initial);
    }

    /**
     * Records one observation.
     * @param speed Expected duration as a factor of the observed duration.
     * @param durationMs The observed duration, in milliseconds.
     */
    record(speed: number, durationMs: number, now: number): void {
        const value = Math.log(Math.min(Math.max(speed, minSpeed), maxSpeed));
        this.observations.push({ startedAt: now - durationMs, at: now, value });
        if (this.observations.length > windowSize) {
            this.observations.shift();
        }
        const stepStart = this.findStep();
        if (stepStart !== undefined) {
            this.observations = this.observations.slice(stepStart);
            this.lasting = readMedian(this.observations);
            return;
        }
        if (this.observations.length >= minObservations && readMedianError(this.observations) <= maxError) {
            this.lasting = readMedian(this.observations);
        }
    }

    /** Lasting speed; undefined if unknown. */
    read(): number | undefined {
        return this.lasting === undefined ? undefined : Math.exp(this.lasting);
    }

    /** Transient slowdown as a factor of the lasting speed's durations, by the latest observations; 1 if none. */
    readSlowdown(now: number): number {
        if (this.lasting === undefined) {
            return 1;
        }
        const recent = this.observations.slice(-transientObservations).filter(({ at }) => now - at <= transientMs);
        return recent.length === 0 ? 1 : readClearSlowdown(Math.exp(this.lasting - readMedian(recent)));
    }

    /** Finds the first observation after a step change: since then nearly all deviate in the same direction. */
    private findStep(): number | undefined {
        const { lasting, observations } = this;
        if (lasting === undefined) {
            return undefined;
        }
        const direction = Math.sign(observations.at(-1)!.value - lasting);
        const { startedAt } = observations.at(-1)!;
        let start: number | undefined;
        let [deviating, others] = [0, 0];
        for (let index = observations.length - 1; index >= 0 && others <= 1 + deviating * otherShare; index -= 1) {
            const { at, value } = observations[index]!;
            if ((value - lasting) * direction <= stepDeviation) {
                others += 1;
                continue;
            }
            deviating += 1;
            const isStep = deviating >= stepObservations && others <= deviating * otherShare
                && startedAt - at >= stepMs;
            start = isStep ? index : start;
        }
        return start;
    }
}

/** Ignores a slowdown too small to be told from noise, and bounds a large one. */
export function readClearSlowdown(slowdown: number): number {
    return slowdown < minSlowdown ? 1 : Math.min(slowdown, maxSlowdown);
}

function readMedian(observations: readonly Observation[]): number {
    return readMiddle(observations.map(({ value }) => value));
}

/** Standard error of the median, by the median absolute deviation, which outliers do not affect. */
function readMedianError(observations: readonly Observation[]): number {
    const median = readMedian(observations);
    const deviation = readMiddle(observations.map(({ value }) => Math.abs(value - median)));
    return deviation * deviationFactor * medianErrorFactor / Math.sqrt(observations.length);
}

/** Median of some values; the mean of the two middle values of an even number. */
export function readMiddle(values: readonly number[]): number {
    const sorted = [...values].sort((left, right) => left - right);
    const middle = sorted.length >> 1;
    return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
}
