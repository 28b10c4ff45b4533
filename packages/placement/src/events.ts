import type { LeaseUse } from "./leases.js";
import type { LoadOutcome } from "./types.js";

/** Options of an engine owner. */
export interface OwnerOptions {
    /** Identity from which fencing tokens are derived; differs between agents and between starts of one agent. */
    readonly identity: string;
    /** Duration of a lease, in milliseconds. @default 3000 */
    readonly leaseMs?: number;
    /** Maximum age of the running counts that engines report, in milliseconds. @default 1000 */
    readonly reportLagMs?: number;
}

/** Status report of an engine. */
export interface EngineReport {
    readonly instance: string;
    readonly isLeaving: boolean;
    readonly fence: number;
    readonly slots: number;
    readonly batchRoom: number;
    readonly adapters: readonly { readonly model: string; readonly running: number; }[];
    /** Time at which the owner requested the report. */
    readonly askedAt: number;
}

/** Events that an owner handles. */
export type OwnerEvent =
    | { readonly type: "own"; readonly engineId: string; readonly address: string; }
    | { readonly type: "disown"; readonly engineId: string; }
    | { readonly type: "report"; readonly engineId: string; readonly report: EngineReport; }
    | { readonly type: "claimed"; readonly engineId: string; readonly fence: number; }
    | { readonly type: "fenced"; readonly engineId: string; }
    | { readonly type: "leaving"; readonly engineId: string; }
    | {
        readonly type: "renew";
        readonly gateway: string;
        readonly grantVersion: number;
        readonly uses: readonly LeaseUse[];
        readonly unsure: readonly LeaseUse[];
    }
    | { readonly type: "order"; readonly action: "load" | "evict"; readonly engineId: string; readonly model: string; }
    | { readonly type: "loadEnded"; readonly engineId: string; readonly model: string; readonly outcome: LoadOutcome; }
    | {
        readonly type: "evictEnded";
        readonly engineId: string;
        readonly model: string;
        readonly outcome: EvictOutcome;
    }
    | { readonly type: "tick"; };

/** Outcome of an eviction. After `unknown` the order may still be in transit to the engine. */
export type EvictOutcome = "done" | "failed" | "unknown";

/** Commands that an owner returns for its caller to carry out. */
export type OwnerCommand =
    | { readonly type: "claim"; readonly engineId: string; readonly address: string; readonly fence: number; }
    | {
        readonly type: "load" | "evict";
        readonly engineId: string;
        readonly address: string;
        readonly model: string;
        readonly fence: number;
    }
    /** Notify the placer that an order was not carried out. */
    | { readonly type: "refuse"; readonly engineId: string; readonly model: string; }
    /** Send the changed grant to the gateways. */
    | { readonly type: "publish"; };

/** One engine as it is leased to every gateway. */
export interface GrantedEngine {
    readonly id: string;
    readonly address: string;
    readonly instance: string;
    readonly fence: number;
    readonly batchRoom: number;
    readonly isLeaving: boolean;
    readonly models: string[];
}

/** Requests on one engine, over all gateways. */
export interface EngineCounts {
    readonly id: string;
    readonly paying: number;
    readonly trial: number;
}
