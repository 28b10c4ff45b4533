import { setTimeout as sleep } from "node:timers/promises";
import type { ApplyRequest, ConfigurationTask } from "./configuration.js";
import type { AppliedReport } from "./operators.js";
import type { ProgressTable } from "./progress.js";

/** Interval at which an apply checks whether every node has its version, in milliseconds. */
const progressPollMs = 25;

/** Options of {@link applyEverywhere}. */
export interface ApplyOptions {
    readonly configuration: ConfigurationTask;
    readonly progress: ProgressTable;
    readonly listDataCentres: () => string[];
    /** Maximum wait for all nodes, in milliseconds. */
    readonly waitMs: number;
}

/** Applies a change and waits until all nodes have its version. After the wait, reports the data centres behind. */
export async function applyEverywhere(request: ApplyRequest, options: ApplyOptions): Promise<AppliedReport> {
    const { configuration, progress, listDataCentres, waitMs } = options;
    const result = await configuration.apply(request);
    if (result.kind !== "accepted") {
        return { result, progress: progress.list(), behind: [] };
    }
    const deadline = performance.now() + waitMs;
    let behind = progress.listBehind(result.version, listDataCentres());
    while (behind.length > 0 && performance.now() < deadline) {
        await sleep(progressPollMs);
        behind = progress.listBehind(result.version, listDataCentres());
    }
    return { result, progress: progress.list(), behind };
}
