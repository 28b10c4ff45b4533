import type { CondemnedParts, RefusedRequest } from "@radishreel/fleet";
import type { ListenAddress } from "@radishreel/wire";
import type { Server } from "node:http";
import polka, { type Polka } from "polka";
import { CallerExchange } from "./requests/caller.js";

/** Options of {@link startReadinessListener}. */
export interface ReadinessOptions {
    /** URL path of the load balancer's readiness check. */
    readonly path: string;
    /** Whether the load balancer may send callers to this VM. */
    readonly isReady: () => boolean;
    readonly readMetrics: () => Promise<string>;
    /** Lists quarantined requests, which are rejected because upstream processes ended while running them. */
    readonly listRefused: () => readonly RefusedRequest[];
    /** Releases a request from quarantine. @returns Whether the request was quarantined. */
    readonly releaseRequest: (digest: string) => boolean;
    /** Lists parts of prompts whose requests are rejected because upstream processes ended under them. */
    readonly listCondemnedParts: () => readonly CondemnedParts[];
    /** Releases a part of prompts from quarantine. @returns Whether the part was condemned. */
    readonly releasePart: (part: string) => boolean;
}

/** Starts the listener for callers. */
export async function startCallerListener(
    server: Server,
    address: ListenAddress,
    handle: (caller: CallerExchange) => void,
): Promise<void> {
    const app = polka({ server, onNoMatch: (request, response) => handle(new CallerExchange(request, response)) });
    await startListening(app, address);
}

/** Starts the listener for readiness checks of the load balancer, metrics and quarantined requests. */
export async function startReadinessListener(
    server: Server,
    address: ListenAddress,
    options: ReadinessOptions,
): Promise<void> {
    const { path, isReady, readMetrics, listRefused, releaseRequest, listCondemnedParts, releasePart } = options;
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
    app.get("/quarantine/parts", (_request, response) => {
        response.end(JSON.stringify(listCondemnedParts()));
    });
    app.delete("/quarantine/parts/:part", (request, response) => {
        response.statusCode = releasePart(String(request.params["part"])) ? 204 : 404;
        response.end();
    });
    app.delete("/quarantine/:digest", (request, response) => {
        response.statusCode = releaseRequest(String(request.params["digest"])) ? 204 : 404;
        response.end();
    });
    await startListening(app, address);
}

/** Formats an address as `host:port`. */
export function formatAddress(address: ListenAddress): string {
    return `${address.host}:${address.port}`;
}

async function startListening(app: Polka, address: ListenAddress): Promise<void> {
    await new Promise<void>(resolve => app.listen(address.port, address.host, () => resolve()));
}
