import type { EngineAdmission, EngineSlotPlanner } from "@radishreel/fleet";
import type { ScheduledRun } from "../clock.js";
import type { RoomWaitLog } from "./roomwaits.js";

/** An engine that this VM owns. */
export interface OwnedEngine {
    readonly id: string;
    readonly name: string;
    readonly planner: EngineSlotPlanner;
    readonly admission: EngineAdmission;
    readonly roomWaits: RoomWaitLog;
    fence: number;
    /** Highest fencing token of the orders so far. */
    orderFence: number;
    revision: number;
    lastStatus: string;
    isStepRunning: boolean;
    /** Whether an order is being sent or waits for its outcome. */
    isOrdering: boolean;
    timer: ScheduledRun | undefined;
    canOrder: boolean;
    /** When this VM became the owner, in milliseconds. */
    readonly ownedSince: number;
    /** Whether this owner has admitted a request. */
    hasAdmitted: boolean;
    /** Whether the engine's last report listed no base model. */
    wasEmpty: boolean;
}

/** Whether an engine can be reached, and whether it opened no connection in time. */
export type EngineReach = Pick<EngineSlotPlanner, "isReachable" | "isSilent">;

/** Reads whether an owned engine can be reached. */
export function readReach({ planner: { isReachable, isSilent } }: OwnedEngine): EngineReach {
    return { isReachable, isSilent };
}
