/**
 * Age up to which a process counts as starting up, in milliseconds. All VMs start within some seconds, at the first
 * start and after a power failure, and each VM that joins causes a new assignment of shards.
 */
const startupMs = 5000;

/**
 * How long a process that is starting up owns engines before it links to all VMs, in milliseconds: an assignment that
 * lasts two renewals is not one of the short-lived assignments during startup. Without this wait most VMs of a fleet
 * that starts at once would link to all others for a moment of ownership. A new holder waits longer than this before
 * its first order.
 */
const minOwnershipMs = 800;

/** Options of {@link HubMonitor}. */
export interface HubMonitorOptions {
    /** When the process started, in milliseconds. */
    readonly startedAt: number;
}

/** Determines whether a VM has owned engines long enough to be a hub: a VM linked to all others. */
export class HubMonitor {
    private ownsSince: number | undefined;

    constructor(private readonly options: HubMonitorOptions) {}

    /** @returns Whether the VM is to be linked to all others. */
    update(hasEngines: boolean, now: number): boolean {
        this.ownsSince = hasEngines ? this.ownsSince ?? now : undefined;
        if (this.ownsSince === undefined) {
            return false;
        }
        return now - this.options.startedAt > startupMs || now - this.ownsSince >= minOwnershipMs;
    }
}
