/** Numbers of one gateway's requests that use a model on an engine. */
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

/** Leases that one owner has granted. A gateway renews all its leases together. */
export class LeaseTable {
    private readonly gateways = new Map<string, GatewayLease>();

    constructor(private readonly leaseMs: number) {}

    /**
     * Renews a gateway's lease. The gateway counts the duration from when it sent the renewal, so its view of the lease
     * never outlasts the owner's.
     */
    renew(gateway: string, grantVersion: number, uses: readonly LeaseUse[], now: number): void {
        this.gateways.set(gateway, { expiresAt: now + this.leaseMs, grantVersion, uses });
    }

    /** Removes expired leases and returns their number. */
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

    /** Whether every gateway with a lease has applied the grant `version` and runs no request on the model. */
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

    /** Returns the number of requests of all gateways that use a model on an engine. */
    readUses(engineId: string, model: string): number {
        let total = 0;
        for (const use of this.listUses()) {
            if (use.engineId === engineId && use.model === model) {
                total += use.paying + use.trial;
            }
        }
        return total;
    }

    /** Returns the number of requests of all gateways on an engine, by class. */
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
