import type { LoadRequest, StreamOrigin, UpstreamChoice, UpstreamState } from "@radishreel/fleet";
import { type Account, isIdempotent, type Route, type Service } from "@radishreel/routing";
import type { AccountClaim } from "../accounts/index.js";
import type { Permit } from "../crashes/index.js";
import type { CallerDemand } from "../ports.js";
import type { Admission } from "./admissions.js";
import type { CallerExchange } from "./caller.js";
import type { RequestDigest } from "./digest.js";
import type { LimitGrant } from "./limiter.js";
import type { StreamProgress } from "./progress.js";
import type { ReservedReturn } from "./returns.js";

/** For whom an upstream is looked for: the caller, or a silent attempt that another one could replace. */
export interface Claimant {
    /** Whether no upstream is needed any more. */
    readonly hasLeft: boolean;
    /** Resolves when no upstream is needed any more. */
    readonly left: Promise<undefined>;
    /** Whether an upstream may be chosen. @default all may */
    readonly mayChoose?: ((state: UpstreamState) => boolean) | undefined;
}

/** State of a request while it is being served. */
export interface Job {
    readonly caller: CallerExchange;
    /** For whom an upstream is looked for now. */
    claimant: Claimant;
    readonly demand: CallerDemand;
    readonly route: Route;
    readonly service: Service;
    readonly body: Buffer | undefined;
    readonly digest: RequestDigest;
    /** Client account; undefined on a public route and where there are no accounts. */
    readonly account: Account | undefined;
    /** Quota that was granted to the request from its account; undefined if the account has no limit. */
    readonly claim: AccountClaim | undefined;
    readonly startedAt: number;
    readonly deadlineAt: number;
    /** Upstreams that the request has tried, by upstream id, with the cost penalties that apply to them. */
    readonly tried: Map<string, TriedUpstream>;
    readonly progress: StreamProgress;
    /** Where the request's stream began, once its caller has received an event; only there can the stream go on. */
    origin: StreamOrigin | undefined;
    /** Number of failed attempts in which an upstream may have run the request. */
    runs: number;
    /** Whether any upstream may have run the request. */
    hasRun: boolean;
    rejections: number;
    attempts: number;
    /** Number of attempts that were written to an upstream. */
    sends: number;
    waitedMs: number;
    /** How often the request moved from one engine's queue to another engine's. */
    moves: number;
    /** How often the request chose again because an engine was busier than expected. */
    redirects: number;
    /** Earliest time at which an engine that declined the request expects to have room; undefined before that. */
    expectedAt: number | undefined;
    /** Return of the caller that an owner has reserved; undefined if there is none, or once the caller was told. */
    reservedReturn: ReservedReturn | undefined;
    /** Permit under which a suspect request may run, although upstreams have ended while they ran it. */
    permit: Permit | undefined;
}

/** Penalty on an upstream that a request has tried. */
export interface TriedUpstream {
    /** Cost that is added to the upstream, in milliseconds. */
    readonly costMs: number;
    /** When the penalty ends. */
    readonly until: number;
    /** Whether the upstream's owner replied that it cannot serve the request within the caller's time limit. */
    readonly hasDeclined: boolean;
}

/** Whether an upstream is permanently excluded for a request. */
export function isExcluded(tried: TriedUpstream | undefined): boolean {
    return tried !== undefined && tried.costMs === Infinity && tried.until === Infinity;
}

/** An upstream that a request can be sent to now. */
export interface ReadyUpstream {
    readonly choice: UpstreamChoice;
    /** The request's admission at the engine; undefined for servers of plain services. */
    readonly admission: Admission | undefined;
    /** The part of the upstream's limit that the request was granted; undefined if the upstream named none. */
    readonly grant?: LimitGrant | undefined;
}

/** Whether a request may run once more if its current attempt fails. */
export function mayRunAgain({ route, runs }: Pick<Job, "route" | "runs">): boolean {
    return isIdempotent(route) && runs + 1 < route.maxAttempts;
}

/** Releases what a request holds at an upstream to which it is not sent. */
export function releaseReady(ready: ReadyUpstream | undefined): void {
    ready?.admission?.finish();
    ready?.grant?.release();
}

/** Cancels the reserved return of a request that is served, or whose caller has left or is told another time. */
export function cancelReturn(job: Job): void {
    job.reservedReturn?.cancel();
    job.reservedReturn = undefined;
}

/** Properties that are known when a job is created. */
export type JobStart =
    & Pick<
        Job,
        "caller" | "demand" | "route" | "service" | "body" | "digest" | "startedAt" | "deadlineAt"
    >
    & Partial<Pick<Job, "account" | "claim" | "origin">>;

export function createJob(start: JobStart): Job {
    return {
        account: undefined,
        claim: undefined,
        origin: undefined,
        ...start,
        claimant: start.caller,
        tried: new Map(),
        progress: {
            lastEventId: start.demand.lastEventId,
            events: 0,
            firstEventAt: undefined,
            lastEventAt: 0,
            longestPauseMs: 0,
        },
        runs: 0,
        hasRun: false,
        rejections: 0,
        attempts: 0,
        sends: 0,
        waitedMs: 0,
        moves: 0,
        redirects: 0,
        expectedAt: undefined,
        reservedReturn: undefined,
        permit: undefined,
    };
}

/** Asks an engine's owner to load a newer version of an adapter without a request that waits for it. */
export interface Preparation {
    readonly engine: string;
    readonly want: LoadRequest & { readonly version: number; readonly lifeMs: number; };
}
