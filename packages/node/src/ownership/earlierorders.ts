import type { FencesByShard, ShardLeases } from "@radishreel/fleet";
import type { Timers } from "../clock.js";

/** Options of {@link EarlierOrders}. */
export interface EarlierOrdersOptions {
    readonly timers: Timers;
    /** Time in milliseconds that includes suspension of the VM. */
    readonly readTime: () => number;
    /** How long an order may take to arrive, in milliseconds. */
    readonly maxTransitMs: number;
    readonly leases: Pick<ShardLeases, "firstGeneration">;
}

/** Leases of the earlier process, from this VM's entry. */
interface RecordedLeases {
    readonly generation: number;
    readonly fences: FencesByShard;
}

/**
 * Orders of this VM's earlier process that may still arrive at their engines. If it was killed, it told nobody of them.
 * After a planned stop this process holds no shard before the last of them has arrived.
 */
export class EarlierOrders {
    /** Latest time of arrival in milliseconds, counted from the start of this process. */
    private end: number;
    /** Undefined if they are unknown. */
    private recorded: RecordedLeases | undefined;

    constructor(private readonly options: EarlierOrdersOptions) {
        this.end = options.readTime() + options.maxTransitMs;
    }

    /** Declares that this VM had no earlier process. */
    setFirstProcess(): void {
        this.end = -Infinity;
    }

    /** Sets the generation under which the earlier process last held shards, and its fencing tokens if recorded. */
    setRecordedGeneration(generation: number, fences: FencesByShard | undefined): void {
        this.recorded = fences === undefined ? undefined : { generation, fences };
    }

    /** Latest time at which an order to the engines of a shard may arrive; undefined if none can. */
    findLastArrival(shard: number): number | undefined {
        return this.end > this.options.readTime() && this.mayHaveHeld(shard) ? this.end : undefined;
    }

    /** Waits until no order to the engines of a shard can still arrive. */
    async waitArrivals(shard: number): Promise<void> {
        const end = this.findLastArrival(shard);
        if (end === undefined) {
            return;
        }
        const { timers, readTime } = this.options;
        await new Promise<void>(resolve => timers.scheduleOnce(resolve, end - readTime()));
    }

    /** The entry is older than the last leases of the earlier process unless their generation is still in force. */
    private mayHaveHeld(shard: number): boolean {
        const { recorded } = this;
        return recorded === undefined || recorded.generation !== this.options.leases.firstGeneration
            || recorded.fences[shard] !== undefined;
    }
}
