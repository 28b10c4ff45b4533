import type { CrashReport, EngineOrder, EngineReport, ModelDemand, OrderAnswer, Upstream } from "@radishreel/fleet";
import type { Routing } from "@radishreel/routing";
import type { Result } from "neverthrow";

/**
 * What this program needs of its platform. Another platform, or a stand-in, is another set of classes behind these
 * interfaces.
 */

/** Header names and values in turn, as they were sent. */
export type RawHeaders = readonly string[];

/** The key that a caller sent, by which its account is known. It must reach no upstream and no log. */
export type CallerKey =
    | { readonly kind: "missing"; }
    /** Sent in another form than the one that is taken. */
    | { readonly kind: "malformed"; }
    | { readonly kind: "key"; readonly key: string; };

/** What a caller's headers ask for. */
export interface CallerDemand {
    /** Names one attempt of the caller; upstreams echo it. */
    readonly requestId: string | undefined;
    /** @default missing */
    readonly key?: CallerKey | undefined;
    /** How long the caller waits, in milliseconds. */
    readonly budgetMs: number | undefined;
    /** Set for requests to model engines. */
    readonly model: ModelDemand | undefined;
    /** Tokens that the request counts against a quota; undefined if it tells none. */
    readonly tokens?: number | undefined;
    /** Last event of a stream that the caller resumes. */
    readonly lastEventId: string | undefined;
}

/** Whose request it is, as an upstream is told. */
export interface CallerIdentity {
    /** Name of the account; undefined on a route that is public. */
    readonly account: string | undefined;
}

/** How one attempt is sent. */
export interface SendOptions {
    /** Name of the upstream that must answer; any other refuses. */
    readonly upstreamName: string;
    /** What is left of the caller's time, in milliseconds. */
    readonly budgetMs: number;
    /** Adapter version that must answer; undefined for requests without an adapter. */
    readonly version: number | undefined;
    /** Event after which a stream goes on. */
    readonly lastEventId: string | undefined;
    /** Urgency, 0 is first; undefined leaves the upstream's default. */
    readonly priority: number | undefined;
    /** Undefined where there are no accounts, and callers' keys are none of this program's. */
    readonly identity?: CallerIdentity | undefined;
}

/** What the head of an upstream's answer says. */
export interface AnswerHead {
    /** The request that it answers. */
    readonly requestId: string | undefined;
    /** The upstream says that it did not run the request. */
    readonly isNotRun: boolean;
    /** The upstream is not the incarnation, or lacks the adapter or the version, that the request names. */
    readonly isMisdirected: boolean;
    /** The upstream vouches for the answer. */
    readonly isSigned: boolean;
    /** Name of the upstream that answers, where the answer gives it. */
    readonly answeredBy: string | undefined;
    /** The upstream that answers says that it leaves. */
    readonly isLeaving: boolean;
    /** How long the upstream wants nothing more from this VM, in milliseconds; undefined if it does not ask for rest. */
    readonly askedRestMs: number | undefined;
}

/** Names of headers and statuses between callers, this program and upstreams. */
export interface RequestDialect {
    parseDemand(headers: RawHeaders): CallerDemand;
    /** The caller's headers as an upstream gets them, with those that this program sets. */
    createHeaders(headers: RawHeaders, options: SendOptions): string[];
    parseAnswer(status: number, headers: RawHeaders): AnswerHead;
    /** Headers of an answer as the caller gets them: without those that concern one connection only. */
    listAnswerHeaders(headers: RawHeaders): string[];
}

/** Guards of an order. */
export interface OrderGuard {
    readonly holder: string;
    readonly fence: number;
    /** Asked in the same step as the write; if it says no, nothing is sent. */
    readonly checkBeforeSend: () => boolean;
}

/** Why there is no report: no connection could be opened, nothing came that can be read, or another incarnation is there. */
export type ReportFailure = "unreachable" | "unknown" | "replaced";

/** Orders to engines. Calls back if an engine's answer says that it leaves. */
export interface EngineOrders {
    send(upstream: Upstream, order: EngineOrder, guard: OrderGuard, onLeaving?: () => void): Promise<OrderAnswer>;
    readReport(upstream: Upstream, onLeaving?: () => void): Promise<Result<EngineReport, ReportFailure>>;
}

/** One VM of the system. */
export interface Member {
    readonly id: string;
    /** `host:port` of its listener for peers. */
    readonly address: string;
    readonly dataCentre?: string | undefined;
    /** The deal of shards in which it has given orders; undefined while it has not. */
    readonly generation?: number | undefined;
    /** Whether its process stopped as planned and gave up what it owned. */
    readonly hasLeft?: boolean | undefined;
}

/** A change of what the platform's store says, in this program's terms. */
export type ClusterChange =
    | { readonly kind: "routing"; readonly routing: Routing; readonly position: number; }
    | { readonly kind: "upstream"; readonly upstream: Upstream; readonly position: number; }
    /** No upstream of this name is registered any more, or its entry cannot be read. */
    | { readonly kind: "upstreamGone"; readonly name: string; readonly position: number; }
    | {
        readonly kind: "version";
        readonly key: string;
        readonly version: number;
        readonly position: number;
        /** How long ago it was named at the most, in milliseconds; undefined if that is not known. */
        readonly ageMs?: number | undefined;
    }
    | { readonly kind: "member"; readonly member: Member; readonly position: number; };

/** A record of the store that cannot be read: something else has written it, or a part of it is wrong. */
export interface UnreadableRecord {
    readonly topic: string;
    readonly key: string;
    readonly position: number;
    /** What is wrong with it. */
    readonly why: string;
}

/** Takes changes as they are read. */
export interface ClusterReceiver {
    receiveUnreadable(record: UnreadableRecord): void;
    receiveChanges(changes: readonly ClusterChange[]): void;
    /** All upstreams that the store lists, at a position: those not among them are gone. */
    receiveUpstreamList(names: ReadonlySet<string>, position: number): void;
    /** Reports of upstreams that have ended, of any VM. */
    receiveCrashReports(reports: readonly CrashReport[]): void;
    /**
     * The newest configuration that the store holds has been passed on.
     * @param asOf When it was the newest for certain, in boot time.
     */
    receiveConfirmed(asOf: number): void;
    /** All members that the store lists have been passed on. Called once. */
    receiveMembersRead(): void;
    receiveReachable(isReachable: boolean, detail: string): void;
}

/** Keeps reports of upstreams that have ended, over restarts of all VMs. */
export interface CrashReportStore {
    /**
     * Writes a report, or drops the one of that name.
     * @param report Undefined drops it.
     * @returns Whether the store has taken it.
     */
    appendCrashReport(name: string, report: CrashReport | undefined): Promise<boolean>;
}

/** Reads the platform's store and goes on reading it. */
export interface ClusterStore extends CrashReportStore {
    start(receiver: ClusterReceiver): void;
    stop(): void;
    /** Whether it goes on reading; the newest records of all are read in any case, once. */
    readonly isReading: boolean;
    setReading(isReading: boolean): void;
    /** Makes this VM known to others, in place of what it said before. Retried until it is done. */
    appendMember(member: Member): void;
}

/** The shards that a VM holds, and the generation of the deal. */
export interface ShardDeal {
    readonly generation: number;
    readonly shards: readonly number[];
}

/** Deals shards of engines to VMs. */
export interface ShardClaims {
    readonly shardCount: number;
    /** Joins, or renews; undefined if no answer came. */
    renew(generation: number): Promise<ShardDeal | undefined>;
    /** Gives all shards back. @returns Whether the store has said so: then the deal is over. */
    release(): Promise<boolean>;
}
