import {
    type Clearance,
    type CondemnedParts,
    type Crash,
    type CrashReport,
    type PartClearance,
    type PartQuarantine,
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

/**
 * Most bytes of the ids of suspect parts in one report: about as many as the headers of one request can hold. A caller
 * decides how many parts its prompts have.
 */
const maxPartBytes = 16 * 1024;

/** Ends that count against a part from which its clearance is stored: VMs that start later must not condemn the part. */
const minEndsToStore = 2;

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
    private readonly pendingPartClearances = new Map<string, PartClearance>();
    private arePartClearancesStored = false;
    /** Condemned parts that were logged. */
    private readonly loggedParts = new Set<string>();
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

    /** Evidence about the parts of prompts. */
    get parts(): PartQuarantine {
        return this.quarantine.parts;
    }

    /** Finds the condemned parts for which a prompt is refused; undefined if it is not refused. */
    findCondemned(parts: readonly string[]): CondemnedParts | undefined {
        return this.parts.findCondemned(parts, this.readWall());
    }

    /** Finds the parts of a prompt whose refusal has ended without a verdict; undefined if it has none. */
    findOnTrial(parts: readonly string[]): CondemnedParts | undefined {
        return this.parts.findOnTrial(parts, this.readWall());
    }

    listCondemned(): readonly CondemnedParts[] {
        return this.parts.listCondemned(this.readWall());
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
        const prompts = listPrompts(runs.map(({ parts }) => this.parts.listSuspects(parts, now)));
        const crash: Crash = {
            upstream: upstream.id,
            at: now,
            requests: listDigests(runs),
            prompts: prompts.length === 0 ? undefined : prompts,
        };
        this.quarantine.applyCrash(crash, now);
        this.recordVerdicts(crash.requests);
        this.recordCondemnedParts();
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
        this.scheduleClearances();
    }

    /** Records that an answer on these parts has gone on: none of them ends each upstream that answers it. */
    recordAnswer(parts: readonly string[]): void {
        const now = this.readWall();
        const isCondemned = this.parts.findCondemned(parts, now) !== undefined;
        this.arePartClearancesStored ||= parts.some(part => this.parts.countEnds(part) >= minEndsToStore);
        for (const part of this.parts.recordAnswer(parts, now)) {
            this.pendingPartClearances.set(part, { part, at: this.parts.readClearanceTime(part, now) });
            this.scheduleClearances();
        }
        if (isCondemned) {
            this.recordCondemnedParts();
            this.options.onChange();
        }
    }

    /** Releases a condemned part of prompts, on all VMs. @returns Whether the part was condemned. */
    releasePart(part: string): boolean {
        const now = this.readWall();
        const condemned = this.parts.listCondemned(now).find(({ parts }) => parts.includes(part));
        if (condemned === undefined) {
            return false;
        }
        const partClearances = condemned.parts.map(id => ({ part: id, at: this.parts.readClearanceTime(id, now) }));
        partClearances.forEach(({ part: id, at }) => this.parts.applyClearance(id, at));
        this.options.log.recordImportant("partReleased", { ...condemned });
        this.recordCondemnedParts();
        this.sendReport({ crashes: [], clearances: [], partClearances }, true);
        return true;
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
            report.partClearances?.forEach(({ part }) => this.pendingPartClearances.delete(part));
            this.recordVerdicts(report.crashes.flatMap(({ requests }) => requests));
            this.recordCondemnedParts();
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

    private scheduleClearances(): void {
        this.clearanceTimer ??= setTimeout(() => this.sendClearances(), clearanceBatchMs);
    }

    private sendClearances(): void {
        this.clearanceTimer = undefined;
        const clearances = [...this.pendingClearances.values()];
        const partClearances = [...this.pendingPartClearances.values()];
        const isStored = this.arePartClearancesStored && partClearances.length > 0;
        this.pendingClearances.clear();
        this.pendingPartClearances.clear();
        this.arePartClearancesStored = false;
        if (clearances.length > 0 || partClearances.length > 0) {
            this.sendReport({
                crashes: [],
                clearances,
                partClearances: partClearances.length === 0 ? undefined : partClearances,
            }, isStored);
        }
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

    /** Logs which parts of prompts are condemned now and were not before, and the other way round. */
    private recordCondemnedParts(): void {
        const condemned = new Map(this.parts.listCondemned(this.readWall()).map(group => [group.parts.join(), group]));
        for (const [name, group] of condemned) {
            if (!this.loggedParts.has(name)) {
                this.loggedParts.add(name);
                this.options.log.recordImportant("partCondemned", { ...group });
            }
        }
        for (const name of this.loggedParts) {
            if (!condemned.has(name)) {
                this.loggedParts.delete(name);
                this.options.log.recordImportant("partCleared", { parts: name.split(",") });
            }
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

/** Lists the distinct prompts that have parts, within the bound of a report: the first parts of each come first. */
function listPrompts(prompts: readonly (readonly string[])[]): string[][] {
    const distinct = [...new Map(prompts.map(parts => [parts.join(), parts])).values()];
    const listed: string[][] = distinct.map(() => []);
    const longest = Math.max(0, ...distinct.map(({ length }) => length));
    let bytes = 0;
    for (let position = 0; position < longest; position++) {
        for (const [index, parts] of distinct.entries()) {
            const part = parts[position];
            if (part !== undefined && bytes + part.length <= maxPartBytes) {
                bytes += part.length;
                listed[index]!.push(part);
            }
        }
    }
    return listed.filter(({ length }) => length > 0);
}

function listDigests(runs: readonly BrokenRun[]): string[] {
    return [...new Set(runs.map(({ digest }) => digest.full))];
}
