import { type CrashReport, type FleetView, rankHomes, type RefusedRequest, type Upstream } from "@radishreel/fleet";
import { setTimeout as wait } from "node:timers/promises";
import type { DecisionLog } from "../decisions.js";
import type { PeerMessage } from "../links/messages.js";
import type { CrashReportStore } from "../ports.js";
import type { AttemptEnd } from "../requests/attempt.js";
import type { OwnAnswer } from "../requests/caller.js";
import type { Job } from "../requests/job.js";
import { readLastSendAt } from "../requests/patience.js";
import { type PermitMessage, Permits } from "./permits.js";
import { CrashReports } from "./reports.js";
import { CrashWatch, type ProbeAnswer, type UpstreamEnd } from "./watch.js";

/**
 * Longest wait for word whether an upstream at which a request broke has ended, in milliseconds, before the request is sent
 * on: its address answers or refuses within some milliseconds, unless the path to it is cut.
 */
const breakWaitMs = 60;

/** Options of {@link CrashGuard}. */
export interface CrashGuardOptions {
    readonly vm: string;
    /** Tells this process from others of the same VM. */
    readonly incarnation: number;
    readonly view: FleetView;
    readonly store: CrashReportStore;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    /** Sends to a VM, this one included. @returns Whether it could be sent. */
    readonly send: (vm: string, message: PeerMessage) => boolean;
    readonly broadcast: (message: PeerMessage) => void;
    /** VMs that can be asked whether a suspected request may run, by all that may run it. */
    readonly listReferees: () => string[];
    /** Requests that wait should look again. */
    readonly onChange: () => void;
    /** An upstream has ended under requests of this VM. */
    readonly onUpstreamEnd: (service: string) => void;
    /** @default opens a connection to the address and closes it */
    readonly probe?: ((address: string) => Promise<ProbeAnswer>) | undefined;
}

/** When an attempt was sent, and when its first event came. */
export interface AttemptTimes {
    readonly sentAt: number;
    readonly begunAt: number | undefined;
}

/** Keeps requests that end each upstream that runs them from ending more. */
export class CrashGuard {
    private readonly watch: CrashWatch;
    private readonly reports: CrashReports;
    private readonly permits: Permits;

    constructor(private readonly options: CrashGuardOptions) {
        const { vm, incarnation, store, log, readTime, broadcast, onChange, probe } = options;
        this.watch = new CrashWatch({ readTime, probe, onEnd: end => this.recordUpstreamEnd(end) });
        this.reports = new CrashReports({
            vm,
            incarnation,
            store,
            log,
            broadcast: report => broadcast({ type: "crashReports", reports: [report] }),
            onChange,
        });
        this.permits = new Permits({ readTime, findReferee: request => this.findReferee(request), send: options.send });
    }

    /** Requests under which upstreams have ended, as far as this VM knows. */
    get requestCount(): number {
        return this.reports.requestCount;
    }

    /** Requests that were forgotten for want of room. */
    get droppedCount(): number {
        return this.reports.droppedCount;
    }

    /** Whether each upstream that ran a request has ended. */
    isRefused({ digest }: Job): boolean {
        return this.reports.findVerdict(digest).kind === "refused";
    }

    /** What a caller is told whose request is refused for that; undefined if it is not. */
    findRefusal(job: Job): OwnAnswer | undefined {
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

    /** Whether a request is suspected and has no leave to run. */
    isHeld(job: Job): boolean {
        return job.permit === undefined && this.reports.findVerdict(job.digest).kind === "suspected";
    }

    /** Whether a request must wait for leave to run, and can. */
    mayWaitForPermit(job: Job): boolean {
        return this.isHeld(job) && !job.caller.hasLeft && this.options.readTime() < readLastSendAt(job);
    }

    /** Waits until a suspected request has leave to run, is cleared or refused, or its time ends. */
    async waitForPermit(job: Job): Promise<void> {
        if (this.mayWaitForPermit(job)) {
            job.permit = await this.permits.claim(job.digest.full, () => this.mayWaitForPermit(job));
        }
    }

    /** Ends a request's leave to run, if it has one. */
    endPermit(job: Job): void {
        job.permit?.end();
        job.permit = undefined;
    }

    /** Learns from the end of an attempt. Resolves once it is known, or cannot be known soon, what it says of the request. */
    async recordEnd(job: Job, upstream: Upstream, end: AttemptEnd, { sentAt, begunAt }: AttemptTimes): Promise<void> {
        if (end.kind === "complete" || end.kind === "failed") {
            this.reports.recordWhole(job.digest);
            return;
        }
        // An upstream that was leaving ends as planned, and a request that was taken back tells nothing of its upstream.
        if (end.kind !== "broken" || end.reason === "versionReplaced" || !this.options.view.isUsable(upstream.id)) {
            return;
        }
        const now = this.options.readTime();
        const settled = this.watch.recordBreak(upstream, {
            requestId: job.demand.requestId,
            digest: job.digest,
            answeringMs: begunAt === undefined ? undefined : now - begunAt,
            sentMs: now - sentAt,
        });
        await Promise.race([settled, wait(breakWaitMs)]);
    }

    /** Requests that are refused. */
    listRefused(): RefusedRequest[] {
        return this.reports.listRefused();
    }

    /** Lets a refused request run again, on every VM. @returns Whether it was refused. */
    release(request: string): boolean {
        return this.reports.release(request);
    }

    /** An entry of an upstream came. */
    receiveEntry(upstream: Upstream): void {
        this.watch.receiveEntry(upstream);
    }

    /** Takes what other VMs have seen. @returns What was new of it. */
    receiveReports(reports: readonly CrashReport[]): CrashReport[] {
        return reports.filter(report => this.reports.applyReport(report));
    }

    receiveMessage(vm: string, message: PermitMessage): void {
        this.permits.receiveMessage(vm, message);
    }

    removeVm(vm: string): void {
        this.permits.removeVm(vm);
    }

    /** Reports that a VM must know which cannot read the store; mostly none. */
    listReports(): CrashReport[] {
        return this.reports.listReports();
    }

    /** What a VM is told whose link has just opened. */
    createGreeting(): PeerMessage[] {
        const reports = this.listReports();
        return reports.length === 0 ? [] : [{ type: "crashReports", reports }];
    }

    expireOld(): void {
        this.watch.expireOld();
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
            runs: runs.map(({ requestId, digest, sentMs, answeringMs }) => ({
                request: requestId,
                digest: digest.full,
                sentMs: Math.round(sentMs),
                answeringMs: answeringMs === undefined ? undefined : Math.round(answeringMs),
            })),
        });
        this.reports.recordEnd(end);
    }

    /** The VM that all ask whether a suspected request may run. */
    private findReferee(request: string): string | undefined {
        return rankHomes(request, this.options.listReferees().map(id => ({ id })))[0]?.id;
    }
}
