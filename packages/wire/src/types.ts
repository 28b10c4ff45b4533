import * as z from "zod";

/** Version of the frame protocol. A link to a peer with another version is closed. */
export const protocolVersion = 1;

/** Roles of the processes that connect to each other. */
export const roleSchema = z.enum(["gateway", "agent", "node"]);

/** Identity of a process. The incarnation distinguishes a restarted process from its predecessor. */
export const nodeIdentitySchema = z.strictObject({
    id: z.string().min(1).max(128),
    role: roleSchema,
    dataCentre: z.string().min(1).max(64),
    /** Start time in milliseconds since the epoch; increases with every start of a process with the same id. */
    incarnation: z.number().int().nonnegative(),
    /** `host:port` at which other processes reach this one: its listener for peers or, for a gateway, for callers. */
    address: z.string().max(128),
});

/** See {@link nodeIdentitySchema}. */
export type NodeIdentity = z.infer<typeof nodeIdentitySchema>;

/** Formats an identity as `id#incarnation`, unique for each start of a process. */
export function formatIncarnation(identity: NodeIdentity): string {
    return `${identity.id}#${identity.incarnation}`;
}

/** Why a link closed. Each reason is a label value of the frame counter. */
export type CloseReason =
    | "asked"
    | "peerClosed"
    | "connectFailed"
    | "silent"
    /** The peer has not proved in time that it knows the secret. */
    | "lateHandshake"
    /** Another connection needs the room of one whose peer has not proved yet that it knows the secret. */
    | "displaced"
    | "oversizedFrame"
    | "malformedFrame"
    | "unknownMessage"
    | "wrongVersion"
    | "notAuthenticated"
    | "overrun";

/** Limits and intervals of a link. */
export interface LinkLimits {
    /** Time without a sent frame after which a heartbeat is sent, in milliseconds. @default 1000 */
    readonly heartbeatMs: number;
    /** Time without received bytes after which the link is closed, in milliseconds. @default 3000 */
    readonly silenceMs: number;
    /** `heartbeatMs` of the side that opened the connection. @default heartbeatMs */
    readonly clientHeartbeatMs: number;
    /** `silenceMs` of the side that accepted the connection. @default silenceMs */
    readonly clientSilenceMs: number;
    /** Size of the largest accepted frame, in bytes. @default 1048576 */
    readonly maxFrameBytes: number;
    /** Largest send buffer, in bytes; the link is closed when more wait to be sent. @default 16777216 */
    readonly maxBufferedBytes: number;
}

/** Fills in the defaults of {@link LinkLimits}. */
export function resolveLinkLimits(limits: Partial<LinkLimits> = {}): LinkLimits {
    const heartbeatMs = limits.heartbeatMs ?? 1000;
    const silenceMs = limits.silenceMs ?? 3000;
    return {
        heartbeatMs,
        silenceMs,
        clientHeartbeatMs: limits.clientHeartbeatMs ?? heartbeatMs,
        clientSilenceMs: limits.clientSilenceMs ?? silenceMs,
        maxFrameBytes: limits.maxFrameBytes ?? 1024 * 1024,
        maxBufferedBytes: limits.maxBufferedBytes ?? 16 * 1024 * 1024,
    };
}
