import { type ConnectTarget, DirectConnector, type UpstreamConnector } from "../paths/index.js";
import { UpstreamConnection } from "./connections.js";

/** Maximum number of idle connections to one upstream. */
const maxIdle = 8;

/** Options of {@link ConnectionPool}. */
export interface ConnectionPoolOptions {
    /** @default direct connections */
    readonly connector?: UpstreamConnector | undefined;
    /** Called for each new connection. */
    readonly onOpen?: (() => void) | undefined;
}

/** Idle connections by upstream id. A new incarnation at an old address gets new connections. */
export class ConnectionPool {
    private readonly idle = new Map<string, UpstreamConnection[]>();

    private readonly connector: UpstreamConnector;

    constructor(private readonly options: ConnectionPoolOptions = {}) {
        this.connector = options.connector ?? new DirectConnector();
    }

    /**
     * Takes a connection out of the pool or opens a new one.
     * @param isFresh Whether to open a new connection, for requests that must not hit a connection that is being
     * closed.
     */
    claim(upstreamId: string, address: string, isFresh: boolean, now: number): UpstreamConnection {
        const target = { upstream: upstreamId, address };
        const connections = (this.idle.get(upstreamId) ?? []).filter(connection =>
            this.checkReusable(connection, target)
        );
        this.idle.set(upstreamId, connections);
        const index = isFresh ? -1 : connections.findIndex(connection => connection.isReusable(now));
        const [found] = index < 0 ? [] : connections.splice(index, 1);
        if (found !== undefined) {
            return found;
        }
        this.options.onOpen?.();
        return new UpstreamConnection({ target, connector: this.connector });
    }

    /** Closes a connection that must not be used again. */
    private checkReusable(connection: UpstreamConnection, target: ConnectTarget): boolean {
        if (connection.isUsable && !this.connector.mayReuse(target, connection.via)) {
            connection.close();
        }
        return connection.isUsable;
    }

    /** Closes the idle connections that go through a VM. */
    removeVm(vm: string): void {
        for (const connections of this.idle.values()) {
            connections.filter(({ via }) => via === vm).forEach(connection => connection.close());
        }
    }

    /** Returns a connection to the pool after a complete response. */
    release(upstreamId: string, connection: UpstreamConnection, now: number): void {
        if (!connection.isUsable) {
            return;
        }
        connection.recordUse(now);
        const connections = this.idle.get(upstreamId) ?? [];
        connections.push(connection);
        this.idle.set(upstreamId, connections);
        if (connections.length > maxIdle) {
            connections.shift()!.close();
        }
    }

    /** Closes the idle connections of an upstream that was removed. */
    removeUpstream(upstreamId: string): void {
        for (const connection of this.idle.get(upstreamId) ?? []) {
            connection.close();
        }
        this.idle.delete(upstreamId);
    }

    close(): void {
        for (const id of [...this.idle.keys()]) {
            this.removeUpstream(id);
        }
    }
}
