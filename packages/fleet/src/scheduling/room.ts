import type { EngineLimits } from "@radishreel/routing";
import { prefillTokensPerMs } from "../enginecosts.js";
import type { AdmissionRequest, UpstreamLoad } from "../types.js";
import { defaultPriority } from "./order.js";

/** Share of an engine's KV memory that requests may fill; the prefix cache uses the rest. */
const kvFillShare = 0.85;

/**
 * Share of the tightest latency target that the prompts ahead of a request in the engine may take. The rest is left for
 * an adapter load, which takes more than half of a target of 507 ms.
 */
const backlogTargetShare = 0.25;

/** How long the latency target of a priority counts after its last request, in milliseconds. */
const targetMemoryMs = 5000;

/** Work that precedes a request, or that the request itself adds. */
export interface RoomDemand {
    readonly count: number;
    readonly kvTokens: number;
    readonly prefillTokens: number;
}

/** A run and the expected time until it ends, in milliseconds. */
export interface ExpectedEnd {
    readonly remainingMs: number;
    readonly kvTokens: number;
}

/** Decides what one engine has room for: its batch, its KV memory and a bounded backlog of prompts. */
export class EngineRoom {
    /** Tightest latency target in milliseconds, and when a request last had it, by priority. */
    private readonly targets = new Map<number, { readonly targetMs: number; readonly at: number; }>();

    constructor(private readonly limits: Pick<EngineLimits, "batchSlots" | "kvTokens">) {}

    /** Records the latency target of a request. */
    recordArrival(request: AdmissionRequest, now: number): void {
        const { priority = defaultPriority } = request;
        const targetMs = readTargetMs(request);
        const known = this.targets.get(priority);
        if (targetMs > 0 && (known === undefined || targetMs <= known.targetMs || now - known.at > targetMemoryMs)) {
            this.targets.set(priority, { targetMs, at: now });
        }
    }

    /** Whether a request may be sent now. A request that exceeds a bound by itself runs alone. */
    hasRoom(load: Readonly<UpstreamLoad>, request: AdmissionRequest, now: number): boolean {
        const fitsBatch = load.active < this.limits.batchSlots;
        const fitsMemory = load.kvTokens + request.kvTokens <= this.limits.kvTokens * kvFillShare;
        const fitsBacklog = load.backlogTokens + request.prefillTokens <= this.readBacklogLimit(request, now);
        return (load.active === 0 || (fitsBatch && fitsMemory)) && (load.backlogTokens === 0 || fitsBacklog);
    }

    /**
     * Expected time until a request can be sent, in milliseconds.
     * @param ahead Waiting requests that are sent earlier.
     * @param ends Expected ends of the running requests.
     */
    readWaitMs(
        load: Readonly<UpstreamLoad>,
        request: AdmissionRequest,
        ahead: RoomDemand,
        ends: readonly ExpectedEnd[],
        now: number,
    ): number {
        let missingRuns = load.active + ahead.count + 1 - this.limits.batchSlots;
        let missingTokens = load.kvTokens + ahead.kvTokens + request.kvTokens - this.limits.kvTokens * kvFillShare;
        let waitMs = 0;
        const missingBefore = { runs: missingRuns, tokens: missingTokens };
        for (const end of [...ends].sort((left, right) => left.remainingMs - right.remainingMs)) {
            if (missingRuns <= 0 && missingTokens <= 0) {
                break;
            }
            missingRuns -= 1;
            missingTokens -= end.kvTokens;
            waitMs = end.remainingMs;
        }
        // The requests ahead must end as well, at about the same rate.
        const rounds = Math.max(
            1,
            readRounds(missingBefore.runs, missingRuns),
            readRounds(missingBefore.tokens, missingTokens),
        );
        const missingBacklog = load.backlogTokens + ahead.prefillTokens + request.prefillTokens
            - Math.max(request.prefillTokens, this.readBacklogLimit(request, now));
        return Math.max(waitMs * rounds, missingBacklog / prefillTokensPerMs, 0);
    }

    /** Most prompt tokens that may wait in the engine once a request is sent, by the tightest target of its equals. */
    private readBacklogLimit(request: AdmissionRequest, now: number): number {
        const { priority = defaultPriority } = request;
        let tightestMs = Math.max(0, readTargetMs(request)) || Infinity;
        for (const [other, { targetMs, at }] of this.targets) {
            if (other <= priority && now - at <= targetMemoryMs) {
                tightestMs = Math.min(tightestMs, targetMs);
            }
        }
        return tightestMs * backlogTargetShare * prefillTokensPerMs;
    }
}

/** Latency target of a request, in milliseconds. VMs of older versions state only what is left of it. */
function readTargetMs({ targetMs, onTimeMs, prefillTokens }: AdmissionRequest): number {
    return targetMs ?? onTimeMs + prefillTokens / prefillTokensPerMs;
}

/** How many times over the running requests must end to remove a shortage. */
function readRounds(before: number, after: number): number {
    return after <= 0 || before <= after ? 1 : before / (before - after);
}
