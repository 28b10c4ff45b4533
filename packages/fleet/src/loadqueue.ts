import { AgeOrder, type Claim, type LoadOrder } from "./scheduling/index.js";

/** Lifetime of a load request that names none and is not renewed, in milliseconds. */
export const loadRequestTtlMs = 350;

/** A request to load an adapter, on behalf of a waiting model request. */
export interface LoadRequest {
    readonly key: string;
    /** Oldest version that may serve the request; undefined for any version. */
    readonly version: number | undefined;
    /** Time for which the request will use the adapter, in milliseconds. */
    readonly runMs: number;
    /** Time in which the request must be sent to meet its latency target, in milliseconds; negative once it is late. */
    readonly onTimeMs: number;
    /** How long the request can wait, in milliseconds. @default loadRequestTtlMs */
    readonly lifeMs?: number;
    /** The waiting request, where the order of the loads depends on its urgency. */
    readonly claim?: Claim | undefined;
}

/** Stands for the key of an adapter that is not queued. */
export const anyKey = "";

/** A waiting request for an adapter. */
export interface AddedClaim {
    readonly key: string;
    readonly claim: Claim;
}

/** The load requests for one adapter, merged. */
interface QueueEntry {
    version: number | undefined;
    /** Time for which the shortest waiting run will occupy the slot, in milliseconds. */
    runMs: number;
    /** Until when a request that waits for the adapter can be sent and still meet its latency target. */
    onTimeUntil: number;
    readonly since: number;
    expiresAt: number;
    notBefore: number;
    readonly claims: Set<Claim>;
}

/** Queue of the adapters that requests wait for at one engine, in load order. */
export class LoadQueue {
    private readonly entries = new Map<string, QueueEntry>();
    private order: LoadOrder = new AgeOrder();

    /** Replaces the order of the loads. @default by age */
    setOrder(order: LoadOrder): void {
        this.order = order;
    }

    get size(): number {
        return this.entries.size;
    }

    /** Adds a load request, or merges it into the adapter's queued one. Without a lifetime it must be renewed. */
    add(request: LoadRequest, now: number): void {
        const { key, version, runMs, lifeMs = loadRequestTtlMs, claim } = request;
        const onTimeUntil = now + request.onTimeMs;
        const expiresAt = now + lifeMs;
        const entry = this.entries.get(key);
        if (entry === undefined) {
            if (claim !== undefined) {
                this.order.recordArrival(claim, now);
            }
            const claims = new Set(claim === undefined ? [] : [claim]);
            this.entries.set(key, { version, runMs, onTimeUntil, since: now, expiresAt, notBefore: now, claims });
            return;
        }
        if (claim !== undefined) {
            entry.claims.add(claim);
        }
        entry.expiresAt = Math.max(entry.expiresAt, expiresAt);
        entry.runMs = Math.min(entry.runMs, runMs);
        entry.onTimeUntil = Math.max(entry.onTimeUntil, onTimeUntil);
        entry.version = Math.max(version ?? 0, entry.version ?? 0) || undefined;
    }

    find(key: string): Readonly<QueueEntry> | undefined {
        return this.entries.get(key);
    }

    has(key: string): boolean {
        return this.entries.has(key);
    }

    /**
     * Lists the adapter keys in load order.
     * @param loadMs Duration of a load, in milliseconds, which decides what can still meet its latency target.
     * @param added A request that is listed as if it were queued.
     */
    list(now: number, loadMs: number, added?: AddedClaim): string[] {
        if (added === undefined) {
            return this.order.list(this.entries, now, loadMs);
        }
        const { key, claim } = added;
        const { runMs = 0, since = now, claims = [] } = this.entries.get(key) ?? {};
        const { onTimeUntil, deadlineAt } = claim;
        const load = { runMs, since, onTimeUntil, expiresAt: deadlineAt, claims: new Set([...claims, claim]) };
        return this.order.list(new Map([...this.entries, [key, load]]), now, loadMs);
    }

    /** Highest popularity, in recent uses, of an idle adapter that is evicted for a queued one. */
    readEvictablePopularity(key: string, loadMs: number): number {
        return this.order.readEvictablePopularity(this.entries.get(key)!, loadMs);
    }

    /** Number of adapter slots, and of concurrent loads, that the load of an adapter must leave free. */
    countReserved(key: string, now: number, loadMs: number): number {
        const entry = this.entries.get(key);
        return entry === undefined ? 0 : this.order.countReserved(entry, now, loadMs);
    }

    /** Records the start of a load. */
    recordStart(key: string, now: number, loadMs: number): void {
        const entry = this.entries.get(key);
        if (entry !== undefined) {
            this.order.recordStart(entry, now, loadMs);
        }
    }

    /** Removes one of several waiting requests for an adapter. */
    removeClaim(key: string, claim: Claim): void {
        this.entries.get(key)?.claims.delete(claim);
    }

    /** Holds back the load of an adapter until a time, whatever its position. */
    pause(key: string, until: number): void {
        const entry = this.entries.get(key);
        if (entry !== undefined) {
            entry.notBefore = until;
        }
    }

    remove(key: string): void {
        this.entries.delete(key);
    }

    removeAll(): void {
        this.entries.clear();
    }

    /** Removes expired load requests. */
    expire(now: number): void {
        for (const [key, entry] of this.entries) {
            if (now > entry.expiresAt) {
                this.entries.delete(key);
            }
        }
    }
}
