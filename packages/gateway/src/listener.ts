import { createHttpServer } from "@radishreel/wire";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import polka, { type Polka } from "polka";

/** Idle time after which TCP keep-alive probes a caller's connection, in milliseconds. */
const probeDelayMs = 10_000;

/** Handles a request. `path` includes the query. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse, path: string) => Promise<void>;

/** One route of a listener: a method (`all` for any) and a path pattern in polka's syntax. */
export interface Route {
    readonly method: "get" | "post" | "all";
    readonly pattern: string;
    readonly handler: RequestHandler;
}

/** Options of {@link HttpListener}. */
export interface HttpListenerOptions {
    readonly host: string;
    /** 0 lets the operating system choose a free port. */
    readonly port: number;
    readonly routes: readonly Route[];
    /** Most connections at a time. Beyond that, the one that has been idle for longest closes. */
    readonly maxConnections: number;
    /** Responds to requests that match no route. */
    readonly onUnknown: (response: ServerResponse) => void;
}

/** An HTTP listener that can stop without interrupting a request. */
export class HttpListener {
    private readonly server: Server;
    private readonly app: Polka;

    constructor(private readonly options: HttpListenerOptions) {
        const { maxConnections } = options;
        this.server = createHttpServer({
            maxConnections,
            keepAlive: true,
            keepAliveInitialDelay: probeDelayMs,
        }).server;
        this.app = polka({ server: this.server, onNoMatch: (_request, response) => options.onUnknown(response) });
        for (const { method, pattern, handler } of options.routes) {
            this.app[method](pattern, (request, response) => void handler(request, response, request.originalUrl));
        }
    }

    /** Starts listening and returns the address as `host:port`. */
    async start(): Promise<string> {
        const { host, port } = this.options;
        await new Promise<void>(resolve => this.app.listen(port, host, () => resolve()));
        return `${host}:${(this.server.address() as AddressInfo).port}`;
    }

    /** Accepts no more connections; resolves when every request in progress has ended. */
    async stop(): Promise<void> {
        await new Promise<void>(resolve => {
            this.server.close(() => resolve());
            this.server.closeIdleConnections();
        });
    }
}
