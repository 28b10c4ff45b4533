import type { Server } from "node:http";
import { Server as SocketServer } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import type { DecisionLog } from "./decisions.js";
import type { OwnEntry } from "./knowledge/ownentry.js";
import type { Peers } from "./links/peers.js";
import type { ShardOwnership } from "./ownership/ownership.js";
import type { Tunnels } from "./paths/index.js";
import type { Reception } from "./reception.js";
import type { Serving } from "./requests/serving.js";

/** Time until the load balancer sends no more callers to a stopping VM, in milliseconds: two failed checks. */
const balancerNoticeMs = 2300;

/** Share of the grace time after which requests without a response are ended. */
const requestGraceShare = 0.93;

/** Share of the grace time after which all connections are closed: the platform kills the process soon after. */
const connectionGraceShare = 0.95;

/** Share of the grace time that the notice of the load balancer may take. */
const noticeGraceShare = 0.75;

/** Time for which a connection must carry nothing before it is closed: its caller may just send its next request. */
const quietMs = 200;

/** Maximum wait for the release of shards in a planned stop, in milliseconds. */
const maxReleaseWaitMs = 800;

/** Options of {@link runPlannedStop}. */
export interface PlannedStopOptions {
    readonly times: StopTimes;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    readonly peers: Pick<Peers, "broadcast">;
    readonly serving: Pick<Serving, "openCount" | "closeAfterResponses">;
    readonly ownEntry: Pick<OwnEntry, "append">;
    readonly ownership: Pick<ShardOwnership, "stop"> | undefined;
    readonly reception: Pick<Reception, "connections" | "refuseWaiting" | "endUnanswered">;
    readonly callerServer: Server;
    readonly tunnels: Pick<Tunnels, "pause" | "count">;
}

/** Times of a planned stop. */
export interface StopTimes {
    /** When the listener for callers closes. */
    readonly closesAt: number;
    /** When requests without a response are ended. */
    readonly endsAt: number;
    /** When connections are closed that still carry something. */
    readonly cutsAt: number;
}

/** Finds the times of a planned stop. @param graceMs Time until the platform kills the process, in milliseconds. */
export function findStopTimes(stoppedAt: number, graceMs: number): StopTimes {
    return {
        closesAt: stoppedAt + Math.min(balancerNoticeMs, graceMs * noticeGraceShare),
        endsAt: stoppedAt + graceMs * requestGraceShare,
        cutsAt: stoppedAt + graceMs * connectionGraceShare,
    };
}

/** Stops serving callers once running requests have finished or the grace time is over. */
export async function runPlannedStop(options: PlannedStopOptions): Promise<void> {
    const { times, log, readTime, peers, serving, ownEntry, ownership } = options;
    const { reception, callerServer, tunnels } = options;
    const hasOpen = (): boolean => reception.connections.closeIdle(quietMs) || tunnels.count > 0;
    log.recordImportant("stop", { openRequests: serving.openCount });
    serving.closeAfterResponses();
    tunnels.pause();
    const released = ownership?.stop() ?? Promise.resolve();
    peers.broadcast({ type: "leaving" });
    ownEntry.append({ hasLeft: true });
    await Promise.race([released, wait(maxReleaseWaitMs)]);
    await wait(Math.max(0, times.closesAt - readTime()));
    // The `close` of the HTTP server also destroys connections whose complete responses were not sent completely.
    SocketServer.prototype.close.call(callerServer);
    while (hasOpen() && readTime() < times.endsAt) {
        reception.refuseWaiting();
        await wait(20);
    }
    reception.endUnanswered();
    while (hasOpen() && readTime() < times.cutsAt) {
        await wait(5);
    }
    log.recordImportant("stopped", { openRequests: serving.openCount });
    callerServer.closeAllConnections();
}
