import type { EngineGrant, MessageOf } from "@radishreel/protocol";
import { type Instant, isWithin } from "./clock.js";

interface OwnerLease {
    version: number;
    engines: readonly EngineGrant[];
    leaseMs: number;
    /** When the gateway sent the renewal that the owner acknowledged: the lease starts at that moment. */
    renewedAt: Instant;
}

/** The leases that a gateway holds, by the agent that granted them. Reads no clock: callers pass the time. */
export class LeaseHolder {
    private readonly owners = new Map<string, OwnerLease>();

    /** Applies a grant. Returns whether the leased engines or models may have changed. */
    receiveGrant(agent: string, grant: MessageOf<"grant">, renewedAt: Instant | undefined): boolean {
        const lease = this.owners.get(agent);
        if (grant.engines === undefined) {
            if (lease !== undefined && renewedAt !== undefined) {
                lease.renewedAt = renewedAt;
            }
            return false;
        }
        const since = renewedAt ?? lease?.renewedAt;
        if (since === undefined) {
            return false;
        }
        this.owners.set(agent, {
            version: grant.version,
            engines: grant.engines,
            leaseMs: grant.leaseMs,
            renewedAt: since,
        });
        return true;
    }

    /** Version of the last grant from an agent; 0 without a grant. */
    readVersion(agent: string): number {
        return this.owners.get(agent)?.version ?? 0;
    }

    /** Drops expired leases. Returns whether any lease had expired. */
    expire(now: Instant): boolean {
        let changed = false;
        for (const [agent, lease] of this.owners) {
            if (!isWithin(lease.renewedAt, lease.leaseMs, now)) {
                this.owners.delete(agent);
                changed = true;
            }
        }
        return changed;
    }

    /** Lists every engine with a valid lease. If two agents grant the same engine, the higher fencing token wins. */
    listEngines(now: Instant): EngineGrant[] {
        const engines = new Map<string, EngineGrant>();
        for (const lease of this.owners.values()) {
            if (!isWithin(lease.renewedAt, lease.leaseMs, now)) {
                continue;
            }
            for (const engine of lease.engines) {
                const other = engines.get(engine.id);
                if (other === undefined || other.fence < engine.fence) {
                    engines.set(engine.id, engine);
                }
            }
        }
        return [...engines.values()];
    }

    /** Whether a request for the model may be sent to the engine at `now`. */
    isLeased(engineId: string, model: string, now: Instant): boolean {
        let engine: EngineGrant | undefined;
        for (const lease of this.owners.values()) {
            if (!isWithin(lease.renewedAt, lease.leaseMs, now)) {
                continue;
            }
            const granted = lease.engines.find(candidate => candidate.id === engineId);
            if (granted !== undefined && (engine === undefined || granted.fence > engine.fence)) {
                engine = granted;
            }
        }
        return engine !== undefined && !engine.isLeaving && engine.models.includes(model);
    }

    /** Whether the agent may own the engine and is sent its uses: the agent owns it, or no known agent does. */
    mayOwn(agent: string, engineId: string): boolean {
        let hasOwner = false;
        for (const [owner, lease] of this.owners) {
            const owns = lease.engines.some(engine => engine.id === engineId);
            if (owns && owner === agent) {
                return true;
            }
            hasOwner ||= owns;
        }
        return !hasOwner;
    }
}
