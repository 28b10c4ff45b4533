import type { HttpConnections } from "@radishreel/wire";
import type { Server } from "node:http";
import type { EdgeGuard } from "./edge/index.js";
import type { ClusterState } from "./knowledge/cluster.js";
import type { OverloadMonitor } from "./overload.js";
import type { RequestDialect } from "./ports.js";
import type { CallerExchange, RefusalResponse } from "./requests/caller.js";
import { CallerConnections } from "./requests/callerconnections.js";
import { bodyTooLargeRefusal } from "./requests/refusals.js";
import type { Serving } from "./requests/serving.js";
import type { StopTimes } from "./stop.js";

/** The response to a request that may last longer than a stopping process. Other VMs serve it at once. */
const stoppingRefusal: RefusalResponse = { status: 503, reason: "stopping", retryAfterSeconds: 0.05 };

/** Options of {@link Reception}. */
export interface ReceptionOptions {
    readonly cluster: Pick<ClusterState, "routes">;
    readonly dialect: Pick<RequestDialect, "parseDemand">;
    readonly edge: EdgeGuard;
    readonly serving: Pick<Serving, "handle" | "refuse">;
    readonly overloadMonitor: Pick<OverloadMonitor, "recordWork" | "recordResponse">;
    readonly readTime: () => number;
    /** Whether this VM is cut off, so that callers should connect to another one. */
    readonly isIsolated: () => boolean;
    /** Connections of callers, some of which may have been opened under a limit that is not in force any more. */
    readonly http: Pick<HttpConnections, "isOutdated" | "countWaitingBytes">;
}

/** Receives callers' connections and requests, and passes on the requests that this VM may serve. */
export class Reception {
    readonly connections: CallerConnections;
    private stopTimes: StopTimes | undefined;

    constructor(private readonly options: ReceptionOptions) {
        this.connections = new CallerConnections(
            options.readTime,
            socket => options.http.countWaitingBytes(socket),
        );
    }

    /** Receives the connections of a listener. */
    start(server: Server): void {
        server.on("connection", socket => {
            this.options.overloadMonitor.recordWork("caller connection");
            this.connections.add(socket);
        });
    }

    /** Closes connections after their next responses, and refuses requests that would outlast the process. */
    stop(times: StopTimes): void {
        this.stopTimes = times;
    }

    receive(caller: CallerExchange): void {
        this.options.overloadMonitor.recordWork("request");
        this.connections.receive(caller, () => this.serve(caller));
    }

    private serve(caller: CallerExchange): void {
        const { cluster, dialect, edge, serving, overloadMonitor, isIsolated, http } = this.options;
        if (this.stopTimes !== undefined || isIsolated() || http.isOutdated(caller.request.socket)) {
            caller.closeAfterResponse();
        }
        if (!this.hasTime(caller)) {
            serving.refuse(caller, dialect.parseDemand(caller.headers), stoppingRefusal);
            return;
        }
        if (caller.announcedBytes > (cluster.routes?.routing.limits.maxBodyBytes ?? Infinity)) {
            serving.refuse(caller, dialect.parseDemand(caller.headers), bodyTooLargeRefusal);
            return;
        }
        if (edge.handleCaller(caller)) {
            void serving.handle(caller).finally(() => overloadMonitor.recordResponse(caller));
        }
    }

    /** Whether a request ends before the process does. One that comes early in a planned stop is served anyway. */
    private hasTime(caller: CallerExchange): boolean {
        const { cluster, dialect, readTime } = this.options;
        const now = readTime();
        if (this.stopTimes === undefined || now < this.stopTimes.closesAt) {
            return true;
        }
        const timeoutMs = cluster.routes?.findRoute(caller.host, caller.path)?.timeoutMs ?? 0;
        const { budgetMs = Infinity } = dialect.parseDemand(caller.headers);
        return now + Math.min(budgetMs, timeoutMs) <= this.stopTimes.endsAt;
    }
}
