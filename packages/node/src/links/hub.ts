/**
 * While a process is this young, shards are dealt anew with each VM that joins, in milliseconds: all VMs start within some
 * seconds, at first and after a loss of power.
 */
const joiningMs = 5000;

/**
 * How long such a process holds engines before it links to all VMs, in milliseconds: a deal that lasts two renewals is not
 * one of those. Without it most VMs of a fleet that starts at once link to all others for a moment of ownership. A new holder
 * waits longer than this before its first order.
 */
const settledMs = 800;

/** Options of {@link HubWatch}. */
export interface HubWatchOptions {
    /** When the process started, in milliseconds. */
    readonly startedAt: number;
}

/** Says whether a VM owns engines for long enough to be linked to all others. */
export class HubWatch {
    private heldSince: number | undefined;

    constructor(private readonly options: HubWatchOptions) {}

    /** @returns Whether it is to be linked to all others. */
    update(hasEngines: boolean, now: number): boolean {
        this.heldSince = hasEngines ? this.heldSince ?? now : undefined;
        if (this.heldSince === undefined) {
            return false;
        }
        return now - this.options.startedAt > joiningMs || now - this.heldSince >= settledMs;
    }
}
