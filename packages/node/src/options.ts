import type { ListenAddress } from "@radishreel/wire";
import type { AccountBounds } from "./accounts/index.js";
import type { BootClock } from "./clock.js";
import type { LineSink } from "./decisions.js";
import type { ClusterStore, EngineOrders, RequestDialect, ShardClaims } from "./ports.js";

/** Settings of a VM's program. */
export interface NodeSettings {
    /** Name of this VM; it stays over restarts. */
    readonly vm: string;
    readonly dataCentre: string;
    readonly callers: ListenAddress;
    readonly readiness: ListenAddress;
    readonly readinessPath: string;
    readonly peers: ListenAddress;
    /** Addresses of some other VMs' listeners for peers. */
    readonly seeds: readonly string[];
    /** Shared by all VMs of one deployment. */
    readonly secret: string;
    readonly retryRatio: number;
    readonly retrySlack: number;
    readonly retryWindowMs: number;
    /** What the operator asks of client accounts. @default keys count until their withdrawal is heard of */
    readonly accounts?: AccountBounds;
    readonly turnMs: number;
    /** Whether all VMs start for the first time. @default false */
    readonly isFirstStart?: boolean;
    /** Time between the request to stop and the end of the process, in milliseconds. */
    readonly graceMs: number;
    /** Pause between two reads of the entries of upstreams, in milliseconds. @default 300 */
    readonly entriesPauseMs?: number;
    /** Time after a new version of an adapter in which a request may begin on an older one, in milliseconds. @default 5000 */
    readonly replacedMs?: number;
    /** How long requests wait for a process that has just started to read routes and upstreams, in milliseconds. @default 300 */
    readonly startWaitMs?: number;
}

/** What a VM's program is built from. */
export interface NodeOptions {
    readonly settings: NodeSettings;
    readonly store: ClusterStore;
    readonly claims: ShardClaims;
    readonly orders: EngineOrders;
    readonly dialect: RequestDialect;
    readonly sink: LineSink;
    /** The clock by which the store tells as of when it was read. @default a clock of this process */
    readonly bootClock?: BootClock;
}

/** Bounds of accounts where the operator names none. */
export const usualAccountBounds: AccountBounds = {
    isRevocationStrict: false,
    revocationMs: 5000,
    configurationMs: 3000,
    quota: { windowMs: 8000, overage: 0.1, slack: 0 },
};
