import type { ListenAddress } from "@radishreel/wire";
import type { Server } from "node:http";
import polka, { type Polka } from "polka";
import { CallerExchange } from "./caller.js";

/** What the readiness listener answers from. */
export interface ReadinessOptions {
    /** Where the balancer asks. */
    readonly path: string;
    /** Whether the balancer may send callers here. */
    readonly isReady: () => boolean;
    readonly readMetrics: () => Promise<string>;
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

/** Listens for the balancer, and for those who read the metrics. */
export async function startReadiness(
    server: Server,
    address: ListenAddress,
    { path, isReady, readMetrics }: ReadinessOptions,
): Promise<void> {
    const app = polka({ server });
    app.get(path, (_request, response) => {
        response.statusCode = isReady() ? 200 : 503;
        response.end();
    });
    app.get("/metrics", (_request, response) => {
        void readMetrics().then(text => response.end(text));
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
