import {
    type Clearance,
    type Crash,
    type CrashReport,
    Quarantine,
    type RefusedRequest,
    type RequestVerdict,
} from "@radishreel/fleet";
import { setTimeout as wait } from "node:timers/promises";
import type { DecisionLog } from "../decisions.js";
import type { CrashReportStore } from "../ports.js";
import type { RequestDigest } from "../requests/digest.js";
import type { BrokenRun, UpstreamEnd } from "./monitor.js";

/**
 * How long clearances are collected before they are sent in one message, in milliseconds: all requests that ran on an
 * upstream when it ended are completed by other upstreams within some tenths of a second.
 */
const clearanceBatchMs = 250;

/** Interval at which expired reports are dropped, in milliseconds. */
const expiryIntervalMs = 10_000;

/** Shortest and longest backoff before a report is sent to the store again, in milliseconds. */
const minBackoffMs = 100;
const maxBackoffMs = 500;

/** Options of {@link CrashReports}. */
export interface CrashReportsOptions {
    readonly vm: string;
    /** Distinguishes this process from earlier ones of the same VM. */
    readonly incarnation: number;
    readonly store: CrashReportStore;
    readonly log: DecisionLog;
    /** Unix time in milliseconds. @default Date.now */
    readonly readWall?: (() => number) | undefined;
    /** Sends a report to all other VMs. */
    readonly broadcast: (report: CrashReport) => void;
    /** Called when a verdict may have changed. */
    readonly onChange: () => void;
    /** @default a quarantine with its defaults */
    readonly quarantine?: Quarantine | undefined;
}

/**
 * Holds what this VM knows about requests that end upstreams, and shares it: over links at once, and through the store
 * for VMs that were disconnected or start later.
 */
export class CrashReports {
    private readonly quarantine: Quarantine;
    private readonly readWall: () => number;
    private readonly pendingClearances = new Map<string, Clearance>();
    private clearanceTimer: NodeJS.Timeout | undefined;
    /** Names of the stored reports that this VM deletes once they expire: its own, and those of removed VMs. */
    private readonly namesToExpire = new Set<string>();
    private reportCount = 0;
    private lastExpiryAt = 0;
    private isStopped = false;

    constructor(private readonly options: CrashReportsOptions) {
        this.quarantine = options.quarantine ?? new Quarantine();
        this.readWall = options.readWall ?? Date.now;
    }

    /** Number of requests during which upstreams ended. */
    get requestCount(): number {
        return this.quarantine.requestCount;
    }

    /** Number of requests that were dropped because the quarantine was full. */
    get droppedCount(): number {
        return this.quarantine.droppedCount;
    }

    /** The verdict on a request. Its body is only digested if a known request is equal in all other parts. */
    findVerdict(digest: RequestDigest): RequestVerdict {
        if (this.quarantine.requestCount === 0 || !this.quarantine.mayTrack(digest.head)) {
            return { kind: "unknown" };
        }
        return this.quarantine.findVerdict(digest.full, this.readWall());
    }

    /** Records that the process of an upstream ended while it ran requests of this VM. */
    recordUpstreamEnd({ upstream, runs }: UpstreamEnd): void {
        const now = this.readWall();
        const crash: Crash = { upstream: upstream.id, at: now, requests: listDigests(runs) };
        this.quarantine.applyCrash(crash, now);
        this.recordVerdicts(crash.requests);
        this.sendReport({ crashes: [crash], clearances: [] }, true);
        this.options.onChange();
    }

    /** Records that an upstream completed a request: the request does not end each upstream that runs it. */
    recordCompletion(digest: RequestDigest): void {
        const verdict = this.findVerdict(digest);
        if (verdict.kind === "unknown") {
            return;
        }
        const now = this.readWall();
        const clearance = this.quarantine.createClearance(digest.full, now);
        this.quarantine.applyClearance(clearance, now);
        this.options.log.record("requestCleared", { digest: digest.full, upstreams: verdict.upstreams });
        if (verdict.upstreams.length > 1) {
            this.sendReport({ crashes: [], clearances: [clearance] }, true);
            return;
        }
        this.pendingClearances.set(clearance.request, clearance);
        this.clearanceTimer ??= setTimeout(() => this.sendClearances(), clearanceBatchMs);
    }

    /** Releases a request from quarantine, on all VMs. @returns Whether the request was quarantined. */
    release(request: string): boolean {
        const now = this.readWall();
        const verdict = this.quarantine.findVerdict(request, now);
        if (verdict.kind !== "refused") {
            return false;
        }
        const clearance = this.quarantine.createClearance(request, now);
        this.quarantine.applyClearance(clearance, now);
        this.options.log.recordImportant("requestReleased", { digest: request, upstreams: verdict.upstreams });
        this.sendReport({ crashes: [], clearances: [clearance] }, true);
        return true;
    }

    listRefused(): RefusedRequest[] {
        return this.quarantine.listRefused(this.readWall());
    }

    /** Applies a report of another VM, or of an earlier process of this VM. @returns Whether the report was new. */
    applyReport(report: CrashReport): boolean {
        const now = this.readWall();
        if (report.name.startsWith(`${this.options.vm}/`) || this.quarantine.isPastRetention(report, now)) {
            this.namesToExpire.add(report.name);
        }
        const isNew = this.quarantine.applyReport(report, now);
        if (isNew) {
            this.recordVerdicts(report.crashes.flatMap(({ requests }) => requests));
            this.options.onChange();
        }
        return isNew;
    }

    /** Lists the reports that are sent to a VM whose link has just opened. */
    listReports(): CrashReport[] {
        return this.quarantine.listReports(this.readWall());
    }

    /**
     * Writes known reports again that a restored copy of the store lacks, also those of other VMs: they may be gone.
     * @param stored Names of the reports that the store holds.
     */
    appendMissing(stored: ReadonlySet<string>): string[] {
        const missing = this.quarantine.listReports(this.readWall()).filter(({ name }) => !stored.has(name));
        for (const report of missing) {
            this.namesToExpire.add(report.name);
            void this.appendReport(report);
        }
        return missing.map(({ name }) => name);
    }

    /** Drops expired reports, and deletes them from the store. */
    expireOld(): void {
        const now = this.readWall();
        if (Math.abs(now - this.lastExpiryAt) < expiryIntervalMs) {
            return;
        }
        this.lastExpiryAt = now;
        this.quarantine.expireOld(now);
        for (const name of this.namesToExpire) {
            if (!this.quarantine.hasReport(name)) {
                this.namesToExpire.delete(name);
                void this.options.store.appendCrashReport(name, undefined);
            }
        }
    }

    stop(): void {
        this.isStopped = true;
        clearTimeout(this.clearanceTimer);
    }

    private sendClearances(): void {
        this.clearanceTimer = undefined;
        const clearances = [...this.pendingClearances.values()];
        this.pendingClearances.clear();
        this.sendReport({ crashes: [], clearances }, false);
    }

    /** Broadcasts a report. @param isStored Whether the report is also written to the store. */
    private sendReport(content: Omit<CrashReport, "name">, isStored: boolean): void {
        const { vm, incarnation, broadcast } = this.options;
        this.reportCount += 1;
        const report = { name: `${vm}/${incarnation}/${this.reportCount}`, ...content };
        this.quarantine.addReport(report);
        broadcast(report);
        if (isStored) {
            this.namesToExpire.add(report.name);
            void this.appendReport(report);
        }
    }

    /** Writes a report to the store, and retries until the store accepts it. */
    private async appendReport(report: CrashReport): Promise<void> {
        for (let backoffMs = minBackoffMs; !this.isStopped; backoffMs = Math.min(backoffMs * 2, maxBackoffMs)) {
            if (await this.options.store.appendCrashReport(report.name, report)) {
                return;
            }
            await wait(backoffMs * (0.5 + Math.random()));
        }
    }

    private recordVerdicts(requests: readonly string[]): void {
        const now = this.readWall();
        for (const request of requests) {
            const verdict = this.quarantine.findVerdict(request, now);
            if (verdict.kind === "refused") {
                this.options.log.recordImportant("requestCondemned", {
                    digest: request,
                    upstreams: verdict.upstreams,
                    until: new Date(verdict.until).toISOString(),
                });
            }
        }
    }
}

function listDigests(runs: readonly BrokenRun[]): string[] {
    return [...new Set(runs.map(({ digest }) => digest.full))];
}
