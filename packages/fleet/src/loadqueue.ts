/** Lifetime of a load request that names none and is not renewed, in milliseconds. */
export const loadRequestTtlMs = 350;

/**
 * Head start of shorter runs in the load order, as a share of the difference in run time. A run of 50 tokens occupies a
 * slot for 0.5 s, a run of 300 tokens for 3 s. Slots are the bottleneck under heavy load, and six short runs fit into
 * the time of one long run.
 */
const runTimeWeight = 1;

/**
 * Upper bound of the penalty of a long run, in milliseconds: the longest requests must not starve until their time
 * limit.
 */
const maxRunPenaltyMs = 2000;

/**
 * Head start of requests that can still meet their latency target over late ones, in milliseconds. Without it, eight
 * queued loads at each engine make every request late.
 */
const onTimeHeadStartMs = 2000;

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
}

/** Queue of the adapters that requests wait for at one engine, in load order. */
export class LoadQueue {
    private readonly entries = new Map<string, QueueEntry>();

    get size(): number {
        return this.entries.size;
    }

    /** Adds a load request, or merges it into the adapter's queued one. Without a lifetime it must be renewed. */
    add(request: LoadRequest, now: number): void {
        const { key, version, runMs, lifeMs = loadRequestTtlMs } = request;
        const onTimeUntil = now + request.onTimeMs;
        const expiresAt = now + lifeMs;
        const entry = this.entries.get(key);
        if (entry === undefined) {
            this.entries.set(key, { version, runMs, onTimeUntil, since: now, expiresAt, notBefore: now });
            return;
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
     */
    list(now: number, loadMs: number): string[] {
        return [...this.entries]
            .sort(([, left], [, right]) => readSortKey(left, now, loadMs) - readSortKey(right, now, loadMs))
            .map(([key]) => key);
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

/**
 * Sort key of a queued load, lowest first. Loads are ordered by age, with a head start for requests that can still meet
 * their latency target and for shorter runs, so that long runs cannot occupy all slots. The head starts are bounded, so
 * that age decides in the end.
 */
function readSortKey(entry: QueueEntry, now: number, loadMs: number): number {
    const isOnTime = now + loadMs <= entry.onTimeUntil;
    return entry.since + Math.min(entry.runMs * runTimeWeight, maxRunPenaltyMs) - (isOnTime ? onTimeHeadStartMs : 0);
}
