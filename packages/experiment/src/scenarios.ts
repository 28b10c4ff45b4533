import { createTrace, type TraceFault, type TraceOptions, type TraceRequest } from "./trace.js";
import type { WorldOptions } from "./world.js";

/** One trace on one set of engines. */
export interface Scenario {
    readonly name: string;
    readonly world: WorldOptions;
    readonly trace: TraceRequest[];
    readonly faults: readonly TraceFault[];
    /** Paying requests a second at the level 1. */
    readonly rate: number;
}

const minute = 60_000;
const warmUpMs = 3 * minute;
const durationMs = 13 * minute;

/** Altan Zam's declaration engines: six, one store that bears two loads a second. */
const altanWorld: WorldOptions = {
    engines: 6,
    slots: 8,
    batchRoom: 16,
    stepMs: 20,
    stepPerRequestMs: 0.5,
    loadMs: 500,
    warmUpMs,
};

/** Armor's drafting engines: eight, with longer answers, and a store of three loads a second. */
const armorWorld: WorldOptions = { ...altanWorld, engines: 8, loadMs: 333 };

const altanTrace: TraceOptions = {
    seed: 1,
    durationMs,
    adapters: 3000,
    zipf: 1,
    payingRate: 4,
    trialRate: 0.4,
    customers: 40,
    deadlineMs: 30_000,
    meanTokens: 100,
};

const armorTrace: TraceOptions = { ...altanTrace, payingRate: 6, trialRate: 0.6, deadlineMs: 60_000, meanTokens: 400 };

function createScenario(
    name: string,
    world: WorldOptions,
    options: TraceOptions,
    faults: readonly TraceFault[] = [],
): Scenario {
    return { name, world, trace: createTrace(options), faults, rate: options.payingRate };
}

/** Every scenario, drawn from one seed. Rates are chosen around the rate at which the store is just busy. */
export function listScenarios(seed: number): Scenario[] {
    const altan = { ...altanTrace, seed };
    const armor = { ...armorTrace, seed };
    const shiftAt = 8 * minute;
    return [
        ...[0.25, 0.5, 0.9, 1.5, 2].map(level =>
            createScenario(`dawn x${level}`, altanWorld, { ...altan, payingRate: 4 * level, trialRate: 0.4 * level })
        ),
        ...[0.25, 0.5, 0.9, 1.5].map(level =>
            createScenario(`drafting x${level}`, armorWorld, {
                ...armor,
                payingRate: 6 * level,
                trialRate: 0.6 * level,
            })
        ),
        ...[0.8, 1.2].map(zipf => createScenario(`dawn zipf ${zipf}`, altanWorld, { ...altan, payingRate: 2, zipf })),
        createScenario("dawn, shift", altanWorld, { ...altan, payingRate: 2, shiftsAt: [shiftAt] }),
        createScenario("dawn, no flood", altanWorld, { ...altan, payingRate: 2, trialRate: 0 }),
        createScenario("dawn, trial flood", altanWorld, { ...altan, payingRate: 2, trialRate: 20 }),
        createScenario(
            "dawn, restarts",
            altanWorld,
            { ...altan, payingRate: 2 },
            [1, 3, 5].map(engine => ({
                at: (5 + engine) * minute,
                kind: "restartEngine",
                engine,
            })),
        ),
        createScenario("dawn, failed loads", { ...altanWorld, failureShare: 0.1 }, { ...altan, payingRate: 2 }),
        createScenario("dawn, slow store", { ...altanWorld, loadMs: 1000 }, { ...altan, payingRate: 2 }),
    ];
}
