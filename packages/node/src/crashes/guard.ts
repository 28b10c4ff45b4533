import {
    type CondemnedParts,
    type CrashReport,
    type FleetView,
    listSharedParts,
    type ModelDemand,
    rankByRendezvous,
    type RefusedRequest,
    type Upstream,
} from "@radishreel/fleet";
import { setTimeout as wait } from "node:timers/promises";
import type { DecisionLog } from "../decisions.js";
import type { PeerMessage } from "../links/messages.js";
import type { ProbeResult } from "../paths/index.js";
import type { CrashReportStore } from "../ports.js";
import type { AttemptEnd, BreakReason } from "../requests/attemptend.js";
import type { Job } from "../requests/job.js";
import type { RefusalResponse } from "../requests/refusal.js";
import { readLastSendAt } from "../requests/timelimit.js";
import { checkEndedResponse, type EndCheckOptions } from "./endcheck.js";
import { CrashMonitor, type UpstreamEnd } from "./monitor.js";
import { type PermitMessage, Permits } from "./permits.js";
import { CrashReports } from "./reports.js";

/**
 * Longest wait for a probe's result before a request whose run broke is sent to another upstream, in milliseconds: the
 * probed address accepts or refuses within a few milliseconds, unless the path to it is partitioned.
 */
const probeResultWaitMs = 60;

/** Reasons for which this VM itself ends attempts. */
const abortReasons: ReadonlySet<BreakReason> = new Set(["versionReplaced", "quarantined"]);

/** Reasons for which this VM ends attempts while the upstream may still run them. */
const silenceReasons: ReadonlySet<BreakReason> = new Set(["upstreamSilent", "timeout"]);

/** `Retry-After` of a request that has a condemned part, in seconds: the part stays condemned until it is released. */
const partRetryAfterSeconds = 1800;

/** Ends that count against a part from which requests with it are not retried after a further end. */
const minEndsWithoutRetry = 2;

/** Most parts of a prompt that a log line names: a caller decides how many there are. */
const maxLoggedParts = 16;

/** Options of {@link CrashGuard}. */
export interface CrashGuardOptions extends EndCheckOptions {
    readonly vm: string;
    /** Distinguishes this process from earlier ones of the same VM. */
    readonly incarnation: number;
    readonly view: FleetView;
    readonly store: CrashReportStore;
    readonly log: DecisionLog;
    /** Sends a message to a VM, this one included. @returns Whether the message could be sent. */
    readonly send: (vm: string, message: PeerMessage) => boolean;
    readonly broadcast: (message: PeerMessage) => void;
    /** VMs that can issue permits for suspect requests: all VMs that may run these requests choose among them. */
    readonly listPermitIssuers: () => string[];
    /** Called when verdicts may have changed, so that waiting requests check theirs again. */
    readonly onChange: () => void;
    /** Called when the process of an upstream ended while it ran requests of this VM. */
    readonly onUpstreamEnd: (service: string) => void;
    /** Opens a connection to an upstream and closes it. */
    readonly probe: (upstream: Upstream) => Promise<ProbeResult>;
}

/** When an attempt was sent, and for how long events of its stream arrived, in milliseconds; undefined without any. */
export interface AttemptTimes {
    readonly sentAt: number;
    readonly answeringMs: number | undefined;
}

/** Detects requests that end the upstream processes that run them, and refuses them. */
export class CrashGuard {
    private readonly monitor: CrashMonitor;
    private readonly reports: CrashReports;
    private readonly permits: Permits;

    constructor(private readonly options: CrashGuardOptions) {
        const { vm, incarnation, store, log, readTime, broadcast, onChange, probe } = options;
        this.monitor = new CrashMonitor({ readTime, probe, onEnd: end => this.recordUpstreamEnd(end) });
        this.reports = new CrashReports({
            vm,
            incarnation,
            store,
            log,
            broadcast: report => broadcast({ type: "crashReports", reports: [report] }),
            onChange,
        });
        this.permits = new Permits({
            readTime,
            findIssuer: request => this.findPermitIssuer(request),
            send: options.send,
        });
    }

    /** Number of requests during which upstreams ended, as far as this VM knows. */
    get requestCount(): number {
        return this.reports.requestCount;
    }

    /** Number of requests that were dropped because the quarantine was full. */
    get droppedCount(): number {
        return this.reports.droppedCount;
    }

    /** Number of parts of prompts that are refused. */
    get condemnedPartCount(): number {
        return this.reports.listCondemned().length;
    }

    /** Whether a request is quarantined: each upstream that ran it, or a part of its prompt, has ended. */
    isRefused({ digest, demand }: Job): boolean {
        return this.findCondemnedParts(demand.model) !== undefined
            || this.reports.findVerdict(digest).kind === "refused";
    }

    /** The response to a request that has a condemned part and has not run; undefined if it has no such part. */
    findPartRefusal(model: ModelDemand | undefined): RefusalResponse | undefined {
        const condemned = this.findCondemnedParts(model);
        return condemned === undefined ? undefined : {
            status: 503,
            reason: "partEndsUpstreams",
            retryAfterSeconds: condemned.until === undefined
                ? partRetryAfterSeconds
                : Math.max(0, condemned.until - Date.now()) / 1000,
            detail: { parts: condemned.parts, upstreams: condemned.upstreams },
        };
    }

    /** The response to a quarantined request; undefined if the request is not quarantined. */
    findRefusal(job: Job): RefusalResponse | undefined {
        const partRefusal = this.findPartRefusal(job.demand.model);
        if (partRefusal !== undefined) {
            return job.runs > 0 ? { ...partRefusal, status: 502, retryAfterSeconds: undefined } : partRefusal;
        }
        const verdict = this.reports.findVerdict(job.digest);
        if (verdict.kind !== "refused") {
            return undefined;
        }
        const detail = { digest: job.digest.full, upstreams: verdict.upstreams };
        if (job.runs > 0) {
            return { status: 502, reason: "endsUpstreams", detail };
        }
        const retryAfterSeconds = Math.max(0, verdict.until - Date.now()) / 1000;
        return { status: 503, reason: "endsUpstreams", retryAfterSeconds, detail };
    }

    /** Whether a request is suspect and has no permit to run. */
    isAwaitingPermit(job: Job): boolean {
        return job.permit === undefined && this.findPermitKey(job) !== undefined;
    }

    /** Whether a request needs a permit to run, and has time left to wait for it. */
    mayWaitForPermit(job: Job): boolean {
        return this.isAwaitingPermit(job) && !job.caller.hasLeft && this.options.readTime() < readLastSendAt(job);
    }

    /** Waits until a suspect request has a permit to run, is cleared or refused, or runs out of time. */
    async waitForPermit(job: Job): Promise<void> {
        const key = this.findPermitKey(job);
        if (key !== undefined && this.mayWaitForPermit(job)) {
            job.permit = await this.permits.claim(key, () => this.mayWaitForPermit(job));
        }
    }

    /** Releases a request's permit, if it has one. */
    endPermit(job: Job): void {
        job.permit?.release();
        job.permit = undefined;
    }

    /** Whether a request whose run broke may be what ended its upstream, by a part that ended others before. */
    isSuspect({ demand }: Job): boolean {
        const { parts } = this.reports;
        return listSharedParts(demand.model).some(part =>
            parts.readSoundAt(part) === -Infinity && parts.countEnds(part) >= minEndsWithoutRetry
        );
    }

    /** Records that an upstream has answered a request for a while, or completed it: its prompt is not fatal. */
    recordAnswer({ demand }: Job): void {
        this.reports.recordAnswer(listSharedParts(demand.model));
    }

    /** Records the end of an attempt. Resolves once the upstream is probed, or after {@link probeResultWaitMs}. */
    async recordEnd(
        job: Job,
        upstream: Upstream,
        end: AttemptEnd,
        { sentAt, answeringMs }: AttemptTimes,
    ): Promise<void> {
        if (end.kind === "complete" || end.kind === "failed") {
            this.reports.recordCompletion(job.digest);
            // A response that ends with its connection may have been cut off by the end of its upstream.
            if (end.kind === "complete" && end.status < 300 && end.isCloseDelimited !== true) {
                this.recordAnswer(job);
            }
            return;
        }
        // A leaving upstream ends as planned, and an attempt that this VM aborted shows nothing about it.
        if (end.kind !== "broken" || abortReasons.has(end.reason) || !this.options.view.isUsable(upstream.id)) {
            return;
        }
        const settled = this.monitor.recordBrokenRun(upstream, {
            requestId: job.demand.requestId,
            digest: job.digest,
            parts: listSharedParts(job.demand.model),
            answeringMs,
            sentMs: this.options.readTime() - sentAt,
            isSilent: silenceReasons.has(end.reason),
        });
        await Promise.race([settled, wait(probeResultWaitMs)]);
    }

    /** Checks whether the process of an upstream may have ended, when a response was ended by its connection. */
    checkEnded(upstream: Upstream, { demand, service }: Job, writtenAt = -Infinity): Promise<boolean> {
        return checkEndedResponse(upstream, { requestId: demand.requestId, service, writtenAt }, this.options);
    }

    /** Lists the quarantined requests. */
    listRefused(): RefusedRequest[] {
        return this.reports.listRefused();
    }

    /** Releases a request from quarantine, on all VMs. @returns Whether the request was quarantined. */
    release(request: string): boolean {
        return this.reports.release(request);
    }

    /** Lists the condemned parts of prompts. */
    listCondemnedParts(): readonly CondemnedParts[] {
        return this.reports.listCondemned();
    }

    /** Releases a part of prompts from quarantine, on all VMs. @returns Whether the part was condemned. */
    releasePart(part: string): boolean {
        return this.reports.releasePart(part);
    }

    /** Handles the announcement of an upstream. */
    receiveEntry(upstream: Upstream): void {
        this.monitor.receiveEntry(upstream);
    }

    /** Applies reports of other VMs. @returns The reports that were new. */
    receiveReports(reports: readonly CrashReport[]): CrashReport[] {
        return reports.filter(report => this.reports.applyReport(report));
    }

    /** Writes reports again that a restored copy of the store lacks. @param stored Names of all stored reports. */
    receiveStoredNames(stored: ReadonlySet<string>): void {
        const names = this.reports.appendMissing(stored);
        if (names.length > 0) {
            this.options.log.recordImportant("storeRewritten", { what: "crashReports", names });
        }
    }

    receiveMessage(vm: string, message: PermitMessage): void {
        this.permits.receiveMessage(vm, message);
    }

    removeVm(vm: string): void {
        this.permits.removeVm(vm);
    }

    /** Lists the reports that a VM needs if it cannot read the store; usually none. */
    listReports(): CrashReport[] {
        return this.reports.listReports();
    }

    /** Creates the messages to a VM whose link has just opened. */
    createInitialMessages(): PeerMessage[] {
        const reports = this.listReports();
        return reports.length === 0 ? [] : [{ type: "crashReports", reports }];
    }

    expireOld(): void {
        this.monitor.expireOld();
        this.reports.expireOld();
        this.permits.expireOld();
    }

    stop(): void {
        this.reports.stop();
    }

    private recordUpstreamEnd(end: UpstreamEnd): void {
        const { upstream, runs } = end;
        this.options.onUpstreamEnd(upstream.service);
        this.options.log.recordImportant("upstreamEnded", {
            upstream: upstream.id,
            service: upstream.service,
            runs: runs.map(({ requestId, digest, parts, sentMs, answeringMs }) => ({
                request: requestId,
                digest: digest.full,
                parts: parts.length === 0 ? undefined : parts.slice(0, maxLoggedParts),
                sentMs: Math.round(sentMs),
                answeringMs: answeringMs === undefined ? undefined : Math.round(answeringMs),
            })),
        });
        this.reports.recordUpstreamEnd(end);
    }

    /** What a request has in common with others of which only one may run at a time; undefined without it. */
    private findPermitKey({ digest, demand }: Job): string | undefined {
        const trial = this.reports.parts.hasCondemned
            ? this.reports.findOnTrial(listSharedParts(demand.model))
            : undefined;
        if (trial !== undefined) {
            return `parts/${trial.parts.join()}`;
        }
        return this.reports.findVerdict(digest).kind === "suspected" ? digest.full : undefined;
    }

    private findCondemnedParts(model: ModelDemand | undefined): CondemnedParts | undefined {
        return this.reports.parts.hasCondemned ? this.reports.findCondemned(listSharedParts(model)) : undefined;
    }

    /** The VM that issues the permits of a suspect request for all VMs. */
    private findPermitIssuer(request: string): string | undefined {
        return rankByRendezvous(request, this.options.listPermitIssuers().map(id => ({ id })))[0]?.id;
    }
}
