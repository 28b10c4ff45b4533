import * as z from "zod";
import { PartQuarantine } from "./partquarantine.js";

/** Upstreams that must have ended while they ran a request before the request is refused. Users require this number. */
const defaultMaxEnds = 3;

/**
 * Time for which an upstream's end counts against a request, and for which a request is refused after the last end, in
 * milliseconds. Long enough that a caller who repeats a request every few minutes cannot end upstreams all day, and
 * short enough that a repaired upstream soon gets the request again.
 */
const defaultLifetimeMs = 1_800_000;

/**
 * Age up to which reports are sent to a VM when a link to it opens, in milliseconds. Older reports are sent only if a
 * request is refused because of them; the store has all reports.
 */
const recentReportMs = 60_000;

/** Most requests that are tracked; they take some 5 MB. */
const defaultMaxRequests = 20_000;

/** The end of an upstream process, and the requests of one VM that may have caused it. */
export const crashSchema = z.object({
    /** Id of the upstream's incarnation. */
    upstream: z.string(),
    /** Unix time in milliseconds, by the clock of the VM that noticed the end. */
    at: z.number(),
    /** Digests of the suspect requests. */
    requests: z.array(z.string()),
    /** Suspect parts of their prompts, one list a prompt; missing without any. */
    prompts: z.array(z.array(z.string())).optional(),
});

/** See {@link crashSchema}. */
export type Crash = z.infer<typeof crashSchema>;

/** A request with a complete response: it did not cause the ends before that. */
export const clearanceSchema = z.object({
    request: z.string(),
    /** Unix time in milliseconds. Ends up to this time do not count against the request. */
    at: z.number(),
});

/** See {@link clearanceSchema}. */
export type Clearance = z.infer<typeof clearanceSchema>;

/** A part of prompts on which an answer has gone on: it did not cause the ends before that. */
export const partClearanceSchema = z.object({
    part: z.string(),
    /** Unix time in milliseconds. Ends up to this time do not count against the part. */
    at: z.number(),
});

/** See {@link partClearanceSchema}. */
export type PartClearance = z.infer<typeof partClearanceSchema>;

/**
 * Crashes and clearances from one VM. Reports are immutable, so they may arrive over several paths and in any order.
 */
export const crashReportSchema = z.object({
    /** Unique among the reports of all VMs and their incarnations. */
    name: z.string(),
    crashes: z.array(crashSchema),
    clearances: z.array(clearanceSchema),
    partClearances: z.array(partClearanceSchema).optional(),
});

/** See {@link crashReportSchema}. */
export type CrashReport = z.infer<typeof crashReportSchema>;

/** Whether a request is suspected of ending upstreams, or refused for it. */
export type RequestVerdict =
    | { readonly kind: "unknown"; }
    | { readonly kind: "suspected"; readonly upstreams: readonly string[]; }
    /** Every upstream that ran the request has ended. */
    | { readonly kind: "refused"; readonly upstreams: readonly string[]; readonly until: number; };

/** A refused request, and the upstreams that ended while they ran it. */
export interface RefusedRequest {
    /** Digest of the request. */
    readonly request: string;
    /** Ids of the upstream incarnations. */
    readonly upstreams: readonly string[];
    /** End of the refusal, in Unix time in milliseconds. */
    readonly until: number;
}

/** Options of {@link Quarantine}. */
export interface QuarantineOptions {
    /** Upstreams that must have ended while they ran a request before the request is refused. @default 3 */
    readonly maxEnds?: number | undefined;
    /** Time for which an upstream's end counts, in milliseconds. @default 1800000 */
    readonly lifeMs?: number | undefined;
    /** Most requests that are tracked. @default 20000 */
    readonly maxRequests?: number | undefined;
}

/** When each upstream ended while it ran a request: Unix time in milliseconds by upstream id. */
type CrashTimes = Map<string, number>;

const unknownVerdict: RequestVerdict = { kind: "unknown" };

/**
 * Detects poison requests: requests that end every upstream that runs them. All requests that run when an upstream ends
 * are suspected. A request is refused once several upstreams have ended while they ran it, with no complete response in
 * between. A complete response from any upstream clears the request, so that a request that many callers send is not
 * quarantined for upstreams that end for other reasons.
 *
 * Merging the reports of all VMs gives the same verdicts in any order.
 */
export class Quarantine {
    /** What the prompts of requests have in common that end upstreams. */
    readonly parts: PartQuarantine = new PartQuarantine();
    private readonly maxEnds: number;
    private readonly lifeMs: number;
    private readonly maxRequests: number;
    private readonly reports = new Map<string, CrashReport>();
    private readonly crashTimes = new Map<string, CrashTimes>();
    private readonly clearedAt = new Map<string, number>();
    /** Number of tracked requests by head of their digest. */
    private readonly digestHeads = new Map<string, number>();
    private dropped = 0;

    constructor({ maxEnds, lifeMs, maxRequests }: QuarantineOptions = {}) {
        this.maxEnds = maxEnds ?? defaultMaxEnds;
        this.lifeMs = lifeMs ?? defaultLifetimeMs;
        this.maxRequests = maxRequests ?? defaultMaxRequests;
    }

    /** Number of tracked requests: those that ran when an upstream ended. */
    get requestCount(): number {
        return this.crashTimes.size;
    }

    /** Number of tracked requests that were dropped because the limit was reached. */
    get droppedCount(): number {
        return this.dropped;
    }

    /** Whether a request whose digest has this head may be tracked. */
    mayTrack(head: string): boolean {
        return this.digestHeads.has(head);
    }

    /** @param now Unix time in milliseconds, here and below. @returns Requests against which the crash newly counts. */
    applyCrash({ upstream, at, requests, prompts = [] }: Crash, now: number): string[] {
        // Times are limited to the present: a VM with a fast clock must not make its reports count for longer.
        const endedAt = Math.min(at, now);
        this.parts.applyEnd(upstream, endedAt, prompts, now);
        return at + this.lifeMs <= now ? [] : requests.filter(request => this.addCrash(request, upstream, endedAt));
    }

    /** @returns Whether the clearance is newer than the known one. */
    applyClearance({ request, at }: Clearance, now: number): boolean {
        if (at + this.lifeMs <= now || at <= (this.clearedAt.get(request) ?? 0)) {
            return false;
        }
        this.clearedAt.set(request, at);
        return true;
    }

    /** Stores a report of this VM whose crashes and clearances have already been applied. */
    addReport(report: CrashReport): void {
        this.reports.set(report.name, report);
    }

    /** @returns Whether the report is new and has not expired. */
    applyReport(report: CrashReport, now: number): boolean {
        const isAboutParts = report.partClearances !== undefined
            || report.crashes.some(({ prompts }) => prompts !== undefined);
        // Parts may stay condemned for longer than a report counts, which is not known yet when a process starts.
        if (this.reports.has(report.name) || (!isAboutParts && this.isExpired(report, now))) {
            return false;
        }
        this.reports.set(report.name, report);
        for (const crash of report.crashes) {
            this.applyCrash(crash, now);
        }
        for (const clearance of report.clearances) {
            this.applyClearance(clearance, now);
        }
        for (const { part, at } of report.partClearances ?? []) {
            this.parts.applyClearance(part, Math.min(at, now));
        }
        return true;
    }

    /** Reports to send to a VM that cannot read the store. */
    listReports(now: number): CrashReport[] {
        return [...this.reports.values()].filter(report => this.isRelevant(report, now));
    }

    hasReport(name: string): boolean {
        return this.reports.has(name);
    }

    /** Whether a report is so old that the VM that wrote it should have removed it. */
    isPastRetention(report: CrashReport, now: number): boolean {
        return this.isExpired(report, now - this.lifeMs);
    }

    findVerdict(request: string, now: number): RequestVerdict {
        const clearedAt = this.clearedAt.get(request) ?? -Infinity;
        const counted = [...this.crashTimes.get(request) ?? []]
            .filter(([, at]) => at > clearedAt && at + this.lifeMs > now);
        if (counted.length === 0) {
            return unknownVerdict;
        }
        const upstreams = counted.map(([upstream]) => upstream);
        if (counted.length < this.maxEnds) {
            return { kind: "suspected", upstreams };
        }
        return { kind: "refused", upstreams, until: Math.max(...counted.map(([, at]) => at)) + this.lifeMs };
    }

    /** Refused requests, with the upstreams that ended while they ran them. */
    listRefused(now: number): RefusedRequest[] {
        const refused: RefusedRequest[] = [];
        for (const request of this.crashTimes.keys()) {
            const verdict = this.findVerdict(request, now);
            if (verdict.kind === "refused") {
                refused.push({ request, upstreams: verdict.upstreams, until: verdict.until });
            }
        }
        return refused;
    }

    /** Creates a clearance that covers all known ends. */
    createClearance(request: string, now: number): Clearance {
        return { request, at: Math.max(now, ...this.crashTimes.get(request)?.values() ?? []) };
    }

    /** Removes ends, clearances and reports that no longer count. */
    expireOld(now: number): void {
        for (const [request, crashTimes] of this.crashTimes) {
            for (const [upstream, at] of crashTimes) {
                if (at + this.lifeMs <= now) {
                    crashTimes.delete(upstream);
                }
            }
            if (crashTimes.size === 0) {
                this.removeRequest(request);
            }
        }
        for (const [request, at] of this.clearedAt) {
            if (at + this.lifeMs <= now) {
                this.clearedAt.delete(request);
            }
        }
        this.parts.expireOld(now);
        for (const report of this.reports.values()) {
            if (this.isExpired(report, now)) {
                this.reports.delete(report.name);
            }
        }
    }

    private isRelevant(report: CrashReport, now: number): boolean {
        const isRecent = listTimes(report).some(at => at + recentReportMs > now);
        return isRecent || this.hasPartEvidence(report, upstream => this.parts.isCondemnedFor(upstream))
            || report.crashes.some(({ requests }) =>
                requests.some(request => this.findVerdict(request, now).kind === "refused")
            );
    }

    private isExpired(report: CrashReport, now: number): boolean {
        return listTimes(report).every(at => at + this.lifeMs <= now)
            && !this.hasPartEvidence(report, upstream => this.parts.hasEnd(upstream));
    }

    /** Whether a report says something about parts of prompts, as far as the ends of upstreams in it matter. */
    private hasPartEvidence(
        { crashes, partClearances = [] }: CrashReport,
        isEvidence: (upstream: string) => boolean,
    ): boolean {
        return crashes.some(({ upstream, prompts }) => prompts !== undefined && isEvidence(upstream))
            || partClearances.some(({ part }) => this.parts.isTracked(part));
    }

    private addCrash(request: string, upstream: string, at: number): boolean {
        const crashTimes = this.crashTimes.get(request) ?? this.addRequest(request);
        const known = crashTimes.get(upstream);
        // VMs notice an end at different times. All of them use the latest, in whatever order the reports arrive.
        crashTimes.set(upstream, Math.max(at, known ?? 0));
        return known === undefined;
    }

    private addRequest(request: string): CrashTimes {
        if (this.crashTimes.size >= this.maxRequests) {
            this.dropped += 1;
            this.removeRequest(this.findEvictionCandidate());
        }
        const crashTimes: CrashTimes = new Map();
        this.crashTimes.set(request, crashTimes);
        const head = readDigestHead(request);
        this.digestHeads.set(head, (this.digestHeads.get(head) ?? 0) + 1);
        return crashTimes;
    }

    /** The oldest of the requests with the fewest ends. */
    private findEvictionCandidate(): string {
        let candidate: string | undefined;
        let fewestCrashes = Infinity;
        for (const [request, { size }] of this.crashTimes) {
            if (size < fewestCrashes) {
                candidate = request;
                fewestCrashes = size;
            }
            if (fewestCrashes <= 1) {
                break;
            }
        }
        return candidate!;
    }

    private removeRequest(request: string): void {
        this.crashTimes.delete(request);
        const head = readDigestHead(request);
        const count = (this.digestHeads.get(head) ?? 0) - 1;
        if (count > 0) {
            this.digestHeads.set(head, count);
        }
        else {
            this.digestHeads.delete(head);
        }
    }
}

function listTimes({ crashes, clearances, partClearances = [] }: CrashReport): number[] {
    return [...crashes, ...clearances, ...partClearances].map(({ at }) => at);
}

/** The part of a digest that covers everything but the body. */
function readDigestHead(request: string): string {
    return request.slice(0, request.indexOf("."));
}
