/** Why this program ends a request itself. Each reason is a metric label. */
export type RefusalReason =
    | "noConfiguration"
    | "unknownRoute"
    | "unknownService"
    | "bodyTooLarge"
    /** The body is not complete at the end of the request's time. */
    | "bodyLate"
    /** The request cannot be forwarded, since it is not valid HTTP. */
    | "requestInvalid"
    | "noUpstream"
    | "upstreamsBusy"
    | "enginesFull"
    /** All upstreams have requested backoff from this VM for longer than the request can wait. */
    | "upstreamsRest"
    /** All upstreams limit the requests that they accept, and none has a part left within the request's time. */
    | "upstreamsLimited"
    /** This VM holds too many bytes for slow callers and upstreams. */
    | "memoryFull"
    /** This process ends before the request's time is over. */
    | "stopping"
    | "retryBudgetSpent"
    | "attemptsSpent"
    /** Each upstream process that ran the request has ended. */
    | "endsUpstreams"
    /** Each upstream process that began to answer a part of the request's prompt has ended. */
    | "partEndsUpstreams"
    /** No client account of the current configuration has the caller's key. */
    | "unknownKey"
    /** The configuration was last confirmed as current too long ago to tell whether the caller's key is still valid. */
    | "configurationOld"
    /** The client account has exceeded its quota. */
    | "quotaSpent"
    /** No coordinator of the client account's quota could be reached, or the coordinator does not know what is left. */
    | "quotaUnknown"
    /** It is not known at which software version the resumed stream began. */
    | "streamUnknown"
    /** The resumed stream cannot go on: no upstream of its software version is left, or it is not the only one. */
    | "streamEnded"
    | "timeout"
    | "connectionLost"
    | "upstreamSilent"
    /** The upstream at which a response that had begun was to go on failed. */
    | "upstreamFailed"
    | "versionReplaced"
    | "upstreamReplaced"
    | "quarantined"
    | "wrongAnswer"
    | "truncatedAnswer";

/** Response with which this program refuses a request. */
export interface RefusalResponse {
    readonly status: number;
    readonly reason: RefusalReason;
    /** Value of `Retry-After`, in seconds. */
    readonly retryAfterSeconds?: number;
    /** Additional fields of the log line. */
    readonly detail?: object;
}
