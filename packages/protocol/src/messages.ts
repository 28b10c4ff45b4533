import { changeSchema, entrySchema } from "@radishreel/offerings";
import { z } from "zod";

const idSchema = z.string().min(1).max(128);
const modelSchema = z.string().min(1).max(256);
const countSchema = z.number().int().nonnegative();
const versionSchema = z.number().int().min(-1);

/** Requests of one class that are waiting for a model. */
export const waitingSchema = z.strictObject({
    count: countSchema,
    /** Total waiting time of these requests when the message was created, in milliseconds. */
    ageMs: z.number().nonnegative(),
});

/** Default for a class that a message omits. */
const noWaitingRequests = { count: 0, ageMs: 0 };

/**
 * Demand of one gateway for one model. Counts are absolute; arrivals are those since the last message. Zero values are
 * omitted to keep messages small, because most models have arrivals only.
 */
export const modelDemandSchema = z.strictObject({
    model: modelSchema,
    paying: waitingSchema.default(noWaitingRequests),
    trial: waitingSchema.default(noWaitingRequests),
    payingArrivals: countSchema.default(0),
    trialArrivals: countSchema.default(0),
});

/** Requests for a model that are running, or may still be running, on an engine. */
export const modelUseSchema = z.strictObject({
    engineId: idSchema,
    model: modelSchema,
    paying: countSchema,
    trial: countSchema,
});

/** An engine that an owner leases to a gateway. */
export const engineGrantSchema = z.strictObject({
    id: idSchema,
    address: z.string(),
    /** Identifies the engine's process; a new value means that the engine has restarted without loaded adapters. */
    instance: z.string(),
    /** Fencing token of the owner. A gateway obeys the owner with the highest token. */
    fence: countSchema,
    batchRoom: countSchema,
    isLeaving: z.boolean(),
    /** Models that the gateway may use on the engine. */
    models: z.array(modelSchema),
});

/** Requests on an engine over all gateways, by the latest renewals that its owner has received. */
export const engineCountsSchema = z.strictObject({ id: idSchema, paying: countSchema, trial: countSchema });

/** State of an engine, as its owner reports it to the placer. */
export const engineSummarySchema = z.strictObject({
    id: idSchema,
    slots: countSchema,
    batchRoom: countSchema,
    isLeaving: z.boolean(),
    inFlight: countSchema,
    models: z.array(z.strictObject({
        model: modelSchema,
        state: z.enum(["loading", "loaded", "revoking", "evicting"]),
        inUse: countSchema,
    })),
});

/** An upstream of a plain service. */
export const serviceUpstreamSchema = z.strictObject({
    id: idSchema,
    address: z.string(),
    service: z.string(),
    isLeaving: z.boolean(),
});

/** Gateway to owner: renews every lease that the gateway holds from this owner, and reports its uses. */
const renewSchema = z.strictObject({
    type: z.literal("renew"),
    sequence: countSchema,
    /** Version of the last grant that the gateway has applied. */
    grantVersion: countSchema,
    offeringsVersion: versionSchema,
    uses: z.array(modelUseSchema),
    /** Uses that ended at the gateway without the engine's confirmation. */
    unsure: z.array(modelUseSchema),
});

/** Owner to gateway: reply to a renewal. `engines` is omitted if the grant has not changed. */
const grantSchema = z.strictObject({
    type: z.literal("grant"),
    sequence: countSchema,
    version: countSchema,
    leaseMs: z.number().positive(),
    engines: z.array(engineGrantSchema).optional(),
    /** Counts that have changed since they were last sent to the gateway. */
    counts: z.array(engineCountsSchema).optional(),
});

/** Gateway to placer: changes of the gateway's demand. */
const demandSchema = z.strictObject({
    type: z.literal("demand"),
    gateway: idSchema,
    changes: z.array(modelDemandSchema),
});

/** Placer to gateways: expected waiting time of an adapter load that is requested now. */
const outlookSchema = z.strictObject({
    type: z.literal("outlook"),
    payingWaitMs: z.number().nonnegative(),
    trialWaitMs: z.number().nonnegative(),
    loadMs: z.number().nonnegative(),
    /** Model that is being loaded. */
    loading: modelSchema.optional(),
});

const servicesSchema = z.strictObject({ type: z.literal("services"), upstreams: z.array(serviceUpstreamSchema) });
const agentsSchema = z.strictObject({ type: z.literal("agents"), addresses: z.array(z.string()) });

/** Any process to any other: an upstream is leaving. */
const leavingSchema = z.strictObject({
    type: z.literal("leaving"),
    upstreamId: idSchema,
    instance: z.string().optional(),
});

/** New placer to the gateways and agents of its data centre: requests their complete state. */
const askStateSchema = z.strictObject({ type: z.literal("askState") });

const engineSummariesSchema = z.strictObject({ type: z.literal("engines"), engines: z.array(engineSummarySchema) });

/** Placer to owner: load or evict `model` on the engine. */
const orderSchema = z.strictObject({
    type: z.literal("order"),
    action: z.enum(["load", "evict"]),
    engineId: idSchema,
    model: modelSchema,
});

const loadEndedSchema = z.strictObject({
    type: z.literal("loadEnded"),
    engineId: idSchema,
    model: modelSchema,
    outcome: z.enum(["loaded", "failed", "refused"]),
});

/** Placer to the placers of other data centres: whether it can use its data centre's share of the weight store. */
const storeShareSchema = z.strictObject({
    type: z.literal("storeShare"),
    dataCentre: z.string(),
    isWanting: z.boolean(),
});

/** Version of the offerings that the sender has; sent when a link opens and after every change. */
const haveSchema = z.strictObject({
    type: z.literal("have"),
    version: versionSchema,
    isKnown: z.boolean(),
    hasGap: z.boolean(),
});

/** Requests the changes after `version`, or the complete version. */
const wantSchema = z.strictObject({ type: z.literal("want"), version: versionSchema, isWhole: z.boolean() });

const changesSchema = z.strictObject({
    type: z.literal("changes"),
    changes: z.array(z.strictObject({
        version: versionSchema,
        base: versionSchema,
        digest: z.string(),
        applyId: z.string(),
        change: changeSchema,
    })),
});

/** A part of a complete version; parts arrive in order. */
const wholePartSchema = z.strictObject({
    type: z.literal("wholePart"),
    version: versionSchema,
    asOf: countSchema,
    digest: z.string(),
    part: countSchema,
    isLast: z.boolean(),
    entries: z.array(entrySchema),
});

/** Versions of the offerings that the nodes of a data centre have. */
const progressSchema = z.strictObject({
    type: z.literal("progress"),
    dataCentre: z.string(),
    nodes: countSchema,
    lowestVersion: versionSchema,
    /** Some of the nodes at the lowest version. */
    behind: z.array(idSchema),
});

/** Agent to placer: request for an explanation of a model's state. */
const explainSchema = z.strictObject({ type: z.literal("explain"), requestId: idSchema, model: modelSchema });

/** Placer to agent: reply to `explain`. */
const explainedSchema = z.strictObject({ type: z.literal("explained"), requestId: idSchema, explanation: z.unknown() });

/** Gateways to which others may forward requests and hand over ledgers, by the issuer named in their tokens. */
const gatewaysSchema = z.strictObject({
    type: z.literal("gateways"),
    gateways: z.array(z.strictObject({ issuer: idSchema, address: z.string() })),
});

/** Gateways that took over the token ledgers of gateways that have stopped. */
const heirsSchema = z.strictObject({
    type: z.literal("heirs"),
    heirs: z.array(z.strictObject({ issuer: idSchema, address: z.string(), until: countSchema })),
});

/** The sender is stopping and owns no engine any more. */
const byeSchema = z.strictObject({ type: z.literal("bye") });

/** Every message between gateways and agents, as it is received. */
export const messageSchema = z.discriminatedUnion("type", [
    renewSchema,
    grantSchema,
    demandSchema,
    outlookSchema,
    servicesSchema,
    agentsSchema,
    leavingSchema,
    engineSummariesSchema,
    askStateSchema,
    orderSchema,
    loadEndedSchema,
    storeShareSchema,
    haveSchema,
    wantSchema,
    changesSchema,
    wholePartSchema,
    progressSchema,
    gatewaysSchema,
    heirsSchema,
    explainSchema,
    explainedSchema,
    byeSchema,
]);

/** See {@link messageSchema}. */
export type Message = z.infer<typeof messageSchema>;
/** A message as it is sent; members with a default may be omitted. */
export type OutgoingMessage = z.input<typeof messageSchema>;
/** One kind of {@link Message}. */
export type MessageOf<Type extends Message["type"]> = Extract<Message, { type: Type; }>;
/** See {@link modelDemandSchema}. */
export type ModelDemand = z.infer<typeof modelDemandSchema>;
/** See {@link engineGrantSchema}. */
export type EngineGrant = z.infer<typeof engineGrantSchema>;
/** See {@link engineCountsSchema}. */
export type EngineCounts = z.infer<typeof engineCountsSchema>;
/** See {@link engineSummarySchema}. */
export type EngineSummary = z.infer<typeof engineSummarySchema>;
/** See {@link serviceUpstreamSchema}. */
export type ServiceUpstream = z.infer<typeof serviceUpstreamSchema>;
/** See {@link modelUseSchema}. */
export type ModelUse = z.infer<typeof modelUseSchema>;
