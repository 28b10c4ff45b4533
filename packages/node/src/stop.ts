import type { Server } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import type { DecisionLog } from "./decisions.js";
import type { OwnEntry } from "./knowledge/ownentry.js";
import type { Peers } from "./links/peers.js";
import type { ShardOwnership } from "./ownership/ownership.js";
import type { Tunnels } from "./paths/index.js";
import type { Serving } from "./requests/serving.js";

/** Time until the load balancer sends no more callers to a stopping VM, in milliseconds: two failed checks. */
const balancerNoticeMs = 2300;

/** Share of the grace time after which running requests are cut off: the platform kills the process soon after. */
const requestGraceShare = 0.93;

/** Maximum wait for the release of shards in a planned stop, in milliseconds. */
const maxReleaseWaitMs = 800;

/** Options of {@link runPlannedStop}. */
export interface PlannedStopOptions {
    /** Time between the stop signal and the end of the process, in milliseconds. */
    readonly graceMs: number;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    readonly peers: Pick<Peers, "broadcast">;
    readonly serving: Pick<Serving, "openCount" | "closeAfterResponses">;
    readonly ownEntry: Pick<OwnEntry, "append">;
    readonly ownership: Pick<ShardOwnership, "stop"> | undefined;
    readonly callerServer: Server;
    readonly tunnels: Pick<Tunnels, "pause" | "count">;
}

/** Stops serving callers once running requests have finished or the grace time is over. */
export async function runPlannedStop(options: PlannedStopOptions): Promise<void> {
    const { graceMs, log, readTime, peers, serving, ownEntry, ownership, callerServer, tunnels } = options;
    const stoppedAt = readTime();
    log.recordImportant("stop", { openRequests: serving.openCount });
    serving.closeAfterResponses();
    tunnels.pause();
    const released = ownership?.stop() ?? Promise.resolve();
    peers.broadcast({ type: "leaving" });
    ownEntry.append({ hasLeft: true });
    await Promise.race([released, wait(maxReleaseWaitMs)]);
    await wait(Math.max(0, stoppedAt + balancerNoticeMs - readTime()));
    callerServer.close();
    while (serving.openCount + tunnels.count > 0 && readTime() - stoppedAt < graceMs * requestGraceShare) {
        await wait(20);
    }
    log.recordImportant("stopped", { openRequests: serving.openCount });
    callerServer.closeAllConnections();
}
