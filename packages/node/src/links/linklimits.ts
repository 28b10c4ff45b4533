import { type LinkLimits, resolveLinkLimits } from "@radishreel/wire";

/** Largest frame between VMs, in bytes: the whole state of a store with some thousand routes. */
const maxFrameBytes = 8 * 1024 * 1024;

/**
 * Heartbeats and the silence after which a link counts as dead, in milliseconds, where each VM is linked to each: faults last
 * some seconds. Only the side that opened a link sends on it and acts on its loss, so it hears heartbeats at the quicker
 * pace; the other side only needs to drop what is left of a VM that is gone, or of a path that is cut one way.
 */
const meshLimits = resolveLinkLimits({
    heartbeatMs: 400,
    silenceMs: 1500,
    callerHeartbeatMs: 1200,
    callerSilenceMs: 3000,
    maxFrameBytes,
});

/**
 * The same among more VMs, where both sides send on one link. That an owner of engines is silent shows in 180 ms by the
 * requests that ask it; a link that is dead only has to be opened anew. Each heartbeat wakes a VM, and an owner has a link to
 * all: by the intervals of a mesh its heartbeats alone would fill the processor of an owner among hundreds.
 */
const fleetLimits = resolveLinkLimits({
    heartbeatMs: 2500,
    silenceMs: 6000,
    maxFrameBytes,
});

/** How often links are looked at, in milliseconds: the shortest time between heartbeats. */
export const linkTickMs = meshLimits.heartbeatMs;

/** Limits of a link, by whether each VM is linked to each. */
export function chooseLinkLimits(isMesh: boolean): LinkLimits {
    return isMesh ? meshLimits : fleetLimits;
}
