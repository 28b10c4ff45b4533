import { firstVersion } from "./versions.js";

/** Half-life of an adapter's popularity, in milliseconds: demand moves to other adapters within seconds. */
const popularityHalfLifeMs = 8000;

/**
 * An adapter with this many recent uses is not evicted only to keep a place free: at a half-life of 8 s it is asked for
 * about once in 5 s.
 */
export const popularUses = 2.5;

/** An adapter used this recently is not evicted for another one, in milliseconds: its next request may be on its way. */
const minIdleMs = 150;

/**
 * An adapter that was just loaded stays at least this long for the requests that waited for it, in milliseconds: where places
 * are short it would be evicted before the first of them arrives.
 */
const minStayMs = 400;

/** Shortest time for which a request that waits is taken to occupy a place, in milliseconds. */
const minBusyMs = 200;

/** One adapter place of an engine that is taken, as its owner plans it. */
export interface Place {
    /** `retiring`: nobody is let in any more, and it will be ordered to go. */
    state: "loaded" | "loading" | "retiring" | "unloading" | "unknown";
    /** 0 if it was ordered without naming one, since none had been named. */
    version: number;
    checkAt: number;
    checkPauseMs: number;
    /** When its state last changed. */
    changedAt: number;
    /** How long its load is expected to take, in milliseconds. */
    expectedMs: number;
    /** When its load was first asked about and not complete, in milliseconds since its order; undefined until then. */
    incompleteMs: number | undefined;
    /** Whether the engine was taken to keep it in host memory when its load began. */
    isWarm: boolean;
    usedAt: number;
    popularity: number;
    decayedAt: number;
}

/** The version that an adapter's place holds: the first one where none had been named when it was loaded. */
export function readPlaceVersion({ version }: Place): number {
    return version === 0 ? firstVersion : version;
}

/** Whether an adapter is on its way, or may be. */
export function isComing(place: Place): boolean {
    return place.state === "loading" || place.state === "unknown";
}

/** Recent uses of an adapter. */
export function readPopularity(place: Place, now: number): number {
    return place.popularity * 0.5 ** (Math.max(0, now - place.decayedAt) / popularityHalfLifeMs);
}

/** Counts one use. */
export function recordPlaceUse(place: Place, now: number): void {
    place.popularity = readPopularity(place, now) + 1;
    place.decayedAt = now;
    place.usedAt = now;
}

/**
 * Popularity up to which an idle adapter yields to one that waits. A place serves the waiting one once in the time of a
 * load and a run; an adapter that is asked for more often than that serves more requests in it. When popular ones kept
 * their places until a request had waited 600 ms, 0.900 of the requests at an engine under heavy load were in time, and
 * 0.922 when this took its place (`test/hotset.test.ts`).
 */
export function readReplaceable(loadMs: number, runMs: number): number {
    return popularityHalfLifeMs / Math.LN2 / Math.max(loadMs + runMs, minBusyMs);
}

/** What a victim is chosen by. */
export interface VictimQuery {
    readonly places: ReadonlyMap<string, Place>;
    readonly now: number;
    readonly countUses: (key: string) => number;
    /** Whether requests wait for an adapter. */
    readonly isWanted: (key: string) => boolean;
    readonly maxPopularity: number;
}

/** Picks the idle adapter whose next request is least likely to come soon. */
export function chooseVictim(query: VictimQuery): string | undefined {
    const { places, now, countUses, isWanted } = query;
    let victim: string | undefined;
    let lowest = query.maxPopularity;
    for (const [key, place] of places) {
        const isIdle = place.state === "loaded"
            && countUses(key) === 0
            && now - place.usedAt >= minIdleMs
            && (place.usedAt > place.changedAt || now - place.changedAt >= minStayMs);
        const popularity = readPopularity(place, now);
        if (isIdle && !isWanted(key) && popularity < lowest) {
            lowest = popularity;
            victim = key;
        }
    }
    return victim;
}

/** Places of an engine by what they are used for. */
export interface PlaceCounts {
    inUse: number;
    popular: number;
    idle: number;
    moving: number;
    free: number;
}

/** How an engine's places are used, for what is told to people. */
export function countPlacesByUse(
    places: ReadonlyMap<string, Place>,
    total: number,
    now: number,
    countUses: (key: string) => number,
): PlaceCounts {
    const counts: PlaceCounts = { inUse: 0, popular: 0, idle: 0, moving: 0, free: total - places.size };
    for (const [key, place] of places) {
        if (place.state !== "loaded") {
            counts.moving += 1;
        }
        else if (countUses(key) > 0) {
            counts.inUse += 1;
        }
        else if (readPopularity(place, now) >= popularUses) {
            counts.popular += 1;
        }
        else {
            counts.idle += 1;
        }
    }
    return counts;
}
