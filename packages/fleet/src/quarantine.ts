import * as z from "zod";

/** Upstreams that must have ended under one request before it is refused, as the users ask. */
const usualMaxEnds = 3;

/**
 * How long an end counts against a request, and how long one is refused after the last, in milliseconds: long enough that a
 * caller who repeats it every few minutes cannot end upstreams all day, and short enough that a mended one takes it again.
 */
const usualLifeMs = 1_800_000;

/**
 * How long a report is told to each VM that a link opens to, in milliseconds. Older ones are told if a request is refused for
 * them; the store has all.
 */
const recentMs = 60_000;

/** Most requests that are kept; some 5 MB. */
const usualMaxRequests = 20_000;

/** One process of an upstream that has ended, and the requests of one VM that may have ended it. */
export const crashSchema = z.object({
    /** Incarnation. */
    upstream: z.string(),
    /** Unix time in milliseconds, by the clock of the VM that saw it. */
    at: z.number(),
    /** Digests of the requests. */
    requests: z.array(z.string()),
});

/** See {@link crashSchema}. */
export type Crash = z.infer<typeof crashSchema>;

/** A request that was answered whole: what ended before did not end by it. */
export const clearanceSchema = z.object({
    request: z.string(),
    /** Unix time in milliseconds. Ends up to then do not count. */
    at: z.number(),
});

/** See {@link clearanceSchema}. */
export type Clearance = z.infer<typeof clearanceSchema>;

/** What one VM has seen. It is never changed, so that it may come on several ways and in any order. */
export const crashReportSchema = z.object({
    /** Of all reports, of all VMs and their lives, only one bears this name. */
    name: z.string(),
    crashes: z.array(crashSchema),
    clearances: z.array(clearanceSchema),
});

/** See {@link crashReportSchema}. */
export type CrashReport = z.infer<typeof crashReportSchema>;

/** What is known against a request. */
export type RequestVerdict =
    | { readonly kind: "unknown"; }
    | { readonly kind: "suspected"; readonly upstreams: readonly string[]; }
    /** Each upstream that ran it has ended. */
    | { readonly kind: "refused"; readonly upstreams: readonly string[]; readonly until: number; };

/** A request that is refused. */
export interface RefusedRequest {
    /** Digest. */
    readonly request: string;
    /** Upstreams that have ended under it. */
    readonly upstreams: readonly string[];
    /** Unix time in milliseconds. */
    readonly until: number;
}

/** Options of {@link Quarantine}. */
export interface QuarantineOptions {
    /** Upstreams that must have ended under a request before it is refused. @default 3 */
    readonly maxEnds?: number | undefined;
    /** How long an end counts, in milliseconds. @default 1800000 */
    readonly lifeMs?: number | undefined;
    /** Most requests that are kept. @default 20000 */
    readonly maxRequests?: number | undefined;
}

/** What is kept of one request: when each upstream ended under it. */
type Ends = Map<string, number>;

const unknownVerdict: RequestVerdict = { kind: "unknown" };

/**
 * Finds requests that end each upstream that runs them. All that run when an upstream ends are suspected; one of them is
 * refused once several upstreams have ended under it and none has answered it whole in between. What has been answered
 * whole anywhere is cleared, so that a request that many send is not condemned for upstreams that end for other reasons.
 *
 * Reports of all VMs are joined in any order to the same verdicts.
 */
export class Quarantine {
    private readonly maxEnds: number;
    private readonly lifeMs: number;
    private readonly maxRequests: number;
    private readonly reports = new Map<string, CrashReport>();
    private readonly ends = new Map<string, Ends>();
    private readonly clearedAt = new Map<string, number>();
    /** How many of the kept requests have this head of their digest. */
    private readonly heads = new Map<string, number>();
    private dropped = 0;

    constructor({ maxEnds, lifeMs, maxRequests }: QuarantineOptions = {}) {
        this.maxEnds = maxEnds ?? usualMaxEnds;
        this.lifeMs = lifeMs ?? usualLifeMs;
        this.maxRequests = maxRequests ?? usualMaxRequests;
    }

    /** Requests under which upstreams have ended. */
    get requestCount(): number {
        return this.ends.size;
    }

    /** Requests that were forgotten for want of room. */
    get droppedCount(): number {
        return this.dropped;
    }

    /** Whether anything may be known of a request whose digest begins so. */
    mayKnow(head: string): boolean {
        return this.heads.has(head);
    }

    /** @param now Unix time in milliseconds, here and below. @returns Requests against which this counts anew. */
    applyCrash({ upstream, at, requests }: Crash, now: number): string[] {
        // An end cannot be ahead of now: a VM whose clock is set forward must not make it last longer.
        const endedAt = Math.min(at, now);
        return at + this.lifeMs <= now ? [] : requests.filter(request => this.addEnd(request, upstream, endedAt));
    }

    /** @returns Whether it says anything new. */
    applyClearance({ request, at }: Clearance, now: number): boolean {
        if (at + this.lifeMs <= now || at <= (this.clearedAt.get(request) ?? 0)) {
            return false;
        }
        this.clearedAt.set(request, at);
        return true;
    }

    /** Keeps a report of this VM, whose contents have been applied already. */
    addReport(report: CrashReport): void {
        this.reports.set(report.name, report);
    }

    /** @returns Whether the report was not known, and is not too old to matter. */
    applyReport(report: CrashReport, now: number): boolean {
        if (this.reports.has(report.name) || this.isOld(report, now)) {
            return false;
        }
        this.reports.set(report.name, report);
        for (const crash of report.crashes) {
            this.applyCrash(crash, now);
        }
        for (const clearance of report.clearances) {
            this.applyClearance(clearance, now);
        }
        return true;
    }

    /** What a VM must know that cannot read the store. */
    listReports(now: number): CrashReport[] {
        return [...this.reports.values()].filter(report => this.isCurrent(report, now));
    }

    hasReport(name: string): boolean {
        return this.reports.has(name);
    }

    /** Whether a report is so old that its own VM should have dropped it. */
    isForgotten(report: CrashReport, now: number): boolean {
        return this.isOld(report, now - this.lifeMs);
    }

    findVerdict(request: string, now: number): RequestVerdict {
        const clearedAt = this.clearedAt.get(request) ?? -Infinity;
        const counted = [...this.ends.get(request) ?? []]
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

    /** Requests that are refused, and why. */
    listRefused(now: number): RefusedRequest[] {
        const refused: RefusedRequest[] = [];
        for (const request of this.ends.keys()) {
            const verdict = this.findVerdict(request, now);
            if (verdict.kind === "refused") {
                refused.push({ request, upstreams: verdict.upstreams, until: verdict.until });
            }
        }
        return refused;
    }

    /** A clearance that covers all ends that are known. */
    createClearance(request: string, now: number): Clearance {
        return { request, at: Math.max(now, ...this.ends.get(request)?.values() ?? []) };
    }

    /** Forgets what no longer counts. */
    expireOld(now: number): void {
        for (const [request, ends] of this.ends) {
            for (const [upstream, at] of ends) {
                if (at + this.lifeMs <= now) {
                    ends.delete(upstream);
                }
            }
            if (ends.size === 0) {
                this.removeRequest(request);
            }
        }
        for (const [request, at] of this.clearedAt) {
            if (at + this.lifeMs <= now) {
                this.clearedAt.delete(request);
            }
        }
        for (const report of this.reports.values()) {
            if (this.isOld(report, now)) {
                this.reports.delete(report.name);
            }
        }
    }

    private isCurrent(report: CrashReport, now: number): boolean {
        const isRecent = [...report.crashes, ...report.clearances].some(({ at }) => at + recentMs > now);
        return isRecent
            || report.crashes.some(({ requests }) =>
                requests.some(request => this.findVerdict(request, now).kind === "refused")
            );
    }

    private isOld({ crashes, clearances }: CrashReport, now: number): boolean {
        return [...crashes, ...clearances].every(({ at }) => at + this.lifeMs <= now);
    }

    private addEnd(request: string, upstream: string, at: number): boolean {
        const ends = this.ends.get(request) ?? this.addRequest(request);
        const known = ends.get(upstream);
        // VMs notice an end at different times: the latest counts on all, in whatever order they hear of it.
        ends.set(upstream, Math.max(at, known ?? 0));
        return known === undefined;
    }

    private addRequest(request: string): Ends {
        if (this.ends.size >= this.maxRequests) {
            this.dropped += 1;
            this.removeRequest(this.findLeast());
        }
        const ends: Ends = new Map();
        this.ends.set(request, ends);
        const head = readHead(request);
        this.heads.set(head, (this.heads.get(head) ?? 0) + 1);
        return ends;
    }

    /** The oldest of the requests under which least has ended. */
    private findLeast(): string {
        let least: string | undefined;
        let leastEnds = Infinity;
        for (const [request, { size }] of this.ends) {
            if (size < leastEnds) {
                least = request;
                leastEnds = size;
            }
            if (leastEnds <= 1) {
                break;
            }
        }
        return least!;
    }

    private removeRequest(request: string): void {
        this.ends.delete(request);
        const head = readHead(request);
        const count = (this.heads.get(head) ?? 0) - 1;
        if (count > 0) {
            this.heads.set(head, count);
        }
        else {
            this.heads.delete(head);
        }
    }
}

/** The part of a digest that stands for all but the body. */
function readHead(request: string): string {
    return request.slice(0, request.indexOf("."));
}
