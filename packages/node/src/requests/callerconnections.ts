import type { Socket } from "node:net";
import type { CallerExchange } from "./caller.js";

interface WaitingRequest {
    readonly caller: CallerExchange;
    readonly serve: () => void;
    readonly receivedAt: number;
}

interface CallerConnection {
    readonly socket: Socket;
    /** The request that is served now. */
    current: CallerExchange | undefined;
    /** Later requests, in the order of their arrival. */
    readonly waiting: WaitingRequest[];
    /** When the connection was opened or its last response was sent. */
    idleSince: number;
    /** Bytes that had been read by then. */
    idleBytes: number;
}

/**
 * The connections of callers. Serves the requests of one connection one after the other, and only while the connection
 * can carry a response: a request behind one whose connection closes must not reach an upstream.
 */
export class CallerConnections {
    private readonly connections = new Map<Socket, CallerConnection>();

    /**
     * @param readTime Clock in milliseconds.
     * @param countWaitingBytes Counts the bytes of a connection that were read and not parsed yet.
     */
    constructor(
        private readonly readTime: () => number,
        private readonly countWaitingBytes: (socket: Socket) => number = () => 0,
    ) {}

    /** Adds a connection that a caller has opened. */
    add(socket: Socket): void {
        const connection: CallerConnection = {
            socket,
            current: undefined,
            waiting: [],
            idleSince: this.readTime(),
            idleBytes: socket.bytesRead,
        };
        this.connections.set(socket, connection);
        // The responses learn of this only once the connection is closed on both sides.
        socket.once("end", () => receiveDeparture(connection)).once("error", () => receiveDeparture(connection));
        socket.once("close", () => this.connections.delete(socket));
    }

    /** Serves a request once the responses before it on its connection are complete; never if the connection closes. */
    receive(caller: CallerExchange, serve: () => void): void {
        const connection = this.connections.get(caller.request.socket);
        if (connection?.socket.writable !== true) {
            return;
        }
        if (connection.current === undefined) {
            this.start(connection, caller, serve);
            return;
        }
        (connection.waiting.at(-1)?.caller ?? connection.current).hasSuccessor = true;
        connection.waiting.push({ caller, serve, receivedAt: this.readTime() });
    }

    /**
     * Closes the connections that have carried nothing for some time, in milliseconds.
     * @returns Whether connections remain that close now, carry a request or may soon do so.
     */
    closeIdle(minIdleMs: number): boolean {
        let remains = false;
        for (const { socket, current, idleSince, idleBytes } of this.connections.values()) {
            const isQuiet = current === undefined && this.countWaitingBytes(socket) === 0;
            const isIdle = isQuiet && this.readTime() - idleSince >= minIdleMs;
            // What has arrived since may be the beginning of a request.
            const mayClose = isIdle && socket.bytesRead === idleBytes;
            if (mayClose) {
                socket.destroySoon();
            }
            remains ||= mayClose || !isIdle;
        }
        return remains;
    }

    private start(connection: CallerConnection, caller: CallerExchange, serve: () => void): void {
        connection.current = caller;
        caller.onClosed(() => this.finish(connection));
        serve();
    }

    private finish(connection: CallerConnection): void {
        const { socket } = connection;
        connection.current = undefined;
        connection.idleSince = this.readTime();
        connection.idleBytes = socket.bytesRead;
        const next = connection.waiting.shift();
        if (next !== undefined && socket.writable) {
            next.caller.waitedMs = this.readTime() - next.receivedAt;
            this.start(connection, next.caller, next.serve);
        }
    }
}

/** Stops serving the requests of a connection that its caller has closed, or that has failed. */
function receiveDeparture({ current, waiting }: CallerConnection): void {
    current?.receiveDeparture();
    waiting.forEach(({ caller }) => caller.receiveDeparture());
}
