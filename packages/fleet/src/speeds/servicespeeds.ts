import { readMiddle, SpeedEstimator } from "./estimator.js";

/** Factor between two neighbouring steps of speed: differences of less than a fifth have no effect. */
const stepFactor = 1.2;

/** Distance from the present step at which the step changes, in steps: estimates vary by a tenth, half a step. */
const minStepChange = 0.9;

/** Distance from the median at which an upstream leaves the median's step, in steps. */
const minFirstStep = 1;

/** Distance from the median at which an upstream returns to the median's step, in steps. */
const maxMedianStep = 0.4;

/** Bounds of a step: factors of 0.16 and 6. */
const maxStep = 10;

/** Time for which the speeds of a service are kept before they are compared again, in milliseconds. */
const comparisonIntervalMs = 250;

/** Fewest upstreams of known speed that can be compared, and their share of the service: fewer have no true median. */
const minKnown = 2;
const minKnownShare = 0.5;

/** An upstream and its speed as a factor of the expected speed; undefined if unknown. */
export interface KnownSpeed {
    readonly id: string;
    readonly speed: number | undefined;
}

/** Speeds of the upstreams of a service, for operators. */
export interface SpeedSummary {
    /** Number of upstreams of known speed. */
    readonly known: number;
    /** Numbers of upstreams that count as slower and as faster than the median. */
    readonly slower: number;
    readonly faster: number;
    /** Speeds as factors of the expected speed; undefined if none is known. */
    readonly slowest: number | undefined;
    readonly median: number | undefined;
    readonly fastest: number | undefined;
}

interface Comparison {
    comparedAt: number;
    steps: Map<string, number>;
    /** Undefined while no upstream differs from the median. */
    factors: ReadonlyMap<string, number> | undefined;
    summary: SpeedSummary;
}

/**
 * Speeds of upstreams relative to the median of their service, in steps of a fifth with hysteresis, so that estimates
 * that vary a little change neither a choice nor the preferred engines of an adapter.
 */
export class ServiceSpeeds {
    private readonly servers = new Map<string, SpeedEstimator>();
    private readonly comparisons = new Map<string, Comparison>();

    /**
     * Records the response time of a plain server, in milliseconds.
     * @param speed Expected time as a factor of the response time.
     */
    recordServer(id: string, speed: number, responseMs: number, now: number): void {
        const estimator = this.servers.get(id) ?? new SpeedEstimator();
        this.servers.set(id, estimator);
        estimator.record(speed, responseMs, now);
    }

    /** Speed of a plain server by this VM's own requests; undefined if unknown. */
    readServer(id: string): number | undefined {
        return this.servers.get(id)?.read();
    }

    removeUpstream(id: string): void {
        this.servers.delete(id);
    }

    /**
     * Speeds relative to the median of the service, by id; undefined if no upstream differs from it by more than a
     * fifth. Upstreams of unknown speed have none.
     */
    readFactors(
        service: string,
        listSpeeds: () => readonly KnownSpeed[],
        now: number,
    ): ReadonlyMap<string, number> | undefined {
        return this.compare(service, listSpeeds, now).factors;
    }

    /** Summary of the speeds of a service. */
    readSummary(service: string, listSpeeds: () => readonly KnownSpeed[], now: number): SpeedSummary {
        return this.compare(service, listSpeeds, now).summary;
    }

    private compare(service: string, listSpeeds: () => readonly KnownSpeed[], now: number): Comparison {
        const before = this.comparisons.get(service);
        if (before !== undefined && now - before.comparedAt < comparisonIntervalMs) {
            return before;
        }
        const speeds = new Map<string, number>();
        const upstreams = listSpeeds();
        for (const { id, speed } of upstreams) {
            if (speed !== undefined) {
                speeds.set(id, Math.log(speed));
            }
        }
        const values = [...speeds.values()];
        const median = values.length === 0 ? undefined : readMiddle(values);
        const steps = new Map<string, number>();
        if (median !== undefined && speeds.size >= Math.max(minKnown, upstreams.length * minKnownShare)) {
            for (const [id, value] of speeds) {
                steps.set(id, chooseStep((value - median) / Math.log(stepFactor), before?.steps.get(id) ?? 0));
            }
        }
        const used = [...steps.values()];
        const comparison: Comparison = {
            comparedAt: now,
            steps,
            factors: used.some(step => step !== 0)
                ? new Map([...steps].map(([id, step]) => [id, stepFactor ** step]))
                : undefined,
            summary: {
                known: speeds.size,
                slower: used.filter(step => step < 0).length,
                faster: used.filter(step => step > 0).length,
                slowest: median === undefined ? undefined : Math.exp(Math.min(...values)),
                median: median === undefined ? undefined : Math.exp(median),
                fastest: median === undefined ? undefined : Math.exp(Math.max(...values)),
            },
        };
        this.comparisons.set(service, comparison);
        return comparison;
    }
}

/** Chooses the step of a speed, in steps from the median: the step before, unless the speed is clearly off it. */
function chooseStep(position: number, before: number): number {
    if (Math.abs(position) < maxMedianStep) {
        return 0;
    }
    const minChange = before === 0 ? minFirstStep : minStepChange;
    const step = Math.abs(position - before) < minChange ? before : Math.round(position);
    return Math.min(Math.max(step, -maxStep), maxStep);
}
