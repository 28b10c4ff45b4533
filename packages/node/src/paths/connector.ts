import { parseAddress } from "@radishreel/wire";
import { connect, type Socket } from "node:net";
import { errors } from "undici";

/** Maximum wait for a connection, in milliseconds. Connecting within a region takes some milliseconds. */
const defaultConnectTimeoutMs = 400;

/** Starts to open a socket. */
export type OpenSocket = (host: string, port: number) => Socket;

/** How opening a connection ended. */
export type ConnectOutcome = "opened" | "refused" | "timeout" | "failed" | "cancelled";

/** An upstream to which a connection is opened. */
export interface ConnectTarget {
    /** Id of the upstream incarnation. */
    readonly upstream: string;
    /** `host:port` of the upstream. */
    readonly address: string;
}

/** A connection that is open. */
export interface OpenedConnection {
    readonly socket: Socket;
    /** VM through which the connection goes; undefined for a direct one. */
    readonly via?: string | undefined;
}

/** Opens connections to upstreams. */
export interface UpstreamConnector {
    /** Whether an idle connection may carry another request. @param via As for {@link OpenedConnection}. */
    mayReuse(target: ConnectTarget, via: string | undefined): boolean;
    /** @param signal Cancels the connection while it is being opened. */
    open(target: ConnectTarget, signal: AbortSignal): Promise<OpenedConnection>;
}

/** Options of {@link DirectConnector}. */
export interface DirectConnectorOptions {
    /** @default a TCP connection without delay of small writes */
    readonly openSocket?: OpenSocket | undefined;
    /** @default 400 */
    readonly timeoutMs?: number | undefined;
    /** Called with the end of each attempt to open a connection. */
    readonly onOutcome?: ((outcome: ConnectOutcome, target: ConnectTarget) => void) | undefined;
}

/** Opens connections from this VM to upstreams. */
export class DirectConnector implements UpstreamConnector {
    constructor(private readonly options: DirectConnectorOptions = {}) {}

    mayReuse(): boolean {
        return true;
    }

    async open(target: ConnectTarget, signal: AbortSignal): Promise<OpenedConnection> {
        const { openSocket = openTcpSocket, timeoutMs = defaultConnectTimeoutMs, onOutcome } = this.options;
        const { host, port } = parseAddress(target.address);
        try {
            const socket = await waitUntilOpen(openSocket(host, port), timeoutMs, signal);
            onOutcome?.("opened", target);
            return { socket };
        }
        catch (error) {
            onOutcome?.(signal.aborted ? "cancelled" : decodeConnectError(error), target);
            throw error;
        }
    }
}

/** Opens a TCP connection without delay of small writes. */
export function openTcpSocket(host: string, port: number): Socket {
    return connect({ host, port, noDelay: true });
}

/** Waits until a socket is open; destroys it if that fails, takes too long or is cancelled. */
export function waitUntilOpen(socket: Socket, timeoutMs: number, signal: AbortSignal): Promise<Socket> {
    return new Promise((resolve, reject) => {
        const finish = (): void => {
            clearTimeout(timer);
            signal.removeEventListener("abort", cancel);
            socket.removeListener("error", fail);
            socket.removeListener("connect", succeed);
        };
        const succeed = (): void => {
            finish();
            resolve(socket);
        };
        const fail = (error: Error): void => {
            finish();
            socket.destroy();
            reject(error);
        };
        const cancel = (): void => fail(new Error("connection cancelled"));
        const timer = setTimeout(() => fail(new errors.ConnectTimeoutError("connect timeout")), timeoutMs);
        socket.once("error", fail);
        socket.once("connect", succeed);
        signal.addEventListener("abort", cancel);
        if (signal.aborted) {
            cancel();
        }
    });
}

function decodeConnectError(error: unknown): ConnectOutcome {
    const { code } = error as NodeJS.ErrnoException;
    return code === "ECONNREFUSED" ? "refused" : error instanceof errors.ConnectTimeoutError ? "timeout" : "failed";
}
