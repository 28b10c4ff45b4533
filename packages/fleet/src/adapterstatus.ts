import type { EngineStatus } from "./types.js";

/** Status of one adapter, as reported by an engine's owner. */
export interface AdapterStatus {
    readonly key: string;
    /** Undefined if the adapter is not loaded. */
    readonly version: number | undefined;
    readonly isComing: boolean;
}

/** Merges the status of one adapter into the adapters of an engine's status. */
export function mergeAdapter(
    status: EngineStatus,
    adapter: AdapterStatus | undefined,
): Pick<EngineStatus, "held" | "coming"> {
    const { held, coming } = status;
    if (adapter === undefined) {
        return { held, coming };
    }
    const { key, version, isComing } = adapter;
    return {
        held: version === undefined ? held : { ...held, [key]: version },
        coming: isComing && !coming.includes(key) ? [...coming, key] : coming,
    };
}
