import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import polka, { type Polka } from "polka";

/** Idle time after which the system probes whether a caller's connection still lives, in milliseconds. */
const probeDelayMs = 10_000;

/** What a listener does with a request. `path` is the path with its query. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse, path: string) => Promise<void>;

/** One route of a listener: a method, or `all`, and polka's pattern. */
export interface Route {
    readonly method: "get" | "post" | "all";
    readonly pattern: string;
    readonly handler: RequestHandler;
}

/** Options of {@link HttpListener}. */
export interface HttpListenerOptions {
    readonly host: string;
    /** 0 lets the system choose. */
    readonly port: number;
    readonly routes: readonly Route[];
    /** Answers what no route matches. */
    readonly onUnknown: (response: ServerResponse) => void;
}

/** An HTTP listener that can stop without cutting a request off. */
export class HttpListener {
    private readonly server: Server = createServer({ keepAlive: true, keepAliveInitialDelay: probeDelayMs });
    private readonly app: Polka;

    constructor(private readonly options: HttpListenerOptions) {
        this.app = polka({ server: this.server, onNoMatch: (_request, response) => options.onUnknown(response) });
        for (const { method, pattern, handler } of options.routes) {
            this.app[method](pattern, (request, response) => void handler(request, response, request.originalUrl));
        }
    }

    /** Starts to listen and returns the address. */
    async start(): Promise<string> {
        const { host, port } = this.options;
        await new Promise<void>(resolve => this.app.listen(port, host, () => resolve()));
        return `${host}:${(this.server.address() as AddressInfo).port}`;
    }

    /** Takes no more connections; settles when every request under way has ended. */
    async stop(): Promise<void> {
        await new Promise<void>(resolve => {
            this.server.close(() => resolve());
            this.server.closeIdleConnections();
        });
    }
}
