import type { EngineStatus } from "../types.js";

/**
 * Expected time until an engine would start the load of one more adapter, in milliseconds.
 * @param priority Priority of the request; undefined if unknown.
 */
export function readLoadWaitMs({ waitMs, waits = [] }: EngineStatus, priority: number | undefined): number {
    const found = priority === undefined ? undefined : waits.find(wait => wait.priority >= priority);
    return found?.waitMs ?? waitMs;
}
