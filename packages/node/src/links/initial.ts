import type { EngineStatus, FleetView } from "@radishreel/fleet";
import type { CrashGuard } from "../crashes/index.js";
import type { AnnouncementSharing } from "../knowledge/announcements.js";
import type { ChangeSharing } from "../knowledge/sharing.js";
import type { Admissions } from "../requests/admissions.js";
import type { StreamDirectory } from "../streams/index.js";
import type { PeerMessage } from "./messages.js";

/** What a VM tells another VM when their link opens. */
export interface InitialState {
    readonly view: FleetView;
    readonly sharing: Pick<ChangeSharing, "createInitialMessages">;
    readonly announcements: Pick<AnnouncementSharing, "createInitialMessages">;
    readonly guard: Pick<CrashGuard, "createInitialMessages">;
    readonly streams: Pick<StreamDirectory, "createInitialMessages">;
    readonly admissions: Pick<Admissions, "createRuns">;
    /** Statuses of the engines that this VM owns. */
    readonly engineStatuses: readonly EngineStatus[];
    readonly isStopping: boolean;
}

/** Creates the messages for a VM whose link has just opened. */
export function createInitialMessages(vm: string, state: InitialState): PeerMessage[] {
    const { view, sharing, announcements, guard, streams, admissions, engineStatuses, isStopping } = state;
    const engines = view.listUpstreams().filter(({ owner }) => owner === vm).map(({ upstream }) => upstream.id);
    return [
        ...sharing.createInitialMessages(vm),
        ...announcements.createInitialMessages(),
        { type: "news", news: [...engineStatuses] },
        ...guard.createInitialMessages(),
        ...streams.createInitialMessages(vm),
        ...engines.map(engine => admissions.createRuns(engine, vm)),
        ...(isStopping ? [{ type: "leaving" } as const] : []),
    ];
}
