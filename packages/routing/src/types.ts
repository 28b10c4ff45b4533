import * as z from "zod";
import { accountsSchema } from "./accounts.js";

/** Which requests may be retried: `safe` always, `unsafe` never, `stream` only if the stream may be resumed. */
export const requestKindSchema = z.enum(["safe", "unsafe", "stream"]);

/** See {@link requestKindSchema}. */
export type RequestKind = z.infer<typeof requestKindSchema>;

/** A service that a route sends requests to, with its weight among the route's targets. */
const targetSchema = z.object({ service: z.string(), weight: z.number().nonnegative() });

/** A route: which requests it matches, the services that serve them, and their limits. */
export const routeSchema = z.object({
    name: z.string(),
    /** Value of the `Host` header, in lower case and without its port. */
    host: z.string(),
    /** Starts and ends with a slash. */
    pathPrefix: z.string(),
    kind: requestKindSchema,
    targets: z.array(targetSchema).min(1),
    /** Longest time that a caller waits for a response, in milliseconds. */
    timeoutMs: z.number().positive(),
    /** Latency target of a response, in milliseconds. */
    aimMs: z.number().positive(),
    /** Longest gap between two events of a stream within its latency target, in milliseconds. */
    gapAimMs: z.number().positive().optional(),
    /** 0 is the most urgent. */
    priority: z.number().int(),
    /** Maximum number of upstreams that may run one request. */
    maxAttempts: z.number().int().positive(),
    /** Whether a broken stream may continue at another upstream after its last event. */
    isResumable: z.boolean(),
    /** Whether callers need no key although the configuration has accounts. @default false */
    isPublic: z.boolean().optional(),
});

/** See {@link routeSchema}. */
export type Route = z.infer<typeof routeSchema>;

/** A base model that an engine may hold. */
const modelSchema = z.object({
    name: z.string(),
    weightsMb: z.number(),
    /** Load times in milliseconds: from the weight store, from the engine's memory (warm) and from its disk. */
    loadMs: z.number(),
    warmLoadMs: z.number(),
    diskLoadMs: z.number(),
    /** Size of one adapter of this model, in megabytes. */
    adapterMb: z.number(),
});

/** Limits shared by the engines of one service. */
export const engineLimitsSchema = z.object({
    /** Maximum number of requests in one batch. */
    batchSlots: z.number().int().positive(),
    /** Memory for running requests and cached prompt parts, in tokens. */
    kvTokens: z.number().positive(),
    /** Number of adapter slots; a loading adapter occupies a slot. */
    adapterPlaces: z.number().int().nonnegative(),
    weightsMb: z.number(),
    /** Loads of base models per second that the weight store allows over all engines. */
    loadsPerSecond: z.number(),
    models: z.array(modelSchema),
});

/** See {@link engineLimitsSchema}. */
export type EngineLimits = z.infer<typeof engineLimitsSchema>;

/** A group of interchangeable upstreams. */
export const serviceSchema = z.object({
    name: z.string(),
    /** Connections that one upstream accepts from all callers together. */
    maxConnections: z.number().int().positive(),
    /** Path on which upstreams answer health checks; undefined if they answer none. */
    healthCheckPath: z.string().optional(),
    /** Set for model engines, undefined for plain services. */
    engine: engineLimitsSchema.optional(),
});

/** See {@link serviceSchema}. */
export type Service = z.infer<typeof serviceSchema>;

/** Limits on the size of callers' requests and on the times of their connections. */
export const callerLimitsSchema = z.object({
    maxHeaderBytes: z.number().int().positive(),
    maxBodyBytes: z.number().int().positive(),
    headerTimeoutMs: z.number().positive(),
    idleTimeoutMs: z.number().positive(),
});

/** See {@link callerLimitsSchema}. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

/** One accepted version of the configuration: all routes, services, limits and accounts. */
export const routingSchema = z.object({
    version: z.number(),
    routes: z.array(routeSchema),
    services: z.array(serviceSchema),
    limits: callerLimitsSchema,
    /** Client accounts; undefined if callers need no key. */
    accounts: accountsSchema.optional(),
});

/** See {@link routingSchema}. */
export type Routing = z.infer<typeof routingSchema>;

/** Whether requests of a route may run more than once. */
export function isIdempotent(route: Route): boolean {
    return route.kind === "safe" || (route.kind === "stream" && route.isResumable);
}
