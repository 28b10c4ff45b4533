import type { UpstreamChoice, UpstreamLimit } from "@radishreel/fleet";
import type { LimitStatement } from "../ports.js";
import type { AttemptEnd } from "./attemptend.js";
import type { Job } from "./job.js";
import { emptyMetadata, type ResponseMetadata } from "./metadata.js";

/** Shortest silence that the log line of an attempt names, in milliseconds. */
const minLoggedSilenceMs = 200;

/** Shortest delay of the housekeeping timer that the log line of an attempt names, in milliseconds. */
const minLoggedLagMs = 50;

/** What is known of one attempt for its log line. Times are in milliseconds. */
export interface AttemptRecord {
    readonly sentAt: number;
    writtenAt: number | undefined;
    /** Delay of this process when the request was to be written; 0 before. */
    lagMs: number;
    responseStartedAt: number | undefined;
    metadata: ResponseMetadata;
    /** Time since the version of the choice was replaced. */
    readonly replacedMs: number | undefined;
    readonly leavingSince: number | undefined;
    /** Limit of the upstream when the attempt started. */
    readonly limit: UpstreamLimit | undefined;
    /** Number of statements about the upstream's limit when the request was written. */
    limitStatements: number;
    /** VM that carried the connection; undefined for a direct one. */
    via: string | undefined;
    /** Longest time without data from the upstream since the request was written. */
    silentMs: number;
    /** Time for which no response of the upstream to this VM had made progress when the attempt ended. */
    upstreamSilentMs: number;
    /** Events that the caller had received in this response when the attempt started. */
    readonly resumedEvents: number;
}

/** What is known of an attempt when it starts. */
export type AttemptStart = Pick<
    AttemptRecord,
    "sentAt" | "replacedMs" | "leavingSince" | "limit" | "resumedEvents"
>;

/** Creates the record of an attempt that starts. */
export function createAttemptRecord(start: AttemptStart): AttemptRecord {
    return {
        ...start,
        writtenAt: undefined,
        lagMs: 0,
        responseStartedAt: undefined,
        metadata: emptyMetadata,
        limitStatements: 0,
        via: undefined,
        silentMs: 0,
        upstreamSilentMs: 0,
    };
}

/** One attempt that has ended. */
export interface EndedAttempt {
    readonly job: Job;
    readonly choice: UpstreamChoice;
    readonly end: AttemptEnd;
    readonly record: AttemptRecord;
    /** When the attempt ended, in milliseconds. */
    readonly now: number;
}

/** Formats the fields of an attempt's log line. */
export function formatAttempt({ job, choice, end, record, now }: EndedAttempt): object {
    const { sentAt, metadata, limit } = record;
    return {
        request: job.demand.requestId,
        upstream: choice.state.upstream.id,
        software: choice.state.upstream.softwareVersion,
        resumes: job.demand.lastEventId === undefined ? undefined : job.demand.resumes ?? "unknown",
        resumedEvents: record.resumedEvents === 0 ? undefined : record.resumedEvents,
        adapter: job.demand.model?.adapter,
        version: choice.version,
        costMs: Math.round(choice.costMs),
        prefill: choice.prefillTokens,
        replacedMs: record.replacedMs,
        waitedMs: Math.round(job.waitedMs),
        via: record.via,
        receivedMs: formatElapsed(job.startedAt, sentAt),
        writtenMs: formatElapsed(sentAt, record.writtenAt),
        lagMs: record.lagMs < minLoggedLagMs ? undefined : Math.round(record.lagMs),
        begunMs: formatElapsed(sentAt, record.responseStartedAt),
        ms: Math.round(now - sentAt),
        silentMs: record.silentMs < minLoggedSilenceMs ? undefined : Math.round(record.silentMs),
        upstreamSilentMs: end.kind === "broken" ? Math.round(record.upstreamSilentMs) : undefined,
        end: end.kind,
        detail: "detail" in end ? end.detail : undefined,
        status: "status" in end ? end.status : undefined,
        leavingMs: formatElapsed(record.leavingSince, sentAt),
        limit: limit?.perSecond,
        limitAgeMs: formatElapsed(limit?.since, sentAt),
        saysLeaving: metadata.isLeaving || undefined,
        asksRestMs: metadata.askedRestMs,
        saysLimit: formatLimit(metadata.limit),
    };
}

/** Formats the time between two moments for the log, in milliseconds; undefined unless both are known. */
export function formatElapsed(from: number | undefined, to: number | undefined): number | undefined {
    return from === undefined || to === undefined ? undefined : Math.round(to - from);
}

/** Formats what a response says about its upstream's limit for the log; undefined if it names none. */
function formatLimit(limit: LimitStatement | undefined): number | string | undefined {
    return limit?.kind === "limited" ? limit.perSecond : limit?.kind === "unreadable" ? limit.kind : undefined;
}

/** A request whose caller has left while no upstream had it. */
export type LeftRequest = Pick<Job, "demand" | "startedAt" | "attempts" | "waitedMs">;

/** Formats the fields of the log line of such a request. @param lagMs Delay of this process, in milliseconds. */
export function formatLeft({ demand, startedAt, attempts, waitedMs }: LeftRequest, now: number, lagMs: number): object {
    return {
        request: demand.requestId,
        ms: Math.round(now - startedAt),
        attempts,
        waitedMs: Math.round(waitedMs),
        lagMs: Math.round(lagMs),
    };
}

/** A request whose last attempt has ended. */
export interface EndedRequest {
    readonly job: Job;
    /** How its last attempt ended. */
    readonly kind: AttemptEnd["kind"];
    readonly choice: UpstreamChoice;
    /** When it ended, in milliseconds. */
    readonly now: number;
}

/** Formats the fields of the log line of a request that was served. */
export function formatServed({ job, kind, choice, now }: EndedRequest): object {
    const { startedAt, progress } = job;
    return {
        request: job.demand.requestId,
        route: job.route.name,
        account: job.account?.name,
        cost: job.claim?.cost,
        upstream: choice.state.upstream.id,
        end: kind,
        ms: Math.round(now - startedAt),
        attempts: job.attempts,
        events: progress.events,
        firstEventMs: formatElapsed(startedAt, progress.firstEventAt),
        longestPauseMs: Math.round(progress.longestPauseMs),
        outputTokens: job.demand.model?.outputTokens,
    };
}
