import type {
    CrashReport,
    EngineOrder,
    EngineReport,
    FencesByShard,
    ModelDemand,
    OrderOutcome,
    SoftwareClaims,
    StreamRecord,
    Upstream,
} from "@radishreel/fleet";
import type { Routing, Service } from "@radishreel/routing";
import type { Result } from "neverthrow";

/**
 * Interfaces between this program and its platform. A port to another platform, or a test double, implements them.
 */

/** Header names and values in alternation, as they were sent. */
export type RawHeaders = readonly string[];

/** API key of a caller, which identifies its account. The key must not reach upstreams or logs. */
export type CallerKey =
    | { readonly kind: "missing"; }
    /** The caller sent a key in a form that is not supported. */
    | { readonly kind: "malformed"; }
    | { readonly kind: "key"; readonly key: string; };

/** Parameters of a request that its headers give. */
export interface CallerDemand {
    /** Identifies one attempt of the caller; upstreams echo the identifier. */
    readonly requestId: string | undefined;
    /** @default missing */
    readonly key?: CallerKey | undefined;
    /** The caller's time limit, in milliseconds. */
    readonly budgetMs: number | undefined;
    /** Set for requests to model engines. */
    readonly model: ModelDemand | undefined;
    /** Tokens that the request counts against a quota; undefined if the headers give no number. */
    readonly tokens?: number | undefined;
    /** Identifier of the last event that the caller received of the stream that it resumes. */
    readonly lastEventId: string | undefined;
    /** Identifier of the caller's attempt that received the first event of the stream that this request resumes. */
    readonly resumes?: string | undefined;
}

/** Identity of the caller, as sent to upstreams. */
export interface CallerIdentity {
    /** Name of the account; undefined on a public route. */
    readonly account: string | undefined;
}

/** Options for sending one attempt to an upstream. */
export interface SendOptions {
    /** Name of the upstream that the attempt is for; any other upstream rejects it. */
    readonly upstreamName: string;
    /** Remaining time of the caller, in milliseconds. */
    readonly budgetMs: number;
    /** Adapter version that must serve the request; undefined for requests without an adapter. */
    readonly version: number | undefined;
    /** Identifier of the event after which the stream resumes. */
    readonly lastEventId: string | undefined;
    /** Priority, 0 is the highest; undefined uses the upstream's default. */
    readonly priority: number | undefined;
    /** Undefined if the configuration has no accounts; keys of callers are then passed through. */
    readonly identity?: CallerIdentity | undefined;
}

/** What a response says about the number of requests per second that its upstream accepts over all VMs. */
export type LimitStatement =
    | { readonly kind: "none"; }
    | { readonly kind: "limited"; readonly perSecond: number; }
    /** The response names a limit in a form that cannot be parsed. */
    | { readonly kind: "unreadable"; };

/** Status and headers of an upstream's response, parsed. */
export interface ResponseHead {
    /** Identifier of the request that the response belongs to. */
    readonly requestId: string | undefined;
    /** Whether the upstream states that it did not run the request. */
    readonly isNotRun: boolean;
    /** Whether the upstream is not the incarnation that the request names, or lacks its adapter or version. */
    readonly isMisdirected: boolean;
    /** Whether the upstream signed the response. */
    readonly isSigned: boolean;
    /** Name of the upstream that sent the response, if the response gives it. */
    readonly sentBy: string | undefined;
    /** Whether the upstream announces that it is leaving. */
    readonly isLeaving: boolean;
    /** Backoff that the upstream requests from this VM, in milliseconds; undefined if it requests none. */
    readonly askedRestMs: number | undefined;
    readonly limit: LimitStatement;
}

/** A call that a process answers with which incarnation of an upstream it is. */
export interface IdentityCall {
    readonly path: string;
    readonly headers: RawHeaders;
    /** Identifies the call; responses echo the identifier. */
    readonly requestId: string;
}

/** The whole response to an {@link IdentityCall}. */
export interface IdentityResponse {
    readonly status: number;
    readonly headers: RawHeaders;
    readonly body: string;
}

/**
 * What a response shows about the process that sent it: it is the incarnation; it has the name of the upstream, and may
 * be any of its incarnations; it is another incarnation or upstream; nothing.
 */
export type ShownIdentity = "incarnation" | "name" | "other" | "nothing";

/** Headers and status codes that callers, this program and upstreams use. */
export interface RequestDialect {
    parseDemand(headers: RawHeaders): CallerDemand;
    /** Creates the headers for an upstream: those of the caller and those that this program sets. */
    createHeaders(headers: RawHeaders, options: SendOptions): string[];
    parseResponse(status: number, headers: RawHeaders): ResponseHead;
    /** Lists the headers of a response that are passed on to the caller: all but the hop-by-hop headers. */
    listResponseHeaders(headers: RawHeaders): string[];
    /** Creates a call by which an upstream shows its identity; undefined if the upstream has no such call. */
    createIdentityCall(upstream: Upstream, service: Service): IdentityCall | undefined;
    parseIdentity(upstream: Upstream, response: IdentityResponse): ShownIdentity;
}

/** Conditions under which an order may be sent. */
export interface OrderGuard {
    readonly holder: string;
    readonly fence: number;
    /**
     * Called in the same tick as the write; nothing is sent if it returns false. Called again while an answer is
     * missing, which is not waited for much longer once it returns false.
     */
    readonly checkBeforeSend: () => boolean;
    /** Called if the engine answers after the outcome was `unknown`. */
    readonly onLateAnswer?: () => void;
}

/**
 * Why there is no report: the connection failed or was not opened in time, no readable response arrived, or another
 * incarnation responded.
 */
export type ReportFailure = "unreachable" | "silent" | "unknown" | "replaced";

/** Sends orders to engines. `onLeaving` is called if the response of an engine announces that it is leaving. */
export interface EngineOrders {
    send(upstream: Upstream, order: EngineOrder, guard: OrderGuard, onLeaving?: () => void): Promise<OrderOutcome>;
    readReport(upstream: Upstream, onLeaving?: () => void): Promise<Result<EngineReport, ReportFailure>>;
}

/** A VM of the system, as listed in the store. */
export interface Member {
    readonly id: string;
    /** `host:port` of the VM's listener for peers. */
    readonly address: string;
    readonly dataCentre?: string | undefined;
    /** Generation of the shard assignment in which the VM has given orders; undefined if it has given none. */
    readonly generation?: number | undefined;
    /** Fencing tokens of the VM's orders in this generation. @default unknown */
    readonly fences?: FencesByShard | undefined;
    /** Whether the VM's process stopped as planned and released its shards. */
    readonly hasLeft?: boolean | undefined;
    /** Software versions at which streams may have begun at the VM; undefined if it has claimed none. */
    readonly softwareClaims?: SoftwareClaims | undefined;
    /** Processor cores that the VM may use; undefined if unknown. */
    readonly cores?: number | undefined;
}

/** What the store holds about the streams that callers may resume. */
export interface StreamHistory {
    /** Claims of all VMs that ever wrote any. */
    readonly claims: readonly SoftwareClaims[];
    /** Origins of streams; empty while all claims of each service name the same software version. */
    readonly records: readonly StreamRecord[];
}

/** A change in the platform's store. Its position is the ordinal of an offset. */
export type ClusterChange =
    | { readonly kind: "routing"; readonly routing: Routing; readonly position: number; }
    | { readonly kind: "upstream"; readonly upstream: Upstream; readonly position: number; }
    /** No upstream is registered under this name any more, or its entry cannot be read. */
    | { readonly kind: "upstreamGone"; readonly name: string; readonly position: number; }
    | {
        readonly kind: "version";
        readonly key: string;
        readonly version: number;
        readonly position: number;
        /** Maximum time since the version was published, in milliseconds; undefined if unknown. */
        readonly ageMs?: number | undefined;
    }
    | { readonly kind: "member"; readonly member: Member; readonly position: number; };

/** A record of the store that cannot be read because another program wrote it or a part of it is invalid. */
export interface UnreadableRecord {
    readonly topic: string;
    readonly key: string;
    readonly position: number;
    /** What is wrong with the record. */
    readonly why: string;
}

/** What the store's responses tell about its eras. */
export type StoreEraEvent =
    /** The store has come back from an older copy of itself: what it had confirmed since may be gone. */
    | { readonly kind: "restored"; readonly era: number; readonly previousEra: number; }
    /** A topic was read anew. */
    | {
        readonly kind: "topicRead";
        readonly topic: string;
        readonly era: number;
        /** Offsets up to which the topic was read before, and is read now. */
        readonly endBefore: number;
        readonly end: number;
        readonly records: number;
    }
    /** This VM's entry is written again, since a restored copy of the store may lack it. */
    | { readonly kind: "memberRewritten"; readonly id: string; }
    /** The era of a response is missing or cannot be read. */
    | { readonly kind: "unreadable"; };

/** Receives what is read from the store. */
export interface ClusterReceiver {
    receiveEraEvent(event: StoreEraEvent): void;
    receiveUnreadable(record: UnreadableRecord): void;
    receiveChanges(changes: readonly ClusterChange[]): void;
    /** Receives the names of all registered upstreams at a position; upstreams that are not among them are gone. */
    receiveUpstreamList(names: ReadonlySet<string>, position: number): void;
    /** Receives crash reports of any VM. */
    receiveCrashReports(reports: readonly CrashReport[]): void;
    /** Receives the names of all crash reports that a restored copy of the store holds, after the reports. */
    receiveCrashReportNames(names: ReadonlySet<string>): void;
    /**
     * Called when the newest configuration in the store has been delivered.
     * @param asOf Boot time at which that configuration was certainly the newest, in milliseconds.
     */
    receiveConfirmed(asOf: number): void;
    /** Called once, when all members in the store have been delivered. */
    receiveMembersRead(): void;
    receiveReachable(isReachable: boolean, detail: string): void;
}

/** Keeps crash reports, so that they survive a restart of all VMs. */
export interface CrashReportStore {
    /**
     * Writes a report under a name, or removes the report of that name.
     * @param report Undefined to remove the report.
     * @returns Whether the store confirmed the write.
     */
    appendCrashReport(name: string, report: CrashReport | undefined): Promise<boolean>;
}

/** Keeps the origins of streams, so that they survive a restart of all VMs. */
export interface StreamHistoryStore {
    /** Reads the claims of all VMs; undefined if there is no response, or a restored copy of the store may lack some. */
    readClaims(): Promise<SoftwareClaims[] | undefined>;
    /** Reads the records that were appended since the last call, or all; undefined if there is no response. */
    readStreams(): Promise<StreamRecord[] | undefined>;
    /** @returns Whether the store confirmed the write. */
    appendStreams(records: readonly StreamRecord[]): Promise<boolean>;
}

/** Reads the platform's store continuously. */
export interface ClusterStore extends CrashReportStore {
    start(receiver: ClusterReceiver): void;
    stop(): void;
    /** Whether this VM reads continuously. At the start the newest records are read once in any case. */
    readonly isReading: boolean;
    setReading(isReading: boolean): void;
    /**
     * Writes this VM's entry, which replaces the earlier one. The write is retried until it succeeds.
     * @param onConfirmed Called when the store has confirmed the entry, unless a later entry replaced it before.
     */
    appendMember(member: Member, onConfirmed?: () => void): void;
}

/** The shards that are assigned to a VM. */
export interface ShardAssignment {
    /** Ordinal of the assignment: it rises also if the store comes back from an older copy. */
    readonly generation: number;
    readonly shards: readonly number[];
}

/** Assigns shards of engines to VMs. */
export interface ShardAssigner {
    readonly shardCount: number;
    /**
     * Joins the group or renews the membership. A VM that is not to own engines calls the store in the same way, but is
     * assigned no shards.
     * @param isCandidate Whether the VM is to own engines. @default true
     * @returns Undefined if there was no response.
     */
    renew(generation: number, isCandidate?: boolean): Promise<ShardAssignment | undefined>;
    /** Leaves the group and releases all shards. @returns Whether the store confirmed that the assignment is over. */
    release(): Promise<boolean>;
}
