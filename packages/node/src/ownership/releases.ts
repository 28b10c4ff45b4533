import type { ShardLeases } from "@radishreel/fleet";
import type { DecisionLog } from "../decisions.js";
import type { EarlierOrders } from "./earlierorders.js";
import type { LeaseEvent, ShardInTransit } from "./leasemessages.js";
import type { OrdersInFlight } from "./ordersinflight.js";

/** Why a VM released shards. */
export type ReleaseReason = "stop" | "renewal" | "toldByPeer" | "handoverEnded";

/** A message to all other VMs about shards that this VM no longer holds. */
export interface Release {
    /** Shards to which this VM gives no more orders, and where those that it gave have arrived. */
    readonly shards: number[];
    readonly generation: number;
    /** Shards to whose engines an order of this VM, or of its earlier process, may still arrive. @default none */
    readonly inTransit?: ShardInTransit[] | undefined;
}

/** Options of {@link ShardReleases}. */
export interface ShardReleasesOptions {
    readonly log: DecisionLog;
    readonly leases: Pick<ShardLeases, "recordArrivals" | "recordOwnArrivals" | "readArrivalEnd">;
    /** Longest time for which reported orders are waited for, in milliseconds. */
    readonly holderGapMs: number;
    readonly ordersInFlight: OrdersInFlight;
    readonly earlierOrders: EarlierOrders;
    /** Time in milliseconds that includes suspension of the VM. */
    readonly readTime: () => number;
    /** Shard of an engine, by its name. */
    readonly findShard: (name: string) => number;
    readonly sendRelease: (release: Release) => void;
    readonly onLeaseEvent?: ((event: LeaseEvent) => void) | undefined;
}

/** Notifies the other VMs of shards that this VM no longer holds, and of its orders that may still arrive there. */
export class ShardReleases {
    constructor(private readonly options: ShardReleasesOptions) {}

    /**
     * Notifies the other VMs of lost shards once the outcomes of the last orders to their engines are known. The next
     * holder of a released shard starts at once. A shard to which an order without an answer may still arrive is
     * released when that order has arrived: VMs of earlier versions read of released shards alone.
     * @param lost All shards that this VM held until now. Orders that may arrive are reported for each of them.
     * @param released Those whose earlier holders have all stopped as well, which does not hold for handed-over shards.
     */
    async release(lost: readonly number[], released: number[], generation: number, why: ReleaseReason): Promise<void> {
        if (lost.length === 0) {
            return;
        }
        await this.waitOutcomes(lost);
        const inTransit = this.listInTransit(lost);
        if (released.length === 0 && inTransit.length === 0) {
            return;
        }
        this.options.onLeaseEvent?.("releaseSent");
        const late = inTransit.filter(({ shard }) => released.includes(shard)).map(({ shard }) => shard);
        const shards = released.filter(shard => !late.includes(shard));
        this.send({ shards, generation, inTransit }, why, late);
    }

    /** Waits until the outcomes of the orders to the engines of shards are known, `unknown` included. */
    async waitOutcomes(shards: readonly number[]): Promise<void> {
        await this.options.ordersInFlight.waitOutcomes(name => shards.includes(this.options.findShard(name)));
    }

    /** Lists the shards to whose engines an order of this VM, or of its earlier process, may still arrive. */
    listInTransit(shards: readonly number[]): ShardInTransit[] {
        const { earlierOrders, findShard, leases, ordersInFlight, readTime } = this.options;
        return shards.flatMap(shard => {
            const ownEnd = ordersInFlight.findLastArrival(name => findShard(name) === shard);
            const earlierEnd = earlierOrders.findLastArrival(shard);
            if (ownEnd === undefined && earlierEnd === undefined) {
                return [];
            }
            const end = Math.max(ownEnd ?? -Infinity, earlierEnd ?? -Infinity);
            leases.recordOwnArrivals(shard, end);
            return [{ shard, forMs: Math.max(0, end - readTime()) }];
        });
    }

    /** Lists the shards to whose engines an order of this VM or of an earlier holder may still arrive. */
    listAllInTransit(shards: readonly number[]): ShardInTransit[] {
        const { leases, readTime } = this.options;
        const own = this.listInTransit(shards);
        return shards.flatMap(shard => {
            const ownMs = own.find(entry => entry.shard === shard)?.forMs ?? 0;
            const forMs = Math.max(ownMs, leases.readArrivalEnd(shard) - readTime());
            return forMs > 0 ? [{ shard, forMs }] : [];
        });
    }

    /**
     * Tells all other VMs of this VM's orders that may still arrive at the engines of handed-over shards, and again once
     * they have. Those of earlier holders are left to the VMs that sent them.
     */
    sendReport(shards: readonly number[], generation: number): void {
        const inTransit = this.listInTransit(shards);
        if (inTransit.length > 0) {
            this.send({ shards: [], generation, inTransit }, "handedOver");
        }
    }

    /** Records how long orders of another VM may still arrive. */
    recordReport(vm: string, inTransit: readonly ShardInTransit[] = []): void {
        const { leases, holderGapMs, readTime } = this.options;
        for (const { shard, forMs } of inTransit) {
            leases.recordArrivals(shard, vm, readTime() + Math.min(forMs, holderGapMs));
        }
    }

    /** @param late Shards to release once the orders to them have arrived. */
    private send(
        release: Release,
        why: ReleaseReason | "handedOver" | "ordersArrived",
        late: readonly number[] = [],
    ): void {
        this.options.log.recordImportant("releaseSent", { ...release, why });
        this.options.sendRelease(release);
        for (const { shard, forMs } of release.inTransit ?? []) {
            if (forMs > 0) {
                void this.sendArrival(release.generation, shard, late.includes(shard));
            }
        }
    }

    /** Tells the other VMs when no order of this VM to a shard can arrive any more. */
    private async sendArrival(generation: number, shard: number, isReleased: boolean): Promise<void> {
        const { earlierOrders, findShard, ordersInFlight } = this.options;
        await Promise.all([
            earlierOrders.waitArrivals(shard),
            ordersInFlight.waitArrivals(name => findShard(name) === shard),
        ]);
        this.send({ shards: isReleased ? [shard] : [], generation, inTransit: [{ shard, forMs: 0 }] }, "ordersArrived");
    }
}
