import type { QuotaLimit, QuotaPool, QuotaVerdict } from "./quota.js";

/** Time by which a claim may be expected late before it is refused, in milliseconds: expectations vary that much. */
const lateToleranceMs = 50;

/** Delay of an expected grant beyond its announced time from which on the new time is announced, in milliseconds. */
const announcedDelayMs = 100;

/** A claim that waits at the coordinator until its quota suffices. */
export interface QueuedClaim {
    readonly vm: string;
    /** Identifies the claim among those of its VM. */
    readonly ticket: number;
    readonly key: string;
    readonly limit: QuotaLimit;
    readonly cost: number;
    /** Claims of a higher priority are granted first; 0 is the highest. */
    readonly priority: number;
    /** How long the claim may wait, in milliseconds. */
    readonly patienceMs: number;
}

interface WaitingClaim extends QueuedClaim {
    readonly receivedAt: number;
    /** When its VM was last told to expect the grant. */
    announcedAt: number;
}

/** A verdict on a claim, and the VM that receives it. */
export interface AddressedVerdict {
    readonly vm: string;
    readonly ticket: number;
    readonly verdict: QuotaVerdict;
}

/** Options of {@link QuotaQueue}. */
export interface QuotaQueueOptions {
    readonly pool: QuotaPool;
}

/**
 * Claims that wait at a coordinator for their quotas. A quota goes to the waiting claim with the highest priority, and
 * among those to the oldest. A claim that cannot be granted in time is refused at once, with the time at which a claim
 * behind all those that wait could be granted.
 */
export class QuotaQueue {
    /** Waiting claims by key, in the order in which they are granted. */
    private readonly claims = new Map<string, WaitingClaim[]>();

    constructor(private readonly options: QuotaQueueOptions) {}

    /** Number of waiting claims. */
    get count(): number {
        return [...this.claims.values()].reduce((sum, { length }) => sum + length, 0);
    }

    /** Grants, queues or refuses a claim. */
    enqueue(claim: QueuedClaim, now: number): QuotaVerdict {
        const queue = this.claims.get(claim.key) ?? [];
        const ahead = queue.filter(({ priority }) => priority <= claim.priority).length;
        const granted = ahead === 0 ? this.claim({ ...claim, receivedAt: now, announcedAt: now }, now) : undefined;
        if (granted !== undefined) {
            return granted;
        }
        const expectedMs = this.readWaitMs(claim, ahead + 1, now);
        if (expectedMs > claim.patienceMs) {
            return createRefusal(expectedMs);
        }
        queue.splice(ahead, 0, { ...claim, receivedAt: now, announcedAt: now + expectedMs });
        this.claims.set(claim.key, queue);
        return { kind: "queued", expectedMs };
    }

    /**
     * Grants the claims for which quotas suffice, and refuses those that can no longer be granted in time. Claims that
     * others have overtaken stay queued, and their VMs are told the new time.
     */
    advance(now: number): AddressedVerdict[] {
        const verdicts: AddressedVerdict[] = [];
        for (const [key, queue] of this.claims) {
            const waiting: WaitingClaim[] = [];
            for (const claim of queue) {
                const verdict = this.checkWaiting(claim, waiting.length, now);
                if (verdict === undefined || verdict.kind === "queued") {
                    waiting.push(claim);
                }
                if (verdict !== undefined) {
                    verdicts.push({ vm: claim.vm, ticket: claim.ticket, verdict });
                }
            }
            this.set(key, waiting);
        }
        return verdicts;
    }

    /** Removes a claim whose request no longer waits. */
    remove(vm: string, ticket: number): void {
        this.removeWhere(claim => claim.vm === vm && claim.ticket === ticket);
    }

    /** Removes the claims of a VM that is gone. */
    removeVm(vm: string): void {
        this.removeWhere(claim => claim.vm === vm);
    }

    /** Time until the next claim may be granted, in milliseconds; undefined if none waits. */
    readNextMs(now: number): number | undefined {
        const waits = [...this.claims.values()].map(([first]) => this.readWaitMs(first!, 1, now));
        return waits.length === 0 ? undefined : Math.min(...waits);
    }

    /** @param ahead Number of claims that are granted before this one. */
    private checkWaiting(claim: WaitingClaim, ahead: number, now: number): QuotaVerdict | undefined {
        const granted = ahead === 0 ? this.claim(claim, now) : undefined;
        if (granted !== undefined) {
            return granted;
        }
        const expectedMs = this.readWaitMs(claim, ahead + 1, now);
        const remainingMs = claim.receivedAt + claim.patienceMs - now;
        if (expectedMs > remainingMs + lateToleranceMs) {
            return createRefusal(expectedMs);
        }
        if (now + expectedMs <= claim.announcedAt + announcedDelayMs) {
            return undefined;
        }
        claim.announcedAt = now + expectedMs;
        return { kind: "queued", expectedMs };
    }

    private claim(claim: WaitingClaim, now: number): QuotaVerdict | undefined {
        const { key, limit, cost, receivedAt } = claim;
        const verdict = this.options.pool.claim(key, limit, cost, now);
        if (verdict.kind !== "granted") {
            return undefined;
        }
        const waiting = (this.claims.get(key) ?? []).filter(other => other !== claim).length;
        const nextMs = this.readWaitMs(claim, waiting + 1, now);
        return { ...verdict, heldMs: now - receivedAt, nextMs: Number.isFinite(nextMs) ? nextMs : undefined };
    }

    /** Expected time until the quota suffices for this number of claims, in milliseconds. */
    private readWaitMs({ key, limit, cost }: QueuedClaim, count: number, now: number): number {
        return this.options.pool.readWaitMs(key, limit, cost * count, now);
    }

    private removeWhere(isRemoved: (claim: WaitingClaim) => boolean): void {
        for (const [key, queue] of this.claims) {
            this.set(key, queue.filter(claim => !isRemoved(claim)));
        }
    }

    private set(key: string, queue: WaitingClaim[]): void {
        if (queue.length === 0) {
            this.claims.delete(key);
        }
        else {
            this.claims.set(key, queue);
        }
    }
}

function createRefusal(waitMs: number): QuotaVerdict {
    return Number.isFinite(waitMs) ? { kind: "refused", balance: 0, waitMs } : { kind: "unsure" };
}
