import type { HttpConnections } from "@radishreel/wire";
import type { Server } from "node:http";
import type { EdgeGuard } from "./edge/index.js";
import type { ClusterState } from "./knowledge/cluster.js";
import type { OverloadMonitor } from "./overload.js";
import type { RequestDialect } from "./ports.js";
import type { CallerExchange } from "./requests/caller.js";
import { CallerConnections } from "./requests/callerconnections.js";
import type { RefusalResponse } from "./requests/refusal.js";
import { bodyTooLargeRefusal } from "./requests/refusals.js";
import type { Serving } from "./requests/serving.js";
import type { StopTimes } from "./stop.js";

/** The response to a request that may last longer than a stopping process. Other VMs serve it at once. */
const stoppingRefusal: RefusalResponse = { status: 503, reason: "stopping", retryAfterSeconds: 0.05 };

/** The response to a request that is still at an upstream when the process ends. */
const endingRefusal: RefusalResponse = { status: 504, reason: "stopping" };

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
    /** The requests that are served, with the end of the time of each in milliseconds. */
    private readonly open = new Map<CallerExchange, number>();

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

    /** Refuses the requests that no upstream has and that may outlast the process. */
    refuseWaiting(): void {
        for (const [caller, deadlineAt] of this.open) {
            if (caller.possibleRuns === 0 && !this.mayFinish(deadlineAt)) {
                this.end(caller, stoppingRefusal);
            }
        }
    }

    /** Ends all requests whose responses have not begun. */
    endUnanswered(): void {
        for (const caller of this.open.keys()) {
            this.end(caller, caller.possibleRuns === 0 ? stoppingRefusal : endingRefusal);
        }
    }

    private end(caller: CallerExchange, refusal: RefusalResponse): void {
        if (caller.hasResponseHead || caller.hasLeft) {
            return;
        }
        this.options.serving.refuse(caller, this.options.dialect.parseDemand(caller.headers), refusal);
        caller.endServing();
    }

    private serve(caller: CallerExchange): void {
        const { cluster, dialect, edge, serving, overloadMonitor, isIsolated, http } = this.options;
        if (this.stopTimes !== undefined || isIsolated() || http.isOutdated(caller.request.socket)) {
            caller.closeAfterResponse();
        }
        const deadlineAt = this.readDeadline(caller);
        if (this.isLate && !this.mayFinish(deadlineAt)) {
            serving.refuse(caller, dialect.parseDemand(caller.headers), stoppingRefusal);
            return;
        }
        if (caller.announcedBytes > (cluster.routes?.routing.limits.maxBodyBytes ?? Infinity)) {
            serving.refuse(caller, dialect.parseDemand(caller.headers), bodyTooLargeRefusal);
            return;
        }
        if (edge.handleCaller(caller)) {
            this.open.set(caller, deadlineAt);
            void serving.handle(caller).finally(() => {
                this.open.delete(caller);
                overloadMonitor.recordResponse(caller);
            });
        }
    }

    /** Whether the load balancer sends no more callers to this stopping VM. Earlier requests are served anyway. */
    private get isLate(): boolean {
        return this.stopTimes !== undefined && this.options.readTime() >= this.stopTimes.closesAt;
    }

    private mayFinish(deadlineAt: number): boolean {
        return this.stopTimes === undefined || deadlineAt <= this.stopTimes.endsAt;
    }

    /** Returns the end of a request's time, in milliseconds. A request without a route is refused at once. */
    private readDeadline(caller: CallerExchange): number {
        const { cluster, dialect, readTime } = this.options;
        const timeoutMs = cluster.routes?.findRoute(caller.host, caller.path)?.timeoutMs ?? 0;
        const { budgetMs = Infinity } = dialect.parseDemand(caller.headers);
        return readTime() - caller.waitedMs + Math.min(budgetMs, timeoutMs);
    }
}
