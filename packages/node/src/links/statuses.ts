import type { EngineStatus, FleetView } from "@radishreel/fleet";
import type { Admissions } from "../requests/admissions.js";

/** Options of {@link applyEngineStatuses}. */
export interface EngineStatusOptions {
    /** The VM that sent the statuses. */
    readonly vm: string;
    readonly statuses: readonly EngineStatus[];
    readonly view: FleetView;
    readonly admissions: Pick<Admissions, "updateOwner">;
    readonly now: number;
}

/** Applies the statuses of engines from their owner. Requests at an engine are told of a new owner. */
export function applyEngineStatuses({ vm, statuses, view, admissions, now }: EngineStatusOptions): void {
    for (const status of statuses) {
        const before = view.findUpstream(status.engine);
        const known = { owner: before?.owner, fence: before?.status?.fence };
        if (view.updateStatus(vm, status, now) && status.isOwned) {
            const isNewOwner = known.owner !== vm || known.fence !== status.fence;
            if (isNewOwner) {
                admissions.updateOwner(status.engine, vm);
            }
        }
    }
}
