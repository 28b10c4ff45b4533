import { createTrace, type TraceFault, type TraceOptions, type TraceRequest } from "./trace.js";
import type { WorldOptions } from "./world.js";

/** A trace with the simulated engines on which it runs. */
export interface Scenario {
    readonly name: string;
    readonly world: WorldOptions;
    readonly trace: TraceRequest[];
    readonly faults: readonly TraceFault[];
    /** Paying requests per second at level 1. */
    readonly rate: number;
}

const minuteMs = 60_000;
const warmUpMs = 3 * minuteMs;
const durationMs = 13 * minuteMs;

/** Six engines with shorter responses and a weight store that sustains two loads per second. */
const dawnWorld: WorldOptions = {
    engines: 6,
    slots: 8,
    batchRoom: 16,
    stepMs: 20,
    stepPerRequestMs: 0.5,
    loadMs: 500,
    warmUpMs,
};

/** Eight engines with longer responses and a weight store that sustains three loads per second. */
const draftingWorld: WorldOptions = { ...dawnWorld, engines: 8, loadMs: 333 };

const dawnTrace: TraceOptions = {
    seed: 1,
    durationMs,
    adapters: 3000,
    zipf: 1,
    payingRate: 4,
    trialRate: 0.4,
    accounts: 40,
    deadlineMs: 30_000,
    meanTokens: 100,
};

const draftingTrace: TraceOptions = {
    ...dawnTrace,
    payingRate: 6,
    trialRate: 0.6,
    deadlineMs: 60_000,
    meanTokens: 400,
};

function createScenario(
    name: string,
    world: WorldOptions,
    options: TraceOptions,
    faults: readonly TraceFault[] = [],
): Scenario {
    return { name, world, trace: createTrace(options), faults, rate: options.payingRate };
}

/** Creates every scenario from one seed. The request rates lie around the rate that just saturates the weight store. */
export function listScenarios(seed: number): Scenario[] {
    const dawn = { ...dawnTrace, seed };
    const drafting = { ...draftingTrace, seed };
    const shiftAt = 8 * minuteMs;
    return [
        ...[0.25, 0.5, 0.9, 1.5, 2].map(level =>
            createScenario(`dawn x${level}`, dawnWorld, { ...dawn, payingRate: 4 * level, trialRate: 0.4 * level })
        ),
        ...[0.25, 0.5, 0.9, 1.5].map(level =>
            createScenario(`drafting x${level}`, draftingWorld, {
                ...drafting,
                payingRate: 6 * level,
                trialRate: 0.6 * level,
            })
        ),
        ...[0.8, 1.2].map(zipf => createScenario(`dawn zipf ${zipf}`, dawnWorld, { ...dawn, payingRate: 2, zipf })),
        createScenario("dawn, shift", dawnWorld, { ...dawn, payingRate: 2, shiftsAt: [shiftAt] }),
        createScenario("dawn, no flood", dawnWorld, { ...dawn, payingRate: 2, trialRate: 0 }),
        createScenario("dawn, trial flood", dawnWorld, { ...dawn, payingRate: 2, trialRate: 20 }),
        createScenario(
            "dawn, restarts",
            dawnWorld,
            { ...dawn, payingRate: 2 },
            [1, 3, 5].map(engine => ({
                at: (5 + engine) * minuteMs,
                kind: "restartEngine",
                engine,
            })),
        ),
        createScenario("dawn, failed loads", { ...dawnWorld, failureShare: 0.1 }, { ...dawn, payingRate: 2 }),
        createScenario("dawn, slow store", { ...dawnWorld, loadMs: 1000 }, { ...dawn, payingRate: 2 }),
    ];
}
