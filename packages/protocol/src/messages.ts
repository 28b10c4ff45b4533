import { changeSchema, entrySchema } from "@radishreel/offerings";
import { z } from "zod";

const idSchema = z.string().min(1).max(128);
const modelSchema = z.string().min(1).max(256);
const countSchema = z.number().int().nonnegative();
const versionSchema = z.number().int().min(-1);

/** Requests of one class that wait for a model. */
export const waitingSchema = z.strictObject({
    count: countSchema,
    /** Sum of the time they have waited, in milliseconds, when the message was made. */
    ageMs: z.number().nonnegative(),
});

/** What is left out of a message counts as nobody waiting. */
const noneWaiting = { count: 0, ageMs: 0 };

/**
 * What one gateway wants of one model. Counts are absolute, arrivals are since the last message; what is zero is left
 * out, since most models are only counted.
 */
export const modelDemandSchema = z.strictObject({
    model: modelSchema,
    paying: waitingSchema.default(noneWaiting),
    trial: waitingSchema.default(noneWaiting),
    payingArrivals: countSchema.default(0),
    trialArrivals: countSchema.default(0),
});

/** Uses of a model on an engine: requests that run, or may still run. */
export const useSchema = z.strictObject({
    engineId: idSchema,
    model: modelSchema,
    paying: countSchema,
    trial: countSchema,
});

/** One engine as an owner leases it to a gateway. */
export const engineGrantSchema = z.strictObject({
    id: idSchema,
    address: z.string(),
    /** Names the engine's process; another value is a cold start. */
    instance: z.string(),
    /** Fencing token of the owner. A gateway follows the highest. */
    fence: countSchema,
    batchRoom: countSchema,
    isLeaving: z.boolean(),
    /** Models whose use is leased. */
    models: z.array(modelSchema),
});

/** Requests on one engine, over all gateways, as its owner last heard. */
export const engineCountsSchema = z.strictObject({ id: idSchema, paying: countSchema, trial: countSchema });

/** One engine as its owner sees it, for the placer. */
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

/** One upstream of a plain service. */
export const serviceUpstreamSchema = z.strictObject({
    id: idSchema,
    address: z.string(),
    service: z.string(),
    isLeaving: z.boolean(),
});

/** Gateway to owner: renews every lease it holds from that owner, and says what it uses. */
const renewSchema = z.strictObject({
    type: z.literal("renew"),
    sequence: countSchema,
    /** Version of the last grant that it has applied. */
    grantVersion: countSchema,
    offeringsVersion: versionSchema,
    uses: z.array(useSchema),
    /** Uses that ended without the engine's word for it. */
    unsure: z.array(useSchema),
});

/** Owner to gateway: answers a renewal. `engines` is left out where the grant has not changed. */
const grantSchema = z.strictObject({
    type: z.literal("grant"),
    sequence: countSchema,
    version: countSchema,
    leaseMs: z.number().positive(),
    engines: z.array(engineGrantSchema).optional(),
    /** Counts that have changed since the gateway was last told. */
    counts: z.array(engineCountsSchema).optional(),
});

const demandSchema = z.strictObject({
    type: z.literal("demand"),
    gateway: idSchema,
    changes: z.array(modelDemandSchema),
});

/** Placer to gateways: how long a load that is asked for now would wait. */
const outlookSchema = z.strictObject({
    type: z.literal("outlook"),
    payingWaitMs: z.number().nonnegative(),
    trialWaitMs: z.number().nonnegative(),
    loadMs: z.number().nonnegative(),
    /** Model that is being loaded now. */
    loading: modelSchema.optional(),
});

const servicesSchema = z.strictObject({ type: z.literal("services"), upstreams: z.array(serviceUpstreamSchema) });
const agentsSchema = z.strictObject({ type: z.literal("agents"), addresses: z.array(z.string()) });

/** Anyone to anyone: an upstream leaves. */
const leavingSchema = z.strictObject({
    type: z.literal("leaving"),
    upstreamId: idSchema,
    instance: z.string().optional(),
});

/** Placer to gateways and agents of its data centre: it has just become responsible, and must be told everything. */
const askStateSchema = z.strictObject({ type: z.literal("askState") });

const engineSummariesSchema = z.strictObject({ type: z.literal("engines"), engines: z.array(engineSummarySchema) });

/** Placer to owner: evict `evict` if given, or load `model`. */
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

/** Placer to the placers of other data centres: whether it can use its share of the weight store. */
const storeShareSchema = z.strictObject({
    type: z.literal("storeShare"),
    dataCentre: z.string(),
    isWanting: z.boolean(),
});

/** Which offerings the sender has; sent when a link opens and after every change. */
const haveSchema = z.strictObject({
    type: z.literal("have"),
    version: versionSchema,
    isKnown: z.boolean(),
    hasGap: z.boolean(),
});

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

/** One part of a whole version; parts arrive in order. */
const wholePartSchema = z.strictObject({
    type: z.literal("wholePart"),
    version: versionSchema,
    asOf: countSchema,
    digest: z.string(),
    part: countSchema,
    isLast: z.boolean(),
    entries: z.array(entrySchema),
});

/** How far the nodes of a data centre are with the offerings. */
const progressSchema = z.strictObject({
    type: z.literal("progress"),
    dataCentre: z.string(),
    nodes: countSchema,
    lowestVersion: versionSchema,
    /** Some of the nodes at the lowest version. */
    behind: z.array(idSchema),
});

/** The sender is stopping: it owns nothing any more. */
/** Agent to placer: what is known of a model. */
const explainSchema = z.strictObject({ type: z.literal("explain"), requestId: idSchema, model: modelSchema });

/** Placer to agent: the answer to `explain`. */
const explainedSchema = z.strictObject({ type: z.literal("explained"), requestId: idSchema, explanation: z.unknown() });

/** Gateways that others may forward to and hand over to, by what their tokens name them. */
const gatewaysSchema = z.strictObject({
    type: z.literal("gateways"),
    gateways: z.array(z.strictObject({ issuer: idSchema, address: z.string() })),
});

/** Who answers for the request tokens of gateways that have stopped. */
const heirsSchema = z.strictObject({
    type: z.literal("heirs"),
    heirs: z.array(z.strictObject({ issuer: idSchema, address: z.string(), until: countSchema })),
});

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
/** A message as it is sent: what has a default may be left out. */
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
/** See {@link useSchema}. */
export type Use = z.infer<typeof useSchema>;
