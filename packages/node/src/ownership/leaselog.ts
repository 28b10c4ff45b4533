import type { ShardLease } from "@radishreel/fleet";
import type { DecisionLog } from "../decisions.js";

/** Logs the begin and the end of each shard lease of this VM, and each change of its reason or its token. */
export class LeaseLog {
    private known = new Map<number, ShardLease>();

    constructor(private readonly log: Pick<DecisionLog, "recordImportant">) {}

    /** Logs how the leases differ from those of the last call. @param now Time in milliseconds, as in the leases. */
    update(leases: ReadonlyMap<number, ShardLease>, now: number): void {
        for (const [shard, { fence, generation, reason }] of this.known) {
            if (!leases.has(shard)) {
                this.log.recordImportant("leaseEnded", { shard, fence, generation, reason });
            }
        }
        for (const [shard, lease] of leases) {
            const known = this.known.get(shard);
            if (known?.fence !== lease.fence || known.reason !== lease.reason) {
                const { fence, generation, reason, isHandover, mayOrderAt } = lease;
                const mayOrderInMs = Math.max(0, Math.round(mayOrderAt - now));
                this.log.recordImportant("leaseBegun", { shard, fence, generation, reason, isHandover, mayOrderInMs });
            }
        }
        this.known = new Map(leases);
    }
}
