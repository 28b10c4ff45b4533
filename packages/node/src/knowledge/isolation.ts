/**
 * Silence after which a VM counts as isolated when all VMs are linked to each other, in milliseconds. Two heartbeats,
 * sent every 400 ms, may be lost and a third may be late.
 */
const meshSilenceLimitMs = 1000;

/**
 * Silence after which a VM counts as isolated when VMs are linked only to owners of engines, in milliseconds. Each
 * owner sends a heartbeat every 2.5 s, so with 10 owners in other data centres four arrive per second. A VM without
 * shards may call the store only every 1.2 s, to renew its membership.
 */
const hubSilenceLimitMs = 2000;

/** Contact of a VM with other data centres and with the store. */
export interface ReachabilitySignals {
    /** Whether a VM of another data centre was ever linked. */
    readonly hasOthers: boolean;
    /** Time since the last frame from a VM of another data centre, in milliseconds. */
    readonly othersQuietMs: number;
    /** Time since the last call to the store that got a response, in milliseconds. */
    readonly storeQuietMs: number;
    /** Whether all VMs are linked to each other. */
    readonly isMesh: boolean;
}

/**
 * Detects that this VM is cut off from all other data centres and from the store. Callers still reach an isolated VM,
 * but it can use only the upstreams of its own data centre, and no VM may load adapters there, so it can serve few
 * model requests. An isolated VM therefore reports to the load balancer that it is not ready, and closes connections of
 * callers after the response.
 */
export class IsolationMonitor {
    private wasSilent = false;
    private isolated = false;

    get isIsolated(): boolean {
        return this.isolated;
    }

    /**
     * Updates the state. Two checks in a row must find silence: in the first check after a pause of the process, frames
     * that have arrived are not yet read.
     * @returns Whether the state changed.
     */
    update(signals: ReachabilitySignals): boolean {
        const silenceLimitMs = signals.isMesh ? meshSilenceLimitMs : hubSilenceLimitMs;
        const isSilent = signals.hasOthers && signals.othersQuietMs > silenceLimitMs
            && signals.storeQuietMs > silenceLimitMs;
        const wasIsolated = this.isolated;
        this.isolated = isSilent && this.wasSilent;
        this.wasSilent = isSilent;
        return this.isolated !== wasIsolated;
    }
}
