import type { RefusedRequest } from "@radishreel/fleet";
import type { ListenAddress } from "@radishreel/wire";
import type { Server } from "node:http";
import polka, { type Polka } from "polka";
import { CallerExchange } from "./requests/caller.js";

/** What the readiness listener answers from. */
export interface ReadinessOptions {
    /** Where the balancer asks. */
    readonly path: string;
    /** Whether the balancer may send callers here. */
    readonly isReady: () => boolean;
    readonly readMetrics: () => Promise<string>;
    /** Requests that are refused since upstreams end under them. */
    readonly listRefused: () => readonly RefusedRequest[];
    /** Lets one of them run again. @returns Whether it was refused. */
    readonly releaseRequest: (digest: string) => boolean;
}

/** Listens for callers. */
export async function startCallers(
    server: Server,
    address: ListenAddress,
    handle: (caller: CallerExchange) => void,
): Promise<void> {
    // Bodies may come slowly; the request's own time bounds them.
    server.requestTimeout = 0;
    const app = polka({ server, onNoMatch: (request, response) => handle(new CallerExchange(request, response)) });
    await startListening(app, address);
}

/** Listens for the balancer, and for operators: metrics, and the requests that are refused for what they do. */
export async function startReadiness(
    server: Server,
    address: ListenAddress,
    { path, isReady, readMetrics, listRefused, releaseRequest }: ReadinessOptions,
): Promise<void> {
    const app = polka({ server });
    app.get(path, (_request, response) => {
        response.statusCode = isReady() ? 200 : 503;
        response.end();
    });
    app.get("/metrics", (_request, response) => {
        void readMetrics().then(text => response.end(text));
    });
    app.get("/quarantine", (_request, response) => {
        response.end(JSON.stringify(listRefused()));
    });
    app.delete("/quarantine/:digest", (request, response) => {
        response.statusCode = releaseRequest(String(request.params["digest"])) ? 204 : 404;
        response.end();
    });
    await startListening(app, address);
}

/** `host:port`. */
export function formatAddress(address: ListenAddress): string {
    return `${address.host}:${address.port}`;
}

async function startListening(app: Polka, address: ListenAddress): Promise<void> {
    await new Promise<void>(resolve => app.listen(address.port, address.host, () => resolve()));
}
