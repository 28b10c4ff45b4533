import type { EngineAdmission, EngineSlotPlanner, EngineStatus } from "@radishreel/fleet";
import type { OwnedTransfers } from "./transfers.js";

/** What the status of an owned engine depends on. */
export interface StatusSource {
    readonly id: string;
    readonly planner: EngineSlotPlanner;
    readonly admission: EngineAdmission;
    readonly fence: number;
    readonly revision: number;
    readonly canOrder: boolean;
}

/** Creates the status that the owner of an engine sends to other VMs. */
export function createStatus(owned: StatusSource, now: number, transfers: OwnedTransfers | undefined): EngineStatus {
    const { planner, admission } = owned;
    return {
        engine: owned.id,
        fence: owned.fence,
        revision: owned.revision,
        isOwned: true,
        canOrder: owned.canOrder && planner.isReachable,
        isReachable: planner.isReachable && !planner.isSilent,
        held: planner.listHeld(),
        coming: planner.listLoading(),
        waitMs: Math.round(admission.readNextLoadWaitMs(now)),
        waits: admission.readLoadWaits(now),
        coldLoadMs: Math.round(planner.readLoadMs(false)),
        warmLoadMs: Math.round(planner.readLoadMs(true)),
        ...admission.status,
        ...transfers?.createStatusFields(planner),
    };
}
