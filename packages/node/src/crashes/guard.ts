import {
    type CrashReport,
    type FleetView,
    listSharedParts,
    rankByRendezvous,
    type RefusedRequest,
    type Upstream,
} from "@radishreel/fleet";
import { setTimeout as wait } from "node:timers/promises";
import type { DecisionLog } from "../decisions.js";
import type { PeerMessage } from "../links/messages.js";
import type { ProbeResult } from "../paths/index.js";
import type { CrashReportStore } from "../ports.js";
import type { AttemptEnd } from "../requests/attempt.js";
import type { RefusalResponse } from "../requests/caller.js";
import type { Job } from "../requests/job.js";
import { readLastSendAt } from "../requests/timelimit.js";
import { CrashMonitor, type UpstreamEnd } from "./monitor.js";
import { type PermitMessage, Permits } from "./permits.js";
import { CrashReports } from "./reports.js";

/**
 * Longest wait for a probe's result before a request whose run broke is sent to another upstream, in milliseconds: the
 * probed address accepts or refuses within a few milliseconds, unless the path to it is partitioned.
 */
const probeResultWaitMs = 60;

/** Most parts of a prompt that a log line names: a caller decides how many there are. */
const maxLoggedParts = 16;

/** Options of {@link CrashGuard}. */
export interface CrashGuardOptions {
    readonly vm: string;
    /** Distinguishes this process from earlier ones of the same VM. */
    readonly incarnation: number;
    readonly view: FleetView;
    readonly store: CrashReportStore;
    readonly log: DecisionLog;
    readonly readTime: () => number;
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

/** When an attempt was sent, and when its first event arrived. */
export interface AttemptTimes {
    readonly sentAt: number;
    readonly firstEventAt: number | undefined;
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

    /** Whether a request is quarantined: each upstream that ran it has ended. */
    isRefused({ digest }: Job): boolean {
        return this.reports.findVerdict(digest).kind === "refused";
    }

    /** The response to a quarantined request; undefined if the request is not quarantined. */
    findRefusal(job: Job): RefusalResponse | undefined {
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
        return job.permit === undefined && this.reports.findVerdict(job.digest).kind === "suspected";
    }

    /** Whether a request needs a permit to run, and has time left to wait for it. */
    mayWaitForPermit(job: Job): boolean {
        return this.isAwaitingPermit(job) && !job.caller.hasLeft && this.options.readTime() < readLastSendAt(job);
    }

    /** Waits until a suspect request has a permit to run, is cleared or refused, or runs out of time. */
    async waitForPermit(job: Job): Promise<void> {
        if (this.mayWaitForPermit(job)) {
            job.permit = await this.permits.claim(job.digest.full, () => this.mayWaitForPermit(job));
        }
    }

    /** Releases a request's permit, if it has one. */
    endPermit(job: Job): void {
        job.permit?.release();
        job.permit = undefined;
    }

    /** Records the end of an attempt. Resolves once the upstream is probed, or after {@link probeResultWaitMs}. */
    async recordEnd(
        job: Job,
        upstream: Upstream,
        end: AttemptEnd,
        { sentAt, firstEventAt }: AttemptTimes,
    ): Promise<void> {
        if (end.kind === "complete" || end.kind === "failed") {
            this.reports.recordCompletion(job.digest);
            return;
        }
        // A leaving upstream ends as planned, and an attempt that this VM aborted shows nothing about it.
        if (end.kind !== "broken" || end.reason === "versionReplaced" || !this.options.view.isUsable(upstream.id)) {
            return;
        }
        const now = this.options.readTime();
        const settled = this.monitor.recordBrokenRun(upstream, {
            requestId: job.demand.requestId,
            digest: job.digest,
            parts: listSharedParts(job.demand.model),
            answeringMs: firstEventAt === undefined ? undefined : now - firstEventAt,
            sentMs: now - sentAt,
        });
        await Promise.race([settled, wait(probeResultWaitMs)]);
    }

    /** Lists the quarantined requests. */
    listRefused(): RefusedRequest[] {
        return this.reports.listRefused();
    }

    /** Releases a request from quarantine, on all VMs. @returns Whether the request was quarantined. */
    release(request: string): boolean {
        return this.reports.release(request);
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

    /** The VM that issues the permits of a suspect request for all VMs. */
    private findPermitIssuer(request: string): string | undefined {
        return rankByRendezvous(request, this.options.listPermitIssuers().map(id => ({ id })))[0]?.id;
    }
}
