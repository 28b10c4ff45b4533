import {
    admissionReplySchema,
    admissionRequestSchema,
    crashReportSchema,
    engineStatusSchema,
    limitChangeSchema,
    softwareClaimsSchema,
    streamRecordSchema,
    upstreamSchema,
    usageReportSchema,
} from "@radishreel/fleet";
import { routingSchema } from "@radishreel/routing";
import * as z from "zod";

const memberSchema = z.object({
    id: z.string(),
    address: z.string(),
    dataCentre: z.string().optional(),
    generation: z.number().optional(),
    fences: z.record(z.string(), z.number()).optional(),
    hasLeft: z.boolean().optional(),
    softwareClaims: softwareClaimsSchema.optional(),
    cores: z.number().nonnegative().optional(),
});

const position = z.number();

/** Highest log positions read: of routes and versions, and of upstreams. */
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

/** A process of a VM that handed over its shards. */
const handoverSourceSchema = z.object({ vm: z.string(), incarnation: z.number() });

/** See `ShardInTransit` in leasemessages.ts. */
const inTransitSchema = z.array(z.object({ shard: z.number(), forMs: z.number().nonnegative() })).optional();

/** See `QuotaVerdict` in quota.ts. */
const quotaVerdictSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("granted"),
        balance: z.number(),
        heldMs: z.number().optional(),
        nextMs: z.number().optional(),
    }),
    z.object({ kind: z.literal("queued"), expectedMs: z.number() }),
    z.object({ kind: z.literal("refused"), balance: z.number(), waitMs: z.number().optional() }),
    z.object({ kind: z.literal("unsure") }),
]);

/** Messages between VMs. */
export const peerMessageSchema = z.discriminatedUnion("type", [
    /** VMs that the sender knows. Sent when a link opens. */
    z.object({ type: z.literal("members"), members: z.array(memberSchema) }),
    /**
     * Changes read from the store. The whole state when a link opens; afterwards only to VMs that requested changes.
     */
    z.object({ type: z.literal("changes"), changes: z.array(changeSchema) }),
    /** Positions that the sender has read, and whether it reads the store itself and reaches it. */
    z.object({ type: z.literal("positions"), positions: positionsSchema, canRead: z.boolean() }),
    /**
     * Requests changes that the receiver has read and the sender lacks, with the positions that the sender has read.
     */
    z.object({ type: z.literal("pull"), positions: positionsSchema }),
    /** Whether the sender requests all changes that the receiver learns, with the positions that the sender read. */
    z.object({ type: z.literal("follow"), isWanted: z.boolean(), positions: positionsSchema }),
    /** Statuses of engines that the sender owns. */
    z.object({ type: z.literal("news"), news: z.array(engineStatusSchema) }),
    /**
     * Upstreams whose responses announce that they are leaving: all when a link opens, later only new ones.
     */
    z.object({ type: z.literal("upstreamsLeaving"), upstreams: z.array(z.string()) }),
    /**
     * Changes of the limits that upstreams name in their responses: the last change of each when a link opens, later
     * only new ones.
     */
    z.object({ type: z.literal("upstreamLimits"), limits: z.array(limitChangeSchema) }),
    /** To the owner of an engine: a request of the sender requests admission. */
    z.object({ type: z.literal("admit"), engine: z.string(), request: admissionRequestSchema }),
    /** From the owner of an engine: the reply to a request for admission. */
    z.object({ type: z.literal("admission"), answer: admissionReplySchema }),
    /** To the owner of an engine: the engine has read the prompt of a request. */
    z.object({ type: z.literal("begun"), engine: z.string(), ticket: z.number() }),
    /** To the owner of an engine: a request has finished, or no longer waits for admission. */
    z.object({ type: z.literal("ended"), engine: z.string(), ticket: z.number() }),
    /** To a new owner of an engine: all requests of the sender that run on the engine. */
    z.object({ type: z.literal("runs"), engine: z.string(), requests: z.array(admissionRequestSchema) }),
    /** To the owner of an engine: a request will need this adapter. */
    z.object({
        type: z.literal("prepare"),
        engine: z.string(),
        want: z.object({
            key: z.string(),
            version: z.number(),
            /** Time for which a request will use the adapter, in milliseconds. */
            runMs: z.number(),
            /** Time within which a request must be sent to meet its latency target, in milliseconds. */
            onTimeMs: z.number(),
            /** How long the load request stays valid, in milliseconds. */
            lifeMs: z.number(),
        }),
    }),
    /** To the owner of an engine: the engine rejected a request because it lacks this adapter. */
    z.object({ type: z.literal("missing"), engine: z.string(), key: z.string() }),
    /** To the other owners of engines: usage of engines by account since the last report. */
    z.object({ type: z.literal("accountUse"), usage: usageReportSchema }),
    /** The sender gives no more orders to the engines of these shards; earlier ones may still arrive. */
    z.object({
        type: z.literal("release"),
        shards: z.array(z.number()),
        generation: z.number(),
        inTransit: inTransitSchema,
    }),
    /** The sender stops while the store is unreachable, and hands these shards over to the receiver alone. */
    z.object({
        type: z.literal("handover"),
        shards: z.array(z.number()),
        deal: z.number(),
        depth: z.number(),
        givers: z.array(handoverSourceSchema),
        inTransit: inTransitSchema,
    }),
    /** Lease query. The sender has started, cannot renew its leases, or holds shards that were handed over to it. */
    z.object({
        type: z.literal("claimQuery"),
        query: z.number(),
        newestDeal: z.number(),
        givers: z.array(handoverSourceSchema),
    }),
    /** Reply to a lease query: the generation of the sender's last confirmed renewal, and the age of that renewal. */
    z.object({
        type: z.literal("claimState"),
        query: z.number(),
        generation: z.number(),
        /** Newest generation that the sender knows, also from other VMs. */
        newestDeal: z.number(),
        shards: z.array(z.number()),
        /** Age of the last confirmed renewal, counted from its sending, in milliseconds. */
        renewalAgeMs: z.number(),
        /** Whether recent renewals of the sender had no response. */
        isCutOff: z.boolean(),
        /**
         * Whether the sender knows that a handover source of the querying VM has restarted, and whether it knows that
         * none has.
         */
        giversHaveStarted: z.boolean(),
        giversAreGone: z.boolean(),
        /** Whether another VM has recently reported that it took over shards of the querying VM. */
        isTakenOver: z.boolean(),
        /** Whether the sender knows of no VM that ever took over shards of the querying VM. */
        wasNeverTakenOver: z.boolean().optional(),
    }),
    /**
     * Crash reports: upstreams that have ended, and what ran there: all when a link opens, later only new ones.
     */
    z.object({ type: z.literal("crashReports"), reports: z.array(crashReportSchema) }),
    /** To the permit issuer of a suspect request: the sender requests a permit to run it. */
    z.object({ type: z.literal("claimPermit"), request: z.string(), ticket: z.number() }),
    /** From the permit issuer: whether the request may run. */
    z.object({ type: z.literal("permitAnswer"), request: z.string(), ticket: z.number(), mayRun: z.boolean() }),
    /** To the permit issuer: the run is over, and upstreams that it ended have been reported. */
    z.object({ type: z.literal("releasePermit"), request: z.string(), ticket: z.number() }),
    /**
     * Asks when the receiver last knew that its configuration was the newest. The sender has the configuration of this
     * position.
     */
    z.object({ type: z.literal("confirmQuery"), query: z.number(), position }),
    /**
     * Reply to a confirmation query: `ageMs` before the reply, in milliseconds, the configuration of this position was
     * the newest. A querying VM with an older configuration has been sent the newer one before this reply.
     */
    z.object({ type: z.literal("confirmation"), query: z.number(), position, ageMs: z.number().nonnegative() }),
    /** The sender leases its share of the quotas of these groups, and of no others, to the receiver. */
    z.object({ type: z.literal("leaseShare"), groups: z.array(z.number().int().nonnegative()) }),
    /** To the coordinator of a group of quotas: a request claims part of a quota. */
    z.object({
        type: z.literal("claimQuota"),
        ticket: z.number(),
        key: z.string(),
        limit: z.object({
            perSecond: z.number().positive(),
            burst: z.number().nonnegative(),
            claimCost: z.number().positive().optional(),
        }),
        cost: z.number().nonnegative(),
        /** Set if the claim may wait at the coordinator. */
        wait: z.object({ priority: z.number(), patienceMs: z.number() }).optional(),
    }),
    /** From the coordinator: the verdict on a claim. */
    z.object({ type: z.literal("quotaAnswer"), ticket: z.number(), verdict: quotaVerdictSchema }),
    /** To the coordinator: a request whose cost was granted has not run. */
    z.object({ type: z.literal("returnQuota"), key: z.string(), cost: z.number().nonnegative() }),
    /** To the coordinator: the request of a waiting claim no longer waits. */
    z.object({ type: z.literal("cancelClaim"), ticket: z.number() }),
    /** Origins of streams that callers may resume: all that the receiver lacks when a link opens, later only new ones. */
    z.object({ type: z.literal("streamsBegun"), records: z.array(streamRecordSchema) }),
    /** Asks where a stream began; without `stream` only at which software versions streams may have begun. */
    z.object({ type: z.literal("streamQuery"), query: z.number(), stream: z.string().optional() }),
    /** Reply to a stream query. The claims are missing if the sender has not read those of all VMs. */
    z.object({
        type: z.literal("streamReply"),
        query: z.number(),
        record: streamRecordSchema.optional(),
        claims: softwareClaimsSchema.optional(),
        /** Other VMs that may be running, as far as the sender knows; only in a full mesh. */
        vms: z.array(z.string()).optional(),
    }),
    /** The sender is stopping: it will lease no shards and receive no handovers. */
    z.object({ type: z.literal("leaving") }),
]);

/** See {@link peerMessageSchema}. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;
