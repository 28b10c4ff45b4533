/**
 * How long a VM must have heard of nobody outside its data centre, in milliseconds, to count as cut off: two heartbeats of
 * 400 ms may be lost, and one may be late.
 */
const meshSilentMs = 1000;

/**
 * The same among more VMs, which hear heartbeats of 2.5 s from each owner of engines: of 10 owners in other data centres each
 * second four, and renew their claims every 1.2 s.
 */
const fleetSilentMs = 2000;

/** What a VM hears of the world outside its data centre. */
export interface OutsideSigns {
    /** Whether VMs of other data centres are known at all. */
    readonly hasOthers: boolean;
    /** Time since any of them was heard, in milliseconds. */
    readonly othersQuietMs: number;
    /** Age of the last call to the store that was answered, in milliseconds. */
    readonly storeQuietMs: number;
    /** Whether each VM is linked to each. */
    readonly isMesh: boolean;
}

/**
 * Whether this VM is cut off from all other data centres and from the store. Callers still reach it, but it can use only
 * the upstreams beside it, and nobody may load adapters there, so that it serves few model requests. So it takes itself out of
 * the balancer, and lets callers that are connected go after their answer.
 */
export class IsolationWatch {
    private wasSilent = false;
    private isCut = false;

    get isIsolated(): boolean {
        return this.isCut;
    }

    /** Takes what is heard now. One check alone decides nothing: a VM that was paused reads what has arrived after it. */
    update(signs: OutsideSigns): void {
        const silentMs = signs.isMesh ? meshSilentMs : fleetSilentMs;
        const isSilent = signs.hasOthers && signs.othersQuietMs > silentMs && signs.storeQuietMs > silentMs;
        this.isCut = isSilent && this.wasSilent;
        this.wasSilent = isSilent;
    }
}
