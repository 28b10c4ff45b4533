import type { Reason, RefusedVerdict } from "@radishreel/verdict";

/** Whether a customer pays or tries. */
export type CustomerClass = "paying" | "trial";

/** One request that waits for an engine. Times are those of the driver's clock, in milliseconds. */
export interface DispatchRequest {
    readonly id: string;
    /** `adapter@version`. */
    readonly model: string;
    readonly customer: string;
    readonly customerClass: CustomerClass;
    /** Share against other customers of the class. */
    readonly weight: number;
    readonly arrivedAt: number;
    /** The request is refused unless it is dispatched before this time. */
    readonly deadlineAt: number;
    /** Names the start of the prompt, for engines that hold it in their prefix cache. */
    readonly prefix?: string;
}

/** One engine as its owner leases it. */
export interface LeasedEngine {
    readonly id: string;
    readonly instance: string;
    readonly batchRoom: number;
    readonly isLeaving: boolean;
    readonly models: readonly string[];
    /** Requests that other gateways have on it. */
    readonly othersPaying: number;
    readonly othersTrial: number;
}

/** What the placer says of loads. Times in milliseconds. */
export interface LoadOutlook {
    /** How long a load that is asked for now would wait. */
    readonly payingWaitMs: number;
    readonly trialWaitMs: number;
    /** Mean time of one load. */
    readonly loadMs: number;
    /** Model that is being loaded now. */
    readonly loading?: string;
}

/** How an attempt ended, as far as dispatch is concerned. */
export type AttemptOutcome = "complete" | "notRun" | "mayHaveRun" | "cancelled";

/** What a dispatcher hears. */
export type DispatchEvent =
    | { readonly type: "arrive"; readonly request: DispatchRequest; }
    /** The caller went away while its request waited. */
    | { readonly type: "cancel"; readonly requestId: string; }
    | {
        readonly type: "ended";
        readonly requestId: string;
        readonly engineId: string;
        readonly outcome: AttemptOutcome;
        readonly reason?: Reason;
    }
    /** Engines whose lease is valid, with what is leased on them. */
    | { readonly type: "engine"; readonly engine: LeasedEngine; }
    | { readonly type: "engineGone"; readonly engineId: string; }
    | { readonly type: "outlook"; readonly outlook: LoadOutlook; }
    /** A cache event of an engine; late and with gaps. */
    | { readonly type: "prefix"; readonly engineId: string; readonly prefix: string; readonly isCached: boolean; }
    | { readonly type: "tick"; };

/** What a dispatcher wants done. */
export type DispatchCommand =
    | {
        readonly type: "dispatch";
        readonly request: DispatchRequest;
        readonly engineId: string;
        /** Time the request waited because its model was loaded nowhere, in milliseconds. */
        readonly stallMs: number;
        /** Share of the engine's batch room in use with this request. */
        readonly fullness: number;
    }
    | { readonly type: "refuse"; readonly request: DispatchRequest; readonly verdict: RefusedVerdict; }
    | { readonly type: "retry"; readonly requestId: string; readonly reason: Reason; };

/** What one gateway wants of one model, for the placer. */
export interface ModelDemand {
    readonly model: string;
    readonly paying: { readonly count: number; readonly ageMs: number; };
    readonly trial: { readonly count: number; readonly ageMs: number; };
    readonly payingArrivals: number;
    readonly trialArrivals: number;
}

/** Options of a dispatcher. */
export interface DispatcherOptions {
    /** 1 weighs load stalls only, 0 weighs batch fullness only. @default 0.7 */
    readonly stallWeight?: number;
    /** Share of an engine's batch room for trial requests while paying ones use the engine. @default 0.3 */
    readonly trialBatchShare?: number;
    /** Most requests of a class that wait in one gateway. @default 10000 */
    readonly maxQueued?: number;
    /** Retries allowed for each success. @default 0.2 */
    readonly retryShare?: number;
    /** Failures in a row after which an engine is left alone for a while. @default 5 */
    readonly breakerFailures?: number;
    /** First pause of an engine that fails, in milliseconds; it doubles with each further failure. @default 1000 */
    readonly breakerPauseMs?: number;
}

/** {@link DispatcherOptions} with every default filled in. */
export type ResolvedDispatcherOptions = Required<DispatcherOptions>;

/** Fills in the defaults. */
export function resolveDispatcherOptions(options: DispatcherOptions = {}): ResolvedDispatcherOptions {
    return {
        stallWeight: options.stallWeight ?? 0.7,
        trialBatchShare: options.trialBatchShare ?? 0.3,
        maxQueued: options.maxQueued ?? 10_000,
        retryShare: options.retryShare ?? 0.2,
        breakerFailures: options.breakerFailures ?? 5,
        breakerPauseMs: options.breakerPauseMs ?? 1000,
    };
}
