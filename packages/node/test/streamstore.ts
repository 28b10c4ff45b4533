/** The configuration and the store of simulated VMs. */
import type { SoftwareClaims, StreamRecord } from "@radishreel/fleet";
import type { Route, Routing } from "@radishreel/routing";

/** How long callers wait for their streams, in milliseconds. */
export const budgetMs = 15_000;

/** The only service. */
export const service = "s";

/** The only route. */
export const route: Route = {
    name: "r",
    host: "h",
    pathPrefix: "/",
    kind: "stream",
    targets: [{ service, weight: 1 }],
    timeoutMs: budgetMs,
    aimMs: 100,
    priority: 0,
    maxAttempts: 2,
    isResumable: true,
};

/** The configuration of all VMs. */
export const routing: Routing = {
    version: 1,
    routes: [route],
    services: [{ name: service, maxConnections: 10 }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

/** The store: entries of workers, claims of VMs, and records of streams. */
export class SimulatedStore {
    readonly claims = new Map<string, SoftwareClaims>();
    readonly records: StreamRecord[] = [];
    /** VMs that do not reach the store. */
    readonly cutOffVms = new Set<string>();
    /** Whether the store refuses all writes. */
    isReadOnly = false;
    appends = 0;
}
