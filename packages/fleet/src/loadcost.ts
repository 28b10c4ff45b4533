import { readLoadWaitMs } from "./scheduling/loadwaits.js";
import type { FleetView, UpstreamState } from "./view.js";

/**
 * Cost of loading a newer version of an adapter where an older version is in use, in milliseconds: the load starts
 * after the running requests of the older version, which take seconds.
 */
const replacedInUseCostMs = 2000;

/**
 * Cost of each rank below an adapter's preferred engine when the adapter must be loaded from the weight store, in
 * milliseconds. If no VM knows which engine held the adapter recently, the preferred engine is the most likely, and VMs
 * that request admission at the same time agree on it. At 110 ms the preference outweighs the load of the engines.
 */
const preferenceRankCostMs = 30;

/** Options of {@link readLoadCost}. */
export interface LoadCostOptions {
    readonly view: FleetView;
    /** Priority of the request. @default unknown */
    readonly priority?: number | undefined;
}

/** Expected wait for an adapter load before the request, in milliseconds. */
export function readLoadCost(
    { view, priority }: LoadCostOptions,
    state: UpstreamState,
    key: string | undefined,
    preferenceRank: number,
): number {
    const { status } = state;
    if (status === undefined || key === undefined) {
        return 0;
    }
    if (view.findHeldVersion(state, key) !== undefined) {
        // An owner replaces an old version at once unless it is in use, so this one is in use.
        return status.coldLoadMs + replacedInUseCostMs;
    }
    if (status.coming.includes(key)) {
        return status.coldLoadMs / 2;
    }
    return readLoadWaitMs(status, priority)
        + (state.warm.has(key) ? status.warmLoadMs : status.coldLoadMs + preferenceRank * preferenceRankCostMs);
}
