import {
    admissionAnswerSchema,
    admissionRequestSchema,
    crashReportSchema,
    engineNewsSchema,
    upstreamSchema,
} from "@radishreel/fleet";
import { routingSchema } from "@radishreel/routing";
import * as z from "zod";

const memberSchema = z.object({
    id: z.string(),
    address: z.string(),
    dataCentre: z.string().optional(),
    generation: z.number().optional(),
    hasLeft: z.boolean().optional(),
});

const position = z.number();

/** Highest positions read: of routes and versions, and of upstreams. */
const positionsSchema = z.object({ operator: position, upstreams: position });

/** See {@link positionsSchema}. */
export type ReadPositions = z.infer<typeof positionsSchema>;

/** See `ClusterChange` in ports.ts. */
const changeSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("routing"), routing: routingSchema, position }),
    z.object({ kind: z.literal("upstream"), upstream: upstreamSchema, position }),
    z.object({ kind: z.literal("upstreamGone"), name: z.string(), position }),
    z.object({
        kind: z.literal("version"),
        key: z.string(),
        version: z.number(),
        position,
        ageMs: z.number().nonnegative().optional(),
    }),
    z.object({ kind: z.literal("member"), member: memberSchema, position }),
]);

/** A process of a VM that handed its shards over. */
const giverSchema = z.object({ vm: z.string(), incarnation: z.number() });

/** See `QuotaVerdict` in quota.ts. */
const quotaVerdictSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("granted"), balance: z.number() }),
    z.object({ kind: z.literal("refused"), balance: z.number(), waitMs: z.number().optional() }),
    z.object({ kind: z.literal("unsure") }),
]);

/** What VMs tell each other. */
export const peerMessageSchema = z.discriminatedUnion("type", [
    /** VMs that the sender knows. Sent when a link opens. */
    z.object({ type: z.literal("members"), members: z.array(memberSchema) }),
    /** What the store said. The whole state when a link opens; after that only to VMs that asked for it. */
    z.object({ type: z.literal("changes"), changes: z.array(changeSchema) }),
    /** How far the sender has read, and whether it reads the store by itself and reaches it. */
    z.object({ type: z.literal("positions"), positions: positionsSchema, canRead: z.boolean() }),
    /** The sender lacks changes that the receiver has read, and how far it has read itself. */
    z.object({ type: z.literal("pull"), positions: positionsSchema }),
    /** Whether the sender wants every change that the receiver learns, and how far it has read itself. */
    z.object({ type: z.literal("follow"), isWanted: z.boolean(), positions: positionsSchema }),
    /** The sender's word about engines that it owns. */
    z.object({ type: z.literal("news"), news: z.array(engineNewsSchema) }),
    /** Upstreams whose answers to the sender say that they leave. What is current when a link opens; after that what is new. */
    z.object({ type: z.literal("upstreamsLeaving"), upstreams: z.array(z.string()) }),
    /** To the owner of an engine: a request of the sender asks to be let in. */
    z.object({ type: z.literal("admit"), engine: z.string(), request: admissionRequestSchema }),
    /** From the owner of an engine, to a request that asked. */
    z.object({ type: z.literal("admission"), answer: admissionAnswerSchema }),
    /** To the owner of an engine: the prompt of a request is read. */
    z.object({ type: z.literal("begun"), engine: z.string(), ticket: z.number() }),
    /** To the owner of an engine: a request has ended, or waits no longer. */
    z.object({ type: z.literal("ended"), engine: z.string(), ticket: z.number() }),
    /** To a new owner of an engine: all requests of the sender that run there. */
    z.object({ type: z.literal("runs"), engine: z.string(), requests: z.array(admissionRequestSchema) }),
    /** To the owner of an engine: this adapter will be asked for. */
    z.object({
        type: z.literal("prepare"),
        engine: z.string(),
        want: z.object({
            key: z.string(),
            version: z.number(),
            /** Time for which a request will use it, in milliseconds. */
            runMs: z.number(),
            /** Time in which a request must be sent to be answered in time, in milliseconds. */
            onTimeMs: z.number(),
            /** How long it is wanted, in milliseconds. */
            lifeMs: z.number(),
        }),
    }),
    /** To the owner of an engine: it turned a request for this adapter away. */
    z.object({ type: z.literal("missing"), engine: z.string(), key: z.string() }),
    /** The sender gives no more orders to the engines of these shards. */
    z.object({ type: z.literal("release"), shards: z.array(z.number()), generation: z.number() }),
    /** The sender stops while the store is away and hands these shards to the receiver alone. */
    z.object({
        type: z.literal("handover"),
        shards: z.array(z.number()),
        deal: z.number(),
        depth: z.number(),
        givers: z.array(giverSchema),
    }),
    /** The sender has started, cannot renew its claims, or goes on for VMs that stopped, and asks what others know. */
    z.object({
        type: z.literal("claimQuery"),
        query: z.number(),
        newestDeal: z.number(),
        givers: z.array(giverSchema),
    }),
    /** Answer to a query: the deal that the sender last saw, and how long ago it asked for it. */
    z.object({
        type: z.literal("claimState"),
        query: z.number(),
        generation: z.number(),
        /** The newest deal that the sender knows of, from others too. */
        newestDeal: z.number(),
        shards: z.array(z.number()),
        /** Age of the last renewal that was answered, counted from its sending, in milliseconds. */
        renewalAgeMs: z.number(),
        /** Whether the sender has lately tried to renew and got no answer. */
        isCutOff: z.boolean(),
        /** Whether the sender knows that a VM for which the asker goes on has started again, or that none has. */
        giversHaveStarted: z.boolean(),
        giversAreGone: z.boolean(),
        /** Whether another VM has lately said that it goes on for the asker. */
        isTakenOver: z.boolean(),
    }),
    /** Upstreams that have ended, and what ran there. What is current when a link opens; after that what is new. */
    z.object({ type: z.literal("crashReports"), reports: z.array(crashReportSchema) }),
    /** To the referee of a suspected request: the sender wants to run it. */
    z.object({ type: z.literal("claimPermit"), request: z.string(), ticket: z.number() }),
    /** From the referee: whether it may. */
    z.object({ type: z.literal("permitAnswer"), request: z.string(), ticket: z.number(), mayRun: z.boolean() }),
    /** To the referee: the run is over, and what it ended has been told. */
    z.object({ type: z.literal("releasePermit"), request: z.string(), ticket: z.number() }),
    /** Asks as of when the receiver knows the newest configuration. The sender has the one of this position. */
    z.object({ type: z.literal("confirmQuery"), query: z.number(), position }),
    /**
     * Answer to a query: the configuration of this position was the newest so long before the answer, in milliseconds. A
     * sender whose own one was older has been sent it before.
     */
    z.object({ type: z.literal("confirmation"), query: z.number(), position, ageMs: z.number().nonnegative() }),
    /** The sender leases its share of the quotas of these groups of accounts to the receiver, and of no others. */
    z.object({ type: z.literal("leaseShare"), groups: z.array(z.number().int().nonnegative()) }),
    /** To the coordinator of a group of accounts: a request asks for a part of its account's quota. */
    z.object({
        type: z.literal("claimQuota"),
        ticket: z.number(),
        account: z.string(),
        limit: z.object({ perSecond: z.number().positive(), burst: z.number().nonnegative() }),
        cost: z.number().nonnegative(),
    }),
    /** From the coordinator. */
    z.object({ type: z.literal("quotaAnswer"), ticket: z.number(), verdict: quotaVerdictSchema }),
    /** To the coordinator: a request that was granted its cost has not run. */
    z.object({ type: z.literal("returnQuota"), account: z.string(), cost: z.number().nonnegative() }),
    /** The sender is stopping and will take no part any more. */
    z.object({ type: z.literal("leaving") }),
]);

/** See {@link peerMessageSchema}. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;
