import { createServer, type IncomingMessage, type Server, type ServerOptions, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { RequestReader } from "./requestreader.js";

/** Interval at which the server looks for heads that are late, in milliseconds. */
const headsCheckMs = 1000;

/** Time by which a head may be later than its timeout, in milliseconds: it may have waited for its turn to be read. */
const headSlackMs = 1000;

/** What clients of a server may send. */
export interface HttpLimits {
    /** Longest head of a request, in bytes. */
    readonly maxHeaderBytes: number;
    /** Longest time from the first byte of a head to its last, in milliseconds. */
    readonly headerTimeoutMs: number;
    /** Longest time without a request, in milliseconds. */
    readonly idleTimeoutMs: number;
}

const defaultLimits: HttpLimits = { maxHeaderBytes: 16 * 1024, headerTimeoutMs: 60_000, idleTimeoutMs: 60_000 };

/** Options of {@link createHttpServer}. */
export interface HttpServerOptions extends ServerOptions {
    /**
     * Most connections at a time. Beyond that, the one that has been idle for longest closes in favour of a new one.
     * @default unlimited
     */
    readonly maxConnections?: number | undefined;
    /** Clock in milliseconds. @default performance.now */
    readonly readTime?: (() => number) | undefined;
}

/** The response to bytes that Node.js cannot parse, by its error code. */
const failures: Readonly<Record<string, readonly [number, string]>> = {
    HPE_HEADER_OVERFLOW: [431, "Request Header Fields Too Large"],
    HPE_CHUNK_EXTENSIONS_OVERFLOW: [413, "Payload Too Large"],
    ERR_HTTP_REQUEST_TIMEOUT: [408, "Request Timeout"],
};

/**
 * Creates an HTTP server whose connections are bounded. Bodies of its requests arrive only while they flow: read them with
 * `data`, `resume` or `pipe`, not with an iterator.
 */
export function createHttpServer(options: HttpServerOptions = {}): { server: Server; connections: HttpConnections; } {
    const { maxConnections, readTime, ...serverOptions } = options;
    const server = createServer({ connectionsCheckingInterval: headsCheckMs, ...serverOptions });
    return { server, connections: new HttpConnections(server, maxConnections, readTime) };
}

/** Bounds what the clients of an HTTP server cost: reads their requests in turn, and closes idle connections. */
export class HttpConnections {
    private readonly readers = new Map<Socket, RequestReader>();
    private limits = defaultLimits;

    /** See {@link HttpServerOptions}. */
    constructor(
        private readonly server: Server,
        private readonly maxConnections = Infinity,
        private readonly readTime = () => performance.now(),
    ) {
        // The length of a head bounds its headers; Node.js would leave out those beyond a count.
        server.maxHeadersCount = 0;
        // How long a body may take is up to those who read it.
        server.requestTimeout = 0;
        this.setLimits(this.limits);
        server.on("connection", (socket: Socket) => this.receiveConnection(socket));
        server.on("request", (request, response) => this.receiveRequest(request, response));
        server.on("connect", ({ socket }: IncomingMessage) => {
            socket.setTimeout(0);
            this.readers.get(socket)?.endReading();
        });
        server.on("clientError", (error: NodeJS.ErrnoException, socket) => this.fail(error, socket as Socket));
    }

    /**
     * Sets what clients may send. The length of heads holds for connections that open from now on, so idle ones close, and
     * others are to close after their next response; see {@link isOutdated}.
     */
    setLimits(limits: HttpLimits): void {
        const hasChanged = limits.maxHeaderBytes !== this.limits.maxHeaderBytes;
        this.limits = limits;
        if (hasChanged) {
            this.closeOutdated();
        }
        // Node.js refuses a head of exactly the length that it is given.
        Object.assign(this.server, { maxHeaderSize: limits.maxHeaderBytes + 1 });
        this.server.headersTimeout = limits.headerTimeoutMs + headSlackMs;
        this.server.keepAliveTimeout = limits.idleTimeoutMs;
    }

    /** Whether a connection was opened under another limit of the length of heads. */
    isOutdated(socket: Socket): boolean {
        const opened = this.readers.get(socket)?.maxHeaderBytes;
        return opened !== undefined && opened !== this.limits.maxHeaderBytes;
    }

    /** Counts the bytes of a connection that were read and wait until the requests before them have been served. */
    countWaitingBytes(socket: Socket): number {
        return this.readers.get(socket)?.waitingBytes ?? 0;
    }

    private closeOutdated(): void {
        for (const [socket, reader] of this.readers) {
            if (reader.isIdle && reader.waitingBytes === 0 && this.isOutdated(socket)) {
                socket.destroySoon();
            }
        }
    }

    private receiveConnection(socket: Socket): void {
        const { maxHeaderBytes, idleTimeoutMs } = this.limits;
        if (this.readers.size >= this.maxConnections) {
            const oldest = this.findIdle();
            if (oldest === undefined) {
                socket.destroy();
                return;
            }
            this.readers.delete(oldest);
            oldest.destroy();
        }
        this.readers.set(socket, new RequestReader({ socket, readTime: this.readTime, maxHeaderBytes }));
        socket.once("close", () => this.readers.delete(socket));
        socket.setTimeout(idleTimeoutMs);
    }

    /** Finds the connection without a request that has been idle for longest, first among those that never had one. */
    private findIdle(): Socket | undefined {
        let found: [Socket, RequestReader] | undefined;
        for (const entry of this.readers) {
            const [, reader] = entry;
            if (reader.isIdle && (found === undefined || isRatherClosed(reader, found[1]))) {
                found = entry;
            }
        }
        return found?.[0];
    }

    private receiveRequest(request: IncomingMessage, response: ServerResponse): void {
        const reader = this.readers.get(request.socket);
        if (reader?.hasServed === false) {
            // From now on the server sets the timeouts of the connection.
            request.socket.setTimeout(0);
        }
        reader?.receiveRequest(request, response);
    }

    private fail(error: NodeJS.ErrnoException, socket: Socket): void {
        const reader = this.readers.get(socket);
        const isLate = error.code === "ERR_HTTP_REQUEST_TIMEOUT";
        if (isLate && socket.bytesRead === 0) {
            // Node.js counts the time of a head from the start of its connection.
            return;
        }
        const [status, reason] = failures[error.code ?? ""] ?? [400, "Bad Request"];
        if (reader === undefined) {
            socket.destroy();
            return;
        }
        reader.fail(status, reason);
    }
}

function isRatherClosed(one: RequestReader, other: RequestReader): boolean {
    return one.hasServed === other.hasServed ? one.idleSince < other.idleSince : !one.hasServed;
}
