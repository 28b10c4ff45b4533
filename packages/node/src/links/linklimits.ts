import { type LinkLimits, resolveLinkLimits } from "@radishreel/wire";

/** Largest frame between VMs, in bytes: fits the whole state of a store with some thousand routes. */
const maxFrameBytes = 8 * 1024 * 1024;

/**
 * Heartbeat intervals and the silence after which a link counts as dead, in milliseconds, in a full mesh. They are
 * short because faults last only some seconds. Only the side that opened a link sends on it and acts on its loss,
 * so that side receives heartbeats at the shorter interval; the other side only needs to close links of VMs that are
 * gone, or of paths that are cut in one direction.
 */
const meshLimits = resolveLinkLimits({
    heartbeatMs: 400,
    silenceMs: 1500,
    clientHeartbeatMs: 1200,
    clientSilenceMs: 3000,
    maxFrameBytes,
});

/**
 * The same limits without a full mesh, where both sides send on one link. Requests that wait for admission detect an
 * unreachable owner within 180 ms; heartbeats only need to detect that a link must be reopened. Each heartbeat wakes a
 * VM, and an owner of engines is linked to all VMs: among hundreds of VMs, heartbeats at the intervals of a mesh would
 * use up its processor time.
 */
const fleetLimits = resolveLinkLimits({
    heartbeatMs: 2500,
    silenceMs: 6000,
    maxFrameBytes,
});

/** Interval at which links are checked, in milliseconds: the shortest heartbeat interval. */
export const linkTickMs = meshLimits.heartbeatMs;

/** Returns the limits of a link, in a full mesh or without one. */
export function chooseLinkLimits(isMesh: boolean): LinkLimits {
    return isMesh ? meshLimits : fleetLimits;
}
