import { hasOrderlyEnd, SocketReader, StatusLineCheck } from "@radishreel/wire";
import type { Socket } from "node:net";
import { Client } from "undici";
import { readNow } from "../clock.js";
import type { ConnectTarget, UpstreamConnector } from "../paths/index.js";
import { FramingLimit } from "./framinglimit.js";

/** Idle timeout of a connection if the upstream announces none, in milliseconds. */
const keepAliveMs = 4000;

/** How long before the upstream's own idle timeout a connection is closed, in milliseconds. */
const keepAliveMarginMs = 600;

/**
 * Minimum idle time before reuse, in milliseconds. If the upstream sends a second response to the last request in this
 * time, that response is not taken for the response to the next request.
 */
const reuseDelayMs = 40;

const closedError = new Error("connection closed");

/** Options of {@link UpstreamConnection}. */
export interface UpstreamConnectionOptions {
    readonly target: ConnectTarget;
    readonly connector: UpstreamConnector;
    /** Maximum bytes of the body of a response. @default unlimited */
    readonly maxBodyBytes?: number;
}

/** One connection to an upstream, which carries one request at a time. */
export class UpstreamConnection {
    readonly client: Client;
    /** When the connection had opened, in milliseconds; infinite before. */
    openedAt = Infinity;
    private readonly opening = new AbortController();
    private carrier: string | undefined;
    private isUsed = false;
    private opened: Promise<Socket> | undefined;
    private socket: Socket | undefined;
    private reader: SocketReader | undefined;
    private hasFailed = false;
    private lastUsedAt = 0;
    private readonly framing = new FramingLimit();
    private readonly statusLines = new StatusLineCheck();
    private onFault: (detail: string) => void = () => {};

    constructor(private readonly options: UpstreamConnectionOptions) {
        this.client = new Client(`http://${options.target.address}`, {
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: keepAliveMs,
            keepAliveMaxTimeout: keepAliveMs * 4,
            keepAliveTimeoutThreshold: keepAliveMarginMs,
            maxResponseSize: options.maxBodyBytes ?? -1,
            connect: (_options, callback) => void this.passSocket(callback),
        });
        this.client.on("disconnect", () => {
            this.hasFailed = true;
        });
    }

    /** Opens the connection, unless it has been opened; rejects as its connector does. */
    open(): Promise<Socket> {
        this.opened ??= this.openSocket();
        return this.opened;
    }

    /** Whether the connection has failed, or was reset with an error that this process has seen. */
    get wasReset(): boolean {
        return this.socket?.errored !== null && this.socket?.errored !== undefined;
    }

    /**
     * Whether the end of the connection proves that a response without framing is complete. To be called at the end of such
     * a response only, as for {@link hasOrderlyEnd}. While the system has not taken the whole request nothing is proven: an
     * upstream that does not read the rest of it resets the connection, and that reset may still be on its way.
     */
    hasProvenEnd(): boolean {
        return this.socket !== undefined && this.socket.writableLength === 0 && hasOrderlyEnd(this.socket);
    }

    /** VM through which the connection goes; undefined for a direct one. */
    get via(): string | undefined {
        return this.carrier;
    }

    get isUsable(): boolean {
        return !this.hasFailed && !this.client.closed && !this.client.destroyed;
    }

    /** Pauses reading. */
    pause(): void {
        this.reader?.pause();
    }

    resume(): void {
        this.reader?.resume();
    }

    /**
     * Starts to check the bytes of another response.
     * @param onFault Called once they can be no response, or too many are no content; the connection is reset afterwards.
     */
    beginExchange(onFault: (detail: string) => void = () => {}): void {
        this.framing.restart();
        this.statusLines.restart();
        this.onFault = onFault;
    }

    /** Records bytes of the body of a response. */
    recordContent(bytes: number): void {
        this.framing.recordContent(bytes);
    }

    /** Records that a request on this connection has finished. */
    recordUse(now: number): void {
        this.lastUsedAt = now;
    }

    isReusable(now: number): boolean {
        return now - this.lastUsedAt >= reuseDelayMs;
    }

    /**
     * Resets the connection. A reset discards bytes that a broken network path delays. After a mere close they arrive
     * when the path recovers: an order can then arrive 3 s after its sender gave it up, with an older fencing token
     * than the sender's current one.
     */
    cancel(): void {
        if (this.socket?.destroyed === false) {
            this.socket.resetAndDestroy();
        }
        this.close();
    }

    /** Closes the connection immediately. */
    close(): void {
        this.hasFailed = true;
        this.opening.abort();
        this.client.destroy().catch(() => {
            // The client is destroyed either way.
        });
    }

    /** Checks bytes that were read. @returns The bytes; null if they, or how many came before, are no response. */
    private checkRead(bytes: unknown): unknown {
        if (bytes === null) {
            return null;
        }
        if (this.framing.isExceeded) {
            return this.refuseRead("too many bytes that are no content of a response");
        }
        if (!this.statusLines.receive(bytes as Buffer)) {
            return this.refuseRead("a status line that is not of HTTP/1.x");
        }
        this.framing.recordReceived((bytes as Buffer).length);
        return bytes;
    }

    private refuseRead(detail: string): null {
        this.onFault(detail);
        this.cancel();
        return null;
    }

    /** Passes the socket to undici, once. */
    private async passSocket(callback: (...args: [Error, null] | [null, Socket]) => void): Promise<void> {
        if (this.isUsed) {
            // A request was checked for this connection only; undici must not reconnect on its own.
            callback(closedError, null);
            return;
        }
        this.isUsed = true;
        try {
            const socket = await this.open();
            if (socket.destroyed || socket.readableEnded) {
                throw closedError;
            }
            callback(null, socket);
        }
        catch (error) {
            callback(error as Error, null);
        }
    }

    private async openSocket(): Promise<Socket> {
        const { target, connector } = this.options;
        const { socket, via } = await connector.open(target, this.opening.signal);
        if (this.hasFailed) {
            socket.destroy();
            throw closedError;
        }
        // The connection may fail before undici listens for that.
        socket.on("error", () => {});
        this.socket = socket;
        this.openedAt = readNow();
        const reader = new SocketReader({ socket });
        this.reader = reader;
        socket.read = (size): unknown => this.checkRead(reader.read(size));
        this.carrier = via;
        return socket;
    }
}
