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
import type { BrokenRun, UpstreamEnd } from "./watch.js";

/**
 * How long clearances wait for others, in milliseconds: all that ran at an upstream when it ended is answered elsewhere
 * within some tenths of a second, and one message is enough for them.
 */
const clearanceWaitMs = 250;

/** How often what no longer counts is looked for, in milliseconds. */
const expiryMs = 10_000;

/** Shortest and longest pause before a report is offered to the store again, in milliseconds. */
const minBackoffMs = 100;
const maxBackoffMs = 500;

/** Options of {@link CrashReports}. */
export interface CrashReportsOptions {
    readonly vm: string;
    /** Tells this process from others of the same VM. */
    readonly incarnation: number;
    readonly store: CrashReportStore;
    readonly log: DecisionLog;
    /** Unix time in milliseconds. @default Date.now */
    readonly readWall?: (() => number) | undefined;
    /** Tells other VMs. */
    readonly broadcast: (report: CrashReport) => void;
    /** A verdict may have changed. */
    readonly onChange: () => void;
    /** @default a quarantine with its defaults */
    readonly quarantine?: Quarantine | undefined;
}

/**
 * What this VM knows of requests that end upstreams, and how others learn of it: at once over links, and through the store,
 * which VMs read that were cut off, or start later.
 */
export class CrashReports {
    private readonly quarantine: Quarantine;
    private readonly readWall: () => number;
    private readonly cleared = new Map<string, Clearance>();
    private clearing: NodeJS.Timeout | undefined;
    /** Names of the reports in the store that this VM drops when they are old: its own, and what others have left. */
    private readonly kept = new Set<string>();
    private reports = 0;
    private expiredAt = 0;
    private isStopped = false;

    constructor(private readonly options: CrashReportsOptions) {
        this.quarantine = options.quarantine ?? new Quarantine();
        this.readWall = options.readWall ?? Date.now;
    }

    /** Requests under which upstreams have ended. */
    get requestCount(): number {
        return this.quarantine.requestCount;
    }

    /** Requests that were forgotten for want of room. */
    get droppedCount(): number {
        return this.quarantine.droppedCount;
    }

    /** What is known against a request. Its body is digested only if another request like it but for the body is suspected. */
    findVerdict(digest: RequestDigest): RequestVerdict {
        if (this.quarantine.requestCount === 0 || !this.quarantine.mayKnow(digest.head)) {
            return { kind: "unknown" };
        }
        return this.quarantine.findVerdict(digest.full, this.readWall());
    }

    /** Runs of this VM broke as the process of their upstream ended. */
    recordEnd({ upstream, runs }: UpstreamEnd): void {
        const now = this.readWall();
        const crash: Crash = { upstream: upstream.id, at: now, requests: listDigests(runs) };
        this.quarantine.applyCrash(crash, now);
        this.recordVerdicts(crash.requests);
        this.sendReport({ crashes: [crash], clearances: [] }, true);
        this.options.onChange();
    }

    /** An upstream has answered a request whole: it does not end each that runs it. */
    recordWhole(digest: RequestDigest): void {
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
        this.cleared.set(clearance.request, clearance);
        this.clearing ??= setTimeout(() => this.sendClearances(), clearanceWaitMs);
    }

    /** Lets a refused request run again, on every VM. @returns Whether it was refused. */
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

    /** Takes what another VM has seen, or this one in an earlier life. @returns Whether it was new. */
    applyReport(report: CrashReport): boolean {
        const now = this.readWall();
        if (report.name.startsWith(`${this.options.vm}/`) || this.quarantine.isForgotten(report, now)) {
            this.kept.add(report.name);
        }
        const isNew = this.quarantine.applyReport(report, now);
        if (isNew) {
            this.recordVerdicts(report.crashes.flatMap(({ requests }) => requests));
            this.options.onChange();
        }
        return isNew;
    }

    /** What a VM is told whose link has just opened. */
    listReports(): CrashReport[] {
        return this.quarantine.listReports(this.readWall());
    }

    /** Forgets what no longer counts, in the store too. */
    expireOld(): void {
        const now = this.readWall();
        if (Math.abs(now - this.expiredAt) < expiryMs) {
            return;
        }
        this.expiredAt = now;
        this.quarantine.expireOld(now);
        for (const name of this.kept) {
            if (!this.quarantine.hasReport(name)) {
                this.kept.delete(name);
                void this.options.store.appendCrashReport(name, undefined);
            }
        }
    }

    stop(): void {
        this.isStopped = true;
        clearTimeout(this.clearing);
    }

    private sendClearances(): void {
        this.clearing = undefined;
        const clearances = [...this.cleared.values()];
        this.cleared.clear();
        this.sendReport({ crashes: [], clearances }, false);
    }

    /** @param isKept Whether the store keeps it. */
    private sendReport(content: Omit<CrashReport, "name">, isKept: boolean): void {
        const { vm, incarnation, broadcast } = this.options;
        this.reports += 1;
        const report = { name: `${vm}/${incarnation}/${this.reports}`, ...content };
        this.quarantine.addReport(report);
        broadcast(report);
        if (isKept) {
            this.kept.add(report.name);
            void this.appendReport(report);
        }
    }

    /** Writes a report to the store, as soon as that takes it. */
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
