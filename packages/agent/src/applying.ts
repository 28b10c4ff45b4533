import { setTimeout as sleep } from "node:timers/promises";
import type { ApplyRequest, ConfigurationTask } from "./configuration.js";
import type { AppliedReport } from "./operators.js";
import type { ProgressTable } from "./progress.js";

/** Interval at which an apply looks whether every node has it, in milliseconds. */
const pollMs = 25;

/** Options of {@link applyEverywhere}. */
export interface ApplyOptions {
    readonly configuration: ConfigurationTask;
    readonly progress: ProgressTable;
    readonly listDataCentres: () => string[];
    /** Longest wait for every node, in milliseconds. */
    readonly waitMs: number;
}

/** Applies, and waits until the version is known to be in force everywhere, or says where it is not known to be. */
export async function applyEverywhere(request: ApplyRequest, options: ApplyOptions): Promise<AppliedReport> {
    const { configuration, progress, listDataCentres, waitMs } = options;
    const result = await configuration.apply(request);
    if (result.kind !== "accepted") {
        return { result, progress: progress.list(), behind: [] };
    }
    const deadline = performance.now() + waitMs;
    let behind = progress.listBehind(result.version, listDataCentres());
    while (behind.length > 0 && performance.now() < deadline) {
        await sleep(pollMs);
        behind = progress.listBehind(result.version, listDataCentres());
    }
    return { result, progress: progress.list(), behind };
}
