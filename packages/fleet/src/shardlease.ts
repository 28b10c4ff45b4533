/**
 * Why a VM may give orders to a shard: it waited until all earlier leases had lapsed, the previous holder released the
 * shard, the VM recorded the same generation before a restart, or the holder handed the shard over.
 */
export type LeaseReason = "waited" | "released" | "recorded" | "handover";

/** The lease of one shard of the engines. */
export interface ShardLease {
    /** The reason for `mayOrderAt`. */
    readonly reason: LeaseReason;
    /** The generation in which this VM first held the shard. */
    readonly generation: number;
    /** Earliest time of the first order under this lease. */
    readonly mayOrderAt: number;
    /** Number of handovers of the shard within the generation, part of the fencing token. */
    readonly handoverDepth: number;
    /** Rises from process to process. It is the fencing token of the orders, unless `recordedFence` is. */
    readonly fence: number;
    /** Fencing token with which this VM's previous process gave orders under the same generation. */
    readonly recordedFence?: number | undefined;
    /** Whether the shard was handed over by the VM to which the store assigned it. */
    readonly isHandover: boolean;
}

/** Fencing tokens by shard. */
export type FencesByShard = Readonly<Record<number, number>>;

/** Largest number of handovers within one generation: fencing tokens reserve this range for each generation. */
export const maxHandoverDepth = 15;

/** Fencing token of a lease: it rises with each generation, and with each handover within a generation. */
export function createFence(generation: number, depth: number): number {
    return generation * (maxHandoverDepth + 1) + depth;
}
