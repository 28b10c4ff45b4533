/** A want that nobody has renewed for this long is dropped, in milliseconds, unless it says how long it lasts. */
export const wantLifeMs = 350;

/**
 * Head start of shorter runs in the order of loads, as a share of the difference. A run of 50 tokens holds a place for
 * 0.5 s, one of 300 tokens for 3 s: places are what binds under heavy load, and in the time of one long run six short
 * ones are served.
 */
const runShare = 1;

/** Longest handicap of a long run, in milliseconds: the largest requests must not be left to the end of their time. */
const maxHandicapMs = 2000;

/**
 * Head start of requests that can still be answered in time over those that are late already, in milliseconds. With eight
 * loads waiting at each engine every request was late when served in the order of arrival.
 */
const onTimeLeadMs = 2000;

/** An adapter that requests wait for. */
export interface AdapterWant {
    readonly key: string;
    /** Oldest version that may answer; undefined for any. */
    readonly version: number | undefined;
    /** Time for which the request will use it, in milliseconds. */
    readonly runMs: number;
    /** Time in which the request must be sent to be answered in time, in milliseconds; negative once it is late. */
    readonly onTimeMs: number;
    /** How long the request can wait, in milliseconds. @default wantLifeMs */
    readonly lifeMs?: number;
}

/** What waits for one adapter. */
interface Want {
    version: number | undefined;
    /** Time for which the shortest waiting run will hold the place, in milliseconds. */
    runMs: number;
    /** Until when a request that waits for it can be sent and still be answered in time. */
    onTimeUntil: number;
    readonly since: number;
    expiresAt: number;
    notBefore: number;
}

/** Adapters that requests wait for at one engine, and the order in which they are loaded. */
export class AdapterQueue {
    private readonly wants = new Map<string, Want>();

    get size(): number {
        return this.wants.size;
    }

    /** Asks for an adapter; a request that does not say how long it waits asks again from time to time. */
    add(wanted: AdapterWant, now: number): void {
        const { key, version, runMs, lifeMs = wantLifeMs } = wanted;
        const onTimeUntil = now + wanted.onTimeMs;
        const expiresAt = now + lifeMs;
        const want = this.wants.get(key);
        if (want === undefined) {
            this.wants.set(key, { version, runMs, onTimeUntil, since: now, expiresAt, notBefore: now });
            return;
        }
        want.expiresAt = Math.max(want.expiresAt, expiresAt);
        want.runMs = Math.min(want.runMs, runMs);
        want.onTimeUntil = Math.max(want.onTimeUntil, onTimeUntil);
        want.version = Math.max(version ?? 0, want.version ?? 0) || undefined;
    }

    find(key: string): Readonly<Want> | undefined {
        return this.wants.get(key);
    }

    has(key: string): boolean {
        return this.wants.has(key);
    }

    /**
     * Adapter keys, first first.
     * @param loadMs Time that a load takes, in milliseconds: what can still be in time depends on it.
     */
    list(now: number, loadMs: number): string[] {
        return [...this.wants]
            .sort(([, left], [, right]) => readTurn(left, now, loadMs) - readTurn(right, now, loadMs))
            .map(([key]) => key);
    }

    /** Lets an adapter wait until then, whatever its turn. */
    pause(key: string, until: number): void {
        const want = this.wants.get(key);
        if (want !== undefined) {
            want.notBefore = until;
        }
    }

    remove(key: string): void {
        this.wants.delete(key);
    }

    removeAll(): void {
        this.wants.clear();
    }

    /** Drops what nobody waits for any more. */
    expire(now: number): void {
        for (const [key, want] of this.wants) {
            if (now > want.expiresAt) {
                this.wants.delete(key);
            }
        }
    }
}

/**
 * Orders loads: by age, with a lead for requests that can still be answered in time, and for shorter runs, so that long
 * ones cannot hold all places. Age wins in the end.
 */
function readTurn(want: Want, now: number, loadMs: number): number {
    const isOnTime = now + loadMs <= want.onTimeUntil;
    return want.since + Math.min(want.runMs * runShare, maxHandicapMs) - (isOnTime ? onTimeLeadMs : 0);
}
