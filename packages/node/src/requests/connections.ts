import { parseAddress } from "@radishreel/wire";
import type { Socket } from "node:net";
import { connect } from "node:net";
import { Client, errors } from "undici";

/** Longest wait for a connection, in milliseconds: a path within a region takes some milliseconds. */
const requestConnectMs = 400;

/** An idle connection is kept this long if the upstream does not say, in milliseconds. */
const keepAliveMs = 4000;

/** How long before the upstream's own idle timeout a connection is given up, in milliseconds. */
const keepAliveMarginMs = 600;

/** A connection is used again only after resting this long, in milliseconds: a second answer to the last request shows. */
const restMs = 40;

/** Most idle connections kept to one upstream. */
const maxIdle = 8;

/** One connection to an upstream. It carries one request at a time. */
export class UpstreamConnection {
    readonly client: Client;
    private socket: Socket | undefined;
    private hasFailed = false;
    private restingSince = 0;

    /** @param connectTimeoutMs Longest wait until it is open, in milliseconds. */
    constructor(address: string, private readonly connectTimeoutMs = requestConnectMs) {
        const { host, port } = parseAddress(address);
        this.client = new Client(`http://${address}`, {
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: keepAliveMs,
            keepAliveMaxTimeout: keepAliveMs * 4,
            keepAliveTimeoutThreshold: keepAliveMarginMs,
            connect: (_options, callback) => this.openSocket(host, port, callback),
        });
        this.client.on("disconnect", () => {
            this.hasFailed = true;
        });
    }

    /** Whether the connection was reset: an answer that only ends with its connection is then not whole. */
    get wasReset(): boolean {
        return this.socket?.errored !== null && this.socket?.errored !== undefined;
    }

    get isUsable(): boolean {
        return !this.hasFailed && !this.client.closed && !this.client.destroyed;
    }

    /** Marks the end of a request. */
    finishUse(now: number): void {
        this.restingSince = now;
    }

    isRested(now: number): boolean {
        return now - this.restingSince >= restMs;
    }

    /**
     * Breaks off what is under way. A reset takes back bytes that a cut path holds up; with a mere close they arrive when
     * it heals: orders came 3 s after they were given up, below their giver's own newer token.
     */
    cancel(): void {
        if (this.socket !== undefined && !this.socket.connecting && !this.socket.destroyed) {
            this.socket.resetAndDestroy();
        }
        this.close();
    }

    /** Closes it at once. */
    close(): void {
        this.hasFailed = true;
        this.client.destroy().catch(() => {
            // The client is gone either way.
        });
    }

    private openSocket(host: string, port: number, callback: (...args: [Error, null] | [null, Socket]) => void): void {
        if (this.socket !== undefined) {
            // One connection carries what was decided for it; it is never opened anew behind a request's back.
            callback(new Error("connection closed"), null);
            return;
        }
        const socket = connect({ host, port, noDelay: true });
        this.socket = socket;
        const timer = setTimeout(
            () => socket.destroy(new errors.ConnectTimeoutError("connect timeout")),
            this.connectTimeoutMs,
        );
        const fail = (error: Error): void => {
            clearTimeout(timer);
            callback(error, null);
        };
        socket.once("error", fail);
        socket.once("connect", () => {
            clearTimeout(timer);
            socket.removeListener("error", fail);
            callback(null, socket);
        });
    }
}

/** Connections to all upstreams, by upstream id: a new incarnation at an old address gets new connections. */
export class ConnectionPool {
    private readonly idle = new Map<string, UpstreamConnection[]>();

    /** @param onOpen Called for each new connection. */
    constructor(private readonly onOpen: () => void = () => {}) {}

    /**
     * Takes a connection for one request.
     * @param isFresh Whether it must be a new one, since a request must not meet a connection that is just being closed.
     */
    claim(upstreamId: string, address: string, isFresh: boolean, now: number): UpstreamConnection {
        const connections = (this.idle.get(upstreamId) ?? []).filter(connection => connection.isUsable);
        this.idle.set(upstreamId, connections);
        const index = isFresh ? -1 : connections.findIndex(connection => connection.isRested(now));
        const [found] = index < 0 ? [] : connections.splice(index, 1);
        if (found !== undefined) {
            return found;
        }
        this.onOpen();
        return new UpstreamConnection(address);
    }

    /** Gives a connection back after a whole answer. */
    release(upstreamId: string, connection: UpstreamConnection, now: number): void {
        if (!connection.isUsable) {
            return;
        }
        connection.finishUse(now);
        const connections = this.idle.get(upstreamId) ?? [];
        connections.push(connection);
        this.idle.set(upstreamId, connections);
        if (connections.length > maxIdle) {
            connections.shift()!.close();
        }
    }

    /** Closes the idle connections of an upstream that is gone. */
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
