import type { Reason, RefusedVerdict } from "@radishreel/verdict";

/** Whether a client account pays or is on trial. */
export type AccountClass = "paying" | "trial";

/** A request that waits for an engine. Times are in milliseconds, on the clock of the caller of `decide`. */
export interface DispatchRequest {
    readonly id: string;
    /** `adapter@version`. */
    readonly model: string;
    readonly account: string;
    readonly accountClass: AccountClass;
    /** Weight against other client accounts of the class in fair queueing. */
    readonly weight: number;
    readonly arrivedAt: number;
    /** The request is refused unless it is dispatched before this time. */
    readonly deadlineAt: number;
    /** Identifies the prompt's prefix, for engines that hold it in their prefix cache. */
    readonly prefix?: string;
}

/** An engine as its owner has leased it to this gateway. */
export interface LeasedEngine {
    readonly id: string;
    readonly instance: string;
    readonly batchRoom: number;
    readonly isLeaving: boolean;
    readonly models: readonly string[];
    /** Requests of other gateways on the engine, by class. */
    readonly othersPaying: number;
    readonly othersTrial: number;
}

/** The placer's expected waits for loads, in milliseconds. */
export interface LoadOutlook {
    /** Expected wait of a load that is requested now, by class. */
    readonly payingWaitMs: number;
    readonly trialWaitMs: number;
    /** Mean duration of one load. */
    readonly loadMs: number;
    /** Model that is currently loading. */
    readonly loading?: string;
}

/** Outcome of an attempt, as far as dispatch distinguishes it. */
export type AttemptOutcome = "complete" | "notRun" | "mayHaveRun" | "cancelled";

/** Events that a dispatcher handles. */
export type DispatchEvent =
    | { readonly type: "arrive"; readonly request: DispatchRequest; }
    /** The caller left while its request waited. */
    | { readonly type: "cancel"; readonly requestId: string; }
    | {
        readonly type: "ended";
        readonly requestId: string;
        readonly engineId: string;
        readonly outcome: AttemptOutcome;
        readonly reason?: Reason;
    }
    /** New lease of an engine. */
    | { readonly type: "engine"; readonly engine: LeasedEngine; }
    | { readonly type: "engineGone"; readonly engineId: string; }
    | { readonly type: "outlook"; readonly outlook: LoadOutlook; }
    /** Cache event of an engine; such events arrive late and with gaps. */
    | { readonly type: "prefix"; readonly engineId: string; readonly prefix: string; readonly isCached: boolean; }
    | { readonly type: "tick"; };

/** Commands that a dispatcher returns for its caller to carry out. */
export type DispatchCommand =
    | {
        readonly type: "dispatch";
        readonly request: DispatchRequest;
        readonly engineId: string;
        /** Time that the request waited because its model was leased on no engine, in milliseconds. */
        readonly stallMs: number;
        /** Share of the engine's batch room in use with this request. */
        readonly fullness: number;
    }
    | { readonly type: "refuse"; readonly request: DispatchRequest; readonly verdict: RefusedVerdict; }
    | { readonly type: "retry"; readonly requestId: string; readonly reason: Reason; };

/** One gateway's demand for one model, reported to the placer. */
export interface ModelDemand {
    readonly model: string;
    readonly paying: { readonly count: number; readonly ageMs: number; };
    readonly trial: { readonly count: number; readonly ageMs: number; };
    readonly payingArrivals: number;
    readonly trialArrivals: number;
}

/** Options of a dispatcher. */
export interface DispatcherOptions {
    /** Weight of load stalls against batch fullness: 1 considers only stalls, 0 only fullness. @default 0.7 */
    readonly stallWeight?: number;
    /** Share of an engine's batch room for trial requests while paying requests use the engine. @default 0.3 */
    readonly trialBatchShare?: number;
    /** Maximum number of requests of a class that wait in one gateway. @default 10000 */
    readonly maxQueued?: number;
    /** Retries permitted per successful request. @default 0.2 */
    readonly retryShare?: number;
    /** Consecutive failures after which an engine is paused. @default 5 */
    readonly breakerFailures?: number;
    /** First pause of a failing engine, in milliseconds; it doubles with each further failure. @default 1000 */
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
