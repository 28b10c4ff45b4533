import type { AdapterWant, UpstreamChoice } from "@radishreel/fleet";
import type { Account, Route, Service } from "@radishreel/routing";
import type { QuotaClaim } from "../accounts/index.js";
import type { Permit } from "../crashes/index.js";
import type { CallerDemand } from "../ports.js";
import type { Admission } from "./admissions.js";
import type { StreamProgress } from "./attempt.js";
import type { CallerExchange } from "./caller.js";
import type { RequestDigest } from "./digest.js";

/** One request while it is being served. */
export interface Job {
    readonly caller: CallerExchange;
    readonly demand: CallerDemand;
    readonly route: Route;
    readonly service: Service;
    readonly body: Buffer | undefined;
    readonly digest: RequestDigest;
    /** Undefined on a public route, and where there are no accounts. */
    readonly account: Account | undefined;
    /** What was granted to it of its account's quota; undefined if there is no limit. */
    readonly claim: QuotaClaim | undefined;
    readonly startedAt: number;
    readonly deadlineAt: number;
    /** Upstreams that were tried, with the cost that this adds to them and the time until which it does. */
    readonly tried: Map<string, TriedUpstream>;
    readonly progress: StreamProgress;
    /** Upstreams that may have run it, and failed. */
    runs: number;
    /** Whether any upstream may have run it. */
    hasRun: boolean;
    rejections: number;
    attempts: number;
    waitedMs: number;
    /** How often it left an engine's queue for another one's. */
    moves: number;
    /** How often it chose anew since an engine had more to do than expected. */
    redirects: number;
    /** When an engine that declined it could have let it in, as that one expects; undefined while none has. */
    expectedAt: number | undefined;
    /** Set while it may run although upstreams have ended under it. */
    permit: Permit | undefined;
}

/** An upstream that a request has tried. */
export interface TriedUpstream {
    readonly costMs: number;
    readonly until: number;
    /** Whether its owner said that it cannot serve the request while its caller waits. */
    readonly hasDeclined: boolean;
}

/** An upstream that can be sent a request now. */
export interface ReadyUpstream {
    readonly choice: UpstreamChoice;
    /** Set for engines: the request's place there. */
    readonly admission: Admission | undefined;
}

/** What a new job starts from. */
export type JobStart =
    & Pick<
        Job,
        "caller" | "demand" | "route" | "service" | "body" | "digest" | "startedAt" | "deadlineAt"
    >
    & Partial<Pick<Job, "account" | "claim">>;

export function createJob(start: JobStart): Job {
    return {
        account: undefined,
        claim: undefined,
        ...start,
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
        waitedMs: 0,
        moves: 0,
        redirects: 0,
        expectedAt: undefined,
        permit: undefined,
    };
}

/** Asks for a newer version of an adapter to be loaded, for nobody in particular. */
export interface Preparation {
    readonly engine: string;
    readonly want: AdapterWant & { readonly version: number; readonly lifeMs: number; };
}
