import type { ListenAddress } from "@radishreel/wire";
import type { AccountBounds } from "./accounts/index.js";
import type { BootClock } from "./clock.js";
import type { LineSink } from "./decisions.js";
import type { NodeFeatures } from "./features.js";
import type { OpenSocket } from "./paths/index.js";
import type { ClusterStore, EngineOrders, RequestDialect, ShardAssigner, StreamHistoryStore } from "./ports.js";

/** Settings of {@link NodeProgram}. */
export interface NodeSettings {
    /** Name of this VM; the same after a restart. */
    readonly vm: string;
    readonly dataCentre: string;
    readonly callers: ListenAddress;
    readonly readiness: ListenAddress;
    readonly readinessPath: string;
    readonly peers: ListenAddress;
    /**
     * Where this VM carries connections of other VMs to upstreams. The port is the same on all VMs.
     * @default VMs carry no connections for each other
     */
    readonly tunnels?: ListenAddress | undefined;
    /** Addresses of the peer listeners of some other VMs. */
    readonly seeds: readonly string[];
    /** Secret for links between VMs, the same on all VMs of a deployment. */
    readonly secret: string;
    /** Retries allowed for each request, over all VMs. */
    readonly retryRatio: number;
    /** Further retries allowed in one window, over all VMs together. */
    readonly retrySlack: number;
    /** Duration of one window of the retry budget, in milliseconds. */
    readonly retryWindowMs: number;
    /** Bounds for client accounts. @default a key is accepted until this VM learns that the key was withdrawn */
    readonly accounts?: AccountBounds;
    /** Minimum time between orders of two holders of the same shard, in milliseconds. */
    readonly holderGapMs: number;
    /** Whether all VMs of the deployment start for the first time. @default false */
    readonly isFirstStart?: boolean;
    /** Time between the stop signal and the end of the process, in milliseconds. */
    readonly graceMs: number;
    /** Pause between two reads of upstream entries from the store, in milliseconds. @default 300 */
    readonly entriesPauseMs?: number;
    /** Time after which the store removes the entry of a silent upstream, in milliseconds. @default 3600 */
    readonly entryTimeoutMs?: number;
    /**
     * How long requests may start on an older adapter version once a new one is known, in milliseconds.
     * @default 5000
     */
    readonly replacedMs?: number;
    /** How long requests wait until a new process has read routes and upstreams, in milliseconds. @default 300 */
    readonly startWaitMs?: number;
    /** Processor cores that this VM may use. @default unknown */
    readonly cores?: number;
    /** Memory of this VM, in megabytes. @default unknown, and the memory for callers is not bounded */
    readonly memoryMb?: number | undefined;
    /** Sockets that this VM may have open. @default unlimited */
    readonly maxSockets?: number | undefined;
    /** Optional parts of the program. @default all are off */
    readonly features?: NodeFeatures;
}

/** Options of {@link NodeProgram}. */
export interface NodeOptions {
    readonly settings: NodeSettings;
    readonly store: ClusterStore & StreamHistoryStore;
    readonly shardAssigner: ShardAssigner;
    readonly orders: EngineOrders;
    readonly dialect: RequestDialect;
    readonly sink: LineSink;
    /** Opens sockets to upstreams. @default a TCP connection */
    readonly openSocket?: OpenSocket | undefined;
    /** Clock on which the store gives the time of its reads. @default a clock of this process */
    readonly bootClock?: BootClock;
}

/** Bounds for client accounts if the settings have none. */
export const defaultAccountBounds: AccountBounds = {
    isRevocationStrict: false,
    revocationMs: 5000,
    configurationMs: 3000,
    quota: { windowMs: 8000, overage: 0.1, slack: 0 },
};
