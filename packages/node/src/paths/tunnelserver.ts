import type { DirectPaths } from "@radishreel/fleet";
import { createHttpServer, hasOrderlyEnd, type ListenAddress } from "@radishreel/wire";
import { createHmac, timingSafeEqual } from "node:crypto";
import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { Transform } from "node:stream";
import { PendingReads } from "../reads.js";
import type { UpstreamConnector } from "./connector.js";

/** Maximum number of connections that this VM carries for others. Each takes two sockets and their buffers. */
const maxTunnels = 250;

/** Header with the id of the upstream incarnation that a tunnel leads to. */
export const upstreamHeader = "x-upstream";

/** Status of a refused tunnel. */
export const tunnelStatus = {
    opened: 200,
    /** The sender does not know the secret, or the upstream is unknown here. */
    forbidden: 403,
    /** The upstream refuses connections of this VM, which reaches others. */
    refused: 502,
    /** This VM carries no connections at present. */
    unavailable: 503,
    /** This VM has not reached the upstream either. */
    unreachable: 504,
} as const;

/** Options of {@link TunnelServer}. */
export interface TunnelServerOptions {
    /** Shared by all VMs of one deployment. */
    readonly secret: string;
    /** Most connections to this listener, tunnels or not. @default unlimited */
    readonly maxConnections?: number | undefined;
    readonly paths: DirectPaths;
    /** Opens direct connections only: a tunnel never leads through a third VM. */
    readonly connector: UpstreamConnector;
    /** Whether an upstream is registered under an id and an address. */
    readonly isKnown: (upstream: string, address: string) => boolean;
    readonly countUpstreams: () => number;
    readonly readTime: () => number;
}

/** Carries connections of other VMs to upstreams (HTTP `CONNECT`), for VMs that cannot connect to them. */
export class TunnelServer {
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private readonly closing = new AbortController();
    private readonly reads = new PendingReads();
    private isPaused = false;

    constructor(private readonly options: TunnelServerOptions) {
        const { maxConnections, readTime } = options;
        this.server = createHttpServer({ maxConnections, readTime }).server;
        this.server.on("request", (_request, response) => response.writeHead(404, { Connection: "close" }).end());
        this.server.on("connect", (request, socket: Socket) => void this.receiveConnect(request, socket));
    }

    /** Number of connections that this VM carries. */
    get count(): number {
        return this.sockets.size;
    }

    async start({ host, port }: ListenAddress): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(port, host, resolve));
    }

    /** Refuses new tunnels. Open ones stay. */
    pause(): void {
        this.isPaused = true;
    }

    stop(): void {
        this.closing.abort();
        this.server.close();
        this.sockets.forEach(socket => socket.resetAndDestroy());
    }

    private async receiveConnect(request: IncomingMessage, socket: Socket): Promise<void> {
        socket.on("error", () => socket.destroy());
        const address = request.url ?? "";
        const upstream = decodeUpstream(request);
        const refusal = this.findRefusal(request, upstream, address);
        if (refusal !== undefined) {
            sendStatus(socket, refusal);
            return;
        }
        const { connector } = this.options;
        try {
            const opened = await connector.open({ upstream, address }, this.closing.signal);
            this.startTunnel(socket, opened.socket);
        }
        catch {
            sendStatus(socket, this.readFailureStatus(upstream));
        }
    }

    private findRefusal(request: IncomingMessage, upstream: string, address: string): number | undefined {
        const { secret, isKnown } = this.options;
        if (!checkAuthorization(request.headers["proxy-authorization"], secret) || !isKnown(upstream, address)) {
            return tunnelStatus.forbidden;
        }
        if (this.isPaused || this.sockets.size >= maxTunnels) {
            return tunnelStatus.unavailable;
        }
        return this.mayTry(upstream) ? undefined : this.readFailureStatus(upstream);
    }

    /** Whether to connect to an upstream: an earlier refusal holds for a pause only, a path without replies for longer. */
    private mayTry(upstream: string): boolean {
        const { paths, readTime } = this.options;
        const failure = paths.findFailure(upstream);
        return failure === undefined || (failure === "refused" && paths.choose(upstream, readTime()).triesDirect);
    }

    /** A refusal proves that the upstream has ended only if this VM reaches most other upstreams. */
    private readFailureStatus(upstream: string): number {
        const { paths, countUpstreams } = this.options;
        const failure = paths.findFailure(upstream);
        if (failure === undefined) {
            // The upstream was removed while this VM connected to it.
            return tunnelStatus.forbidden;
        }
        const isProof = failure === "refused" && !paths.isCutOff(countUpstreams());
        return isProof ? tunnelStatus.refused : tunnelStatus.unreachable;
    }

    /** Creates a stream that holds bytes back until a reset right behind them has been read: the request is given up then. */
    private createDelay(): Transform {
        return new Transform({
            transform: (bytes: Buffer, _encoding, pass) => void this.reads.wait().then(() => pass(null, bytes)),
        });
    }

    /** Passes bytes both ways. A reset of one side resets the other, so that no response appears complete. */
    private startTunnel(socket: Socket, upstreamSocket: Socket): void {
        if (socket.destroyed) {
            upstreamSocket.destroy();
            return;
        }
        this.sockets.add(socket);
        socket.setNoDelay(true);
        socket.write("HTTP/1.1 200 Connection Established\r\n\r\n");
        for (const [from, to] of [[socket, upstreamSocket], [upstreamSocket, socket]] as const) {
            from.on("error", () => {
                if (!to.destroyed) {
                    to.resetAndDestroy();
                }
            });
            // Before the listener of `pipe`, which ends the other side in order.
            from.on("end", () => {
                if (!hasOrderlyEnd(from) && !to.destroyed) {
                    to.resetAndDestroy();
                }
            });
        }
        socket.pipe(this.createDelay()).pipe(upstreamSocket);
        upstreamSocket.pipe(socket);
        upstreamSocket.on("close", () => socket.end());
        socket.on("close", () => {
            this.sockets.delete(socket);
            upstreamSocket.destroy();
        });
    }
}

/** Creates the value of the authorization header of a tunnel. */
export function createAuthorization(secret: string): string {
    return `Bearer ${createHmac("sha256", secret).update("tunnel").digest("hex")}`;
}

/** Decodes the id of the upstream that a tunnel leads to; empty if the request names none in a readable form. */
function decodeUpstream({ headers }: IncomingMessage): string {
    try {
        return decodeURIComponent(String(headers[upstreamHeader] ?? ""));
    }
    catch {
        return "";
    }
}

function checkAuthorization(value: string | undefined, secret: string): boolean {
    const expected = Buffer.from(createAuthorization(secret));
    const received = Buffer.from(value ?? "");
    return received.length === expected.length && timingSafeEqual(received, expected);
}

function sendStatus(socket: Socket, status: number): void {
    socket.end(`HTTP/1.1 ${status} Tunnel Refused\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
}
