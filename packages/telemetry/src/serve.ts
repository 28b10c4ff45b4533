import { createHttpServer } from "@radishreel/wire";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import polka from "polka";
import type { Registry } from "prom-client";

/** Most connections of the load balancer and of those who read metrics. */
const maxConnections = 32;

/** Options of {@link startMetricsServer}. */
export interface MetricsServerOptions {
    readonly host: string;
    /** TCP port; 0 lets the operating system choose a free one. */
    readonly port: number;
    readonly registry: Registry;
    /** Whether the platform's load balancer may send requests to this process. */
    readonly isReady: () => boolean;
}

/** Serves `/metrics`, `/healthz` and `/readyz` over HTTP and returns the port. */
export async function startMetricsServer(options: MetricsServerOptions): Promise<{ server: Server; port: number; }> {
    const { server } = createHttpServer({ maxConnections });
    const app = polka({ server });
    app.get("/metrics", (_request, response) => {
        void options.registry.metrics().then(text => {
            response.setHeader("content-type", options.registry.contentType);
            response.end(text);
        });
    });
    app.get("/healthz", (_request, response) => {
        response.end("ok\n");
    });
    app.get("/readyz", (_request, response) => {
        response.statusCode = options.isReady() ? 200 : 503;
        response.end(options.isReady() ? "ready\n" : "not ready\n");
    });
    await new Promise<void>(resolve => app.listen(options.port, options.host, () => resolve()));
    return { server, port: (server.address() as AddressInfo).port };
}
