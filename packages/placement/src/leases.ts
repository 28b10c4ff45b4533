/** Requests of one gateway that use a model on an engine. */
export interface LeaseUse {
    readonly engineId: string;
    readonly model: string;
    readonly paying: number;
    readonly trial: number;
}

interface GatewayLease {
    expiresAt: number;
    /** Version of the last grant that the gateway has applied. */
    grantVersion: number;
    uses: readonly LeaseUse[];
}

/** The leases that one owner has given, all of which a gateway renews at once. */
export class LeaseBook {
    private readonly gateways = new Map<string, GatewayLease>();

    constructor(private readonly leaseMs: number) {}

    /** Takes a renewal. The gateway counts from when it sent it, so that its lease never outlasts this one. */
    renew(gateway: string, grantVersion: number, uses: readonly LeaseUse[], now: number): void {
        this.gateways.set(gateway, { expiresAt: now + this.leaseMs, grantVersion, uses });
    }

    /** Drops lapsed leases and says how many there were. */
    expire(now: number): number {
        let count = 0;
        for (const [gateway, lease] of this.gateways) {
            if (lease.expiresAt <= now) {
                this.gateways.delete(gateway);
                count++;
            }
        }
        return count;
    }

    /** Whether every gateway with a lease has applied the grant `version` and runs nothing on the model. */
    isReleased(engineId: string, model: string, version: number): boolean {
        for (const lease of this.gateways.values()) {
            if (lease.grantVersion < version) {
                return false;
            }
            if (
                lease.uses.some(use => use.engineId === engineId && use.model === model && use.paying + use.trial > 0)
            ) {
                return false;
            }
        }
        return true;
    }

    /** Requests that use a model on an engine, over all gateways. */
    readUses(engineId: string, model: string): number {
        let total = 0;
        for (const use of this.listUses()) {
            if (use.engineId === engineId && use.model === model) {
                total += use.paying + use.trial;
            }
        }
        return total;
    }

    /** Requests on an engine, over all gateways, by class. */
    readInFlight(engineId: string): { paying: number; trial: number; } {
        const total = { paying: 0, trial: 0 };
        for (const use of this.listUses()) {
            if (use.engineId === engineId) {
                total.paying += use.paying;
                total.trial += use.trial;
            }
        }
        return total;
    }

    private *listUses(): Generator<LeaseUse> {
        for (const lease of this.gateways.values()) {
            yield* lease.uses;
        }
    }
}
