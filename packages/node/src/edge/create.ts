import { readNow } from "../clock.js";
import type { DecisionLog } from "../decisions.js";
import type { NodeMetrics } from "../metrics.js";
import type { NodeSettings } from "../options.js";
import { responseMemory } from "../requests/responsememory.js";
import { type EdgeGuard, MemoryGuard, unboundedEdge } from "./guard.js";
import { EdgeMetrics } from "./metrics.js";

/** Creates what bounds the memory for callers, if the settings name the VM's memory. */
export function createEdgeGuard(settings: NodeSettings, log: DecisionLog, metrics: NodeMetrics): EdgeGuard {
    const { memoryMb } = settings;
    if (memoryMb === undefined) {
        return unboundedEdge;
    }
    responseMemory.setMemory(memoryMb);
    const edgeMetrics = new EdgeMetrics(metrics.registry);
    return new MemoryGuard({
        memoryMb,
        log,
        readTime: readNow,
        onUpdate: bytes => edgeMetrics.setHeldBytes(bytes),
        onRefusal: reason => metrics.recordRefusal(reason),
        onStalled: () => edgeMetrics.recordStalled(),
    });
}
