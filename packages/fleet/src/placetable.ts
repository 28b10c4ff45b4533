import { LoadTimes } from "./loadtimes.js";
import { countPlacesByUse, isComing, type Place, type PlaceCounts, readPlaceVersion, recordPlaceUse } from "./place.js";
import { WarmAdapters } from "./warm.js";

/** Longest pause between two checks of a load or an unload that takes long, in milliseconds. */
const maxCheckPauseMs = 120;

/** Pause between two checks whether a load or an unload is complete, in milliseconds. */
export const checkPauseMs = 20;

/** Growth of that pause from one check to the next. */
const checkPauseFactor = 1.5;

/** Options of {@link PlaceTable}. */
export interface PlaceTableOptions {
    /** Places of the engine. */
    readonly total: number;
    /** Adapter keys that the engine is believed to have held lately, least recently first. @default [] */
    readonly warm?: readonly string[] | undefined;
    /** Whether all that the engine may keep in host memory is known; otherwise each load may turn out to be a short one. */
    readonly knowsMemory: boolean;
}

/** The adapter places of an engine that are taken, by adapter key, and how long its loads take. */
export class PlaceTable {
    private readonly places = new Map<string, Place>();
    private readonly warm: WarmAdapters;
    private readonly loadTimes = new LoadTimes();

    constructor(private readonly options: PlaceTableOptions) {
        this.warm = new WarmAdapters(options.warm, options.total);
    }

    /** Places that no adapter has. */
    get free(): number {
        return this.options.total - this.places.size;
    }

    get entries(): ReadonlyMap<string, Place> {
        return this.places;
    }

    has(key: string): boolean {
        return this.places.has(key);
    }

    find(key: string): Readonly<Place> | undefined {
        return this.places.get(key);
    }

    /** Versions by adapter key of what is loaded and not being unloaded. */
    listHeld(): Record<string, number> {
        const held: Record<string, number> = {};
        for (const [key, place] of this.places) {
            if (place.state === "loaded") {
                held[key] = readPlaceVersion(place);
            }
        }
        return held;
    }

    listComing(): string[] {
        return [...this.places].filter(([, place]) => isComing(place)).map(([key]) => key);
    }

    /** Version of an adapter that requests may use now; undefined if it is not loaded. */
    findLoadedVersion(key: string): number | undefined {
        const place = this.places.get(key);
        return place?.state === "loaded" ? readPlaceVersion(place) : undefined;
    }

    countByUse(now: number, countUses: (key: string) => number): PlaceCounts {
        return countPlacesByUse(this.places, this.options.total, now, countUses);
    }

    /** Expected time of a load, in milliseconds. */
    readLoadMs(isWarm: boolean): number {
        return this.loadTimes.read(isWarm);
    }

    /** Expected time of a load of this adapter, in milliseconds. */
    readAdapterLoadMs(key: string): number {
        return this.loadTimes.read(this.warm.has(key));
    }

    update(key: string, version: number, state: Place["state"], now: number): void {
        const known = this.places.get(key);
        if (known === undefined) {
            this.places.set(key, {
                state,
                version,
                checkAt: now,
                checkPauseMs,
                changedAt: now,
                expectedMs: this.loadTimes.read(false),
                incompleteMs: undefined,
                isWarm: false,
                usedAt: now,
                popularity: 1,
                decayedAt: now,
            });
        }
        else if (known.state !== state || known.version !== version) {
            known.state = state;
            known.version = version;
            known.checkAt = now;
            known.checkPauseMs = checkPauseMs;
            known.changedAt = now;
        }
        this.warm.record(key);
    }

    remove(key: string): void {
        this.places.delete(key);
    }

    /** Counts a request for an adapter. */
    recordUse(key: string, now: number): void {
        const place = this.places.get(key);
        if (place !== undefined) {
            recordPlaceUse(place, now);
        }
    }

    /** Begins a load that the engine has accepted. */
    startLoad(key: string, version: number, now: number): void {
        const isWarm = this.warm.has(key) && !this.places.has(key);
        this.update(key, version, "loading", now);
        const place = this.places.get(key)!;
        place.expectedMs = this.loadTimes.read(isWarm);
        place.isWarm = isWarm;
        place.incompleteMs = undefined;
        place.checkAt = now + this.loadTimes.read(isWarm || !this.options.knowsMemory);
    }

    /** A load was asked about and is still on its way. */
    recordIncomplete(key: string, now: number): void {
        const place = this.places.get(key)!;
        const dueAt = place.changedAt + place.expectedMs;
        if (now < dueAt) {
            // It was asked about early, in case that the engine had it in memory.
            place.checkAt = dueAt;
            return;
        }
        place.incompleteMs ??= now - place.changedAt;
        this.scheduleCheck(place, now);
    }

    /** A load is complete: how long it took is learned. */
    recordLoaded(key: string, version: number, now: number): void {
        const place = this.places.get(key);
        if (place?.state === "loading") {
            const loadMs = now - place.changedAt;
            const wasWarm = place.isWarm || loadMs < place.expectedMs;
            this.loadTimes.record(wasWarm, loadMs, place.incompleteMs);
        }
        this.update(key, version, "loaded", now);
    }

    /** An unload was accepted, or asked about, and is still on its way. */
    recordUnloading(key: string, now: number): void {
        const place = this.places.get(key)!;
        if (place.state !== "unloading") {
            place.state = "unloading";
            place.changedAt = now;
            place.checkPauseMs = checkPauseMs;
        }
        this.scheduleCheck(place, now);
    }

    /** Looks again after a pause that grows while an order takes long. */
    private scheduleCheck(place: Place, now: number): void {
        place.checkAt = now + place.checkPauseMs;
        place.checkPauseMs = Math.min(place.checkPauseMs * checkPauseFactor, maxCheckPauseMs);
    }
}
