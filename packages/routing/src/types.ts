import * as z from "zod";
import { accountsSchema } from "./accounts.js";

/** What may be repeated of a request: `safe` ones at will, `unsafe` ones never, `stream`s only if they may be resumed. */
export const requestKindSchema = z.enum(["safe", "unsafe", "stream"]);

/** See {@link requestKindSchema}. */
export type RequestKind = z.infer<typeof requestKindSchema>;

/** One service that a route sends to, with its share among the route's targets. */
const targetSchema = z.object({ service: z.string(), weight: z.number().nonnegative() });

/** Which requests belong together, where they go and what they were promised. */
export const routeSchema = z.object({
    name: z.string(),
    /** Value of the `Host` header, in lower case and without its port. */
    host: z.string(),
    /** Begins and ends with a slash. */
    pathPrefix: z.string(),
    kind: requestKindSchema,
    targets: z.array(targetSchema).min(1),
    /** Longest time a caller is kept waiting, in milliseconds. */
    timeoutMs: z.number().positive(),
    /** An answer within this time earns its full worth, in milliseconds. */
    aimMs: z.number().positive(),
    /** Longest pause between two events of a stream that is still on time, in milliseconds. */
    gapAimMs: z.number().positive().optional(),
    /** 0 is the most urgent. */
    priority: z.number().int(),
    /** Most upstreams that may run one request. */
    maxAttempts: z.number().int().positive(),
    /** Whether a stream may go on at another upstream after its last event. */
    isResumable: z.boolean(),
    /** Whether callers need no key, where there are accounts; undefined if they do. */
    isPublic: z.boolean().optional(),
});

/** See {@link routeSchema}. */
export type Route = z.infer<typeof routeSchema>;

/** A base model that an engine may hold. */
const modelSchema = z.object({
    name: z.string(),
    weightsMb: z.number(),
    /** Load times in milliseconds: from the weight store, from the engine's memory, from its disk. */
    loadMs: z.number(),
    warmLoadMs: z.number(),
    diskLoadMs: z.number(),
    /** Size of one adapter of this model. */
    adapterMb: z.number(),
});

/** Limits shared by the engines of one service. */
export const engineLimitsSchema = z.object({
    /** Requests in one batch. */
    batchSlots: z.number().int().positive(),
    /** Memory for running requests and kept prompt parts, in tokens. */
    kvTokens: z.number().positive(),
    /** Adapters held at once, those on their way included. */
    adapterPlaces: z.number().int().nonnegative(),
    weightsMb: z.number(),
    /** Loads of base models that the weight store allows over all engines, each second. */
    loadsPerSecond: z.number(),
    models: z.array(modelSchema),
});

/** See {@link engineLimitsSchema}. */
export type EngineLimits = z.infer<typeof engineLimitsSchema>;

/** A group of interchangeable upstreams. */
export const serviceSchema = z.object({
    name: z.string(),
    /** Connections that one upstream takes from all callers together. */
    maxConnections: z.number().int().positive(),
    /** Set for model engines, missing for plain services. */
    engine: engineLimitsSchema.optional(),
});

/** See {@link serviceSchema}. */
export type Service = z.infer<typeof serviceSchema>;

/** What callers may send, and how long a connection of theirs may take or stay idle. */
export const callerLimitsSchema = z.object({
    maxHeaderBytes: z.number().int().positive(),
    maxBodyBytes: z.number().int().positive(),
    headerTimeoutMs: z.number().positive(),
    idleTimeoutMs: z.number().positive(),
});

/** See {@link callerLimitsSchema}. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

/** One accepted version of all routes and services. */
export const routingSchema = z.object({
    version: z.number(),
    routes: z.array(routeSchema),
    services: z.array(serviceSchema),
    limits: callerLimitsSchema,
    /** Client accounts; undefined where callers need no key. */
    accounts: accountsSchema.optional(),
});

/** See {@link routingSchema}. */
export type Routing = z.infer<typeof routingSchema>;

/** Whether a request of this route may run more than once. */
export function isIdempotent(route: Route): boolean {
    return route.kind === "safe" || (route.kind === "stream" && route.isResumable);
}
