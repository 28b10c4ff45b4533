import * as z from "zod";

/** Version of the frame protocol. A peer that speaks another one is refused. */
export const protocolVersion = 1;

/** Roles of the processes that talk to each other. */
export const roleSchema = z.enum(["gateway", "agent", "node"]);

/** Who a process is. The incarnation tells a restarted process from the one before it. */
export const nodeIdentitySchema = z.strictObject({
    id: z.string().min(1).max(128),
    role: roleSchema,
    dataCentre: z.string().min(1).max(64),
    /** Rises with every start of the same id: start time in milliseconds. */
    incarnation: z.number().int().nonnegative(),
    /** Where others reach this process: `host:port` of its listener for peers or, for a gateway, for callers. */
    address: z.string().max(128),
});

/** See {@link nodeIdentitySchema}. */
export type NodeIdentity = z.infer<typeof nodeIdentitySchema>;

/** Names one start of a process. */
export function formatIncarnation(identity: NodeIdentity): string {
    return `${identity.id}#${identity.incarnation}`;
}

/** Why a link ended. Each is a label of the frame counter. */
export type CloseReason =
    | "asked"
    | "peerClosed"
    | "connectFailed"
    | "silent"
    | "oversizedFrame"
    | "malformedFrame"
    | "unknownMessage"
    | "wrongVersion"
    | "notAuthenticated"
    | "overrun";

/** Limits and intervals of a link. */
export interface LinkLimits {
    /** A heartbeat is sent after this long without another frame. @default 1000 */
    readonly heartbeatMs: number;
    /** A link on which nothing arrives for this long is closed. @default 3000 */
    readonly silenceMs: number;
    /** The same heartbeat of the side that opened a link. @default heartbeatMs */
    readonly callerHeartbeatMs: number;
    /** The same silence on the side that accepted a link. @default silenceMs */
    readonly callerSilenceMs: number;
    /** Largest frame taken from a peer, in bytes. @default 1048576 */
    readonly maxFrameBytes: number;
    /** Most bytes that wait to be sent before the link is given up. @default 16777216 */
    readonly maxBufferedBytes: number;
}

/** Fills in the defaults of {@link LinkLimits}. */
export function resolveLinkLimits(limits: Partial<LinkLimits> = {}): LinkLimits {
    const heartbeatMs = limits.heartbeatMs ?? 1000;
    const silenceMs = limits.silenceMs ?? 3000;
    return {
        heartbeatMs,
        silenceMs,
        callerHeartbeatMs: limits.callerHeartbeatMs ?? heartbeatMs,
        callerSilenceMs: limits.callerSilenceMs ?? silenceMs,
        maxFrameBytes: limits.maxFrameBytes ?? 1024 * 1024,
        maxBufferedBytes: limits.maxBufferedBytes ?? 16 * 1024 * 1024,
    };
}
