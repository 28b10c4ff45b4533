/** Messages between VMs about shard leases, and the events that are counted. */
import type { LeaseReason } from "@radishreel/fleet";

/**
 * Counted events of shard leases:
 *
 * - `releaseSent`: this VM notified the others of released shards.
 * - `releaseUsed`, `releaseUnused`: a release of another VM arrived, and did or did not shorten a wait of this VM.
 * - `prolongedByWitness`: leases were extended by the renewal of another VM in the same generation.
 * - `prolongedByAllClear`: leases were extended because most VMs are cut off from the store as well.
 * - `...Claim`: orders to an engine became allowed, by the {@link LeaseReason}.
 */
export type LeaseEvent =
    | "releaseSent"
    | "releaseUsed"
    | "releaseUnused"
    | "prolongedByWitness"
    | "prolongedByAllClear"
    | `${LeaseReason}Claim`;

/** A shard to whose engines an order of the sender may still arrive. */
export interface ShardInTransit {
    readonly shard: number;
    /** For how long, in milliseconds; 0 if none can arrive any more. */
    readonly forMs: number;
}

/** Shards that a stopping VM hands over while the store is unreachable. */
export interface Handover {
    readonly shards: number[];
    /** Generation of the assignment by which the sender held the shards. */
    readonly deal: number;
    /** Highest number of successive handovers of any of these shards within the generation, this one included. */
    readonly depth: number;
    /** Processes that handed the shards over, one after the other. */
    readonly givers: readonly HandoverSource[];
    /** Orders of the sender that may still arrive. */
    readonly inTransit?: ShardInTransit[] | undefined;
}

/** A process that handed its shards over. */
export interface HandoverSource {
    readonly vm: string;
    readonly incarnation: number;
}

/** Query about shard leases, sent to all other VMs. */
export interface LeaseQuery {
    readonly query: number;
    /** Newest generation that the asking VM knows. */
    readonly newestDeal: number;
    /** Processes whose shards the asking VM took over. */
    readonly givers: readonly HandoverSource[];
}

/** Reply to a {@link LeaseQuery}: what the replying VM knows about shard leases. */
export interface LeaseState {
    readonly query: number;
    readonly generation: number;
    /** Newest generation that the replying VM knows, also from other VMs. */
    readonly newestDeal: number;
    readonly shards: number[];
    readonly renewalAgeMs: number;
    /** Whether recent renewals of the replying VM had no response. */
    readonly isCutOff: boolean;
    /** Whether the replying VM knows that a handover source has restarted. */
    readonly giversHaveStarted: boolean;
    /** Whether the replying VM knows all handover sources and that none has restarted. */
    readonly giversAreGone: boolean;
    /** Whether another VM has recently reported that it took over shards of the asking VM. */
    readonly isTakenOver: boolean;
    /** Whether the replying VM knows of no VM that ever took over shards of the asking VM. @default false */
    readonly wasNeverTakenOver?: boolean | undefined;
}
