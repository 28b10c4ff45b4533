import type { EngineLimits } from "@radishreel/routing";
import { LoadTimes } from "./loadtimes.js";
import type { EngineOrder, EngineReport, OrderAction, OrderAnswer, PlacesStep } from "./orders.js";
import { formatAdapterKey, type HeldModel, parseAdapterKey } from "./types.js";
import { AdapterQueue, type AdapterWant, wantLifeMs } from "./wants.js";
import { WarmAdapters } from "./warm.js";

/**
 * An adapter with this many recent uses is not evicted only to keep a place free: at a half-life of 8 s it is asked for
 * about once in 5 s.
 */
const popularUses = 2.5;

/** Adapters that may be on their way to one engine at a time, by the engines' interface. */
const maxComing = 4;

/** An adapter used this recently is not evicted for another one, in milliseconds: its next request may be on its way. */
const minIdleMs = 150;

/**
 * An adapter that was just loaded stays at least this long for the requests that waited for it, in milliseconds. Without
 * it one in four loads was evicted before its first request arrived when places were short.
 */
const minStayMs = 400;

/** Places kept free, so that a load need not wait for an eviction. */
const freePlaces = 1;

/** Longest pause between two checks of a load or an unload that takes long, in milliseconds. */
const maxCheckPauseMs = 120;

/** Half-life of an adapter's popularity, in milliseconds: demand moves to other adapters within seconds. */
const popularityHalfLifeMs = 8000;

/** Shortest time for which a request that waits is taken to occupy a place, in milliseconds. */
const minBusyMs = 200;

/** Pause between two checks whether a load or an unload is complete, in milliseconds. */
const checkPauseMs = 20;

/** Pause before an engine is asked for its state after an order that it did not take, in milliseconds: reports lag. */
const syncPauseMs = 250;

/** Pause after an order without an answer, in milliseconds: the wait for the answer was the pause already. */
const repeatPauseMs = 5;

/** Shortest and longest pause between two tries to reach an engine, in milliseconds: a crashed one is down for seconds. */
const minReachPauseMs = 60;
const maxReachPauseMs = 240;

/** Pause after word that another incarnation has the address, in milliseconds: the entry will be removed. */
const gonePauseMs = 400;

/** Pause after an order for an adapter that the engine rejected as wrong, in milliseconds. */
const rejectedPauseMs = 2000;

/** Places of an engine by what they are used for. */
export interface PlaceCounts {
    inUse: number;
    popular: number;
    idle: number;
    moving: number;
    free: number;
    /** Adapters that wait for one. */
    queued: number;
}

interface Place {
    /** `retiring`: nobody is let in any more, and it will be ordered to go. */
    state: "loaded" | "loading" | "retiring" | "unloading" | "unknown";
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

/** Options of {@link EnginePlaces}. */
export interface EnginePlacesOptions {
    readonly limits: EngineLimits;
    readonly models: readonly HeldModel[];
    /** Versions by adapter key that the engine is believed to hold, until it reports. @default {} */
    readonly held?: Readonly<Record<string, number>>;
    /** Adapter keys that the engine is believed to have held lately, least recently first. @default [] */
    readonly warm?: readonly string[];
    readonly sequence: number;
    readonly now: number;
}

/**
 * The owner's plan for the adapter places of one engine. It never lets loaded, coming and doubtful adapters together
 * exceed the places: a place counts as free only after the engine has said so.
 */
export class EnginePlaces {
    private readonly places = new Map<string, Place>();
    private readonly wants = new AdapterQueue();
    private readonly warm: WarmAdapters;
    private models: readonly HeldModel[];
    private sequence: number;
    private mustReport = true;
    /** Whether the sequence itself is in doubt, so that only a report made after a pause says what it is. */
    private isSequenceInDoubt = false;
    private lastOrderAt = -Infinity;
    private reachPauseMs = minReachPauseMs;
    private isConnected = true;
    private orderNotBefore = -Infinity;
    private reportAt: number;
    private readonly limits: EngineLimits;
    private readonly loadTimes = new LoadTimes();

    constructor(options: EnginePlacesOptions) {
        this.limits = options.limits;
        this.models = options.models;
        this.sequence = options.sequence;
        this.reportAt = options.now;
        this.warm = new WarmAdapters(options.warm, options.limits.adapterPlaces);
        for (const [key, version] of Object.entries(options.held ?? {})) {
            this.updatePlace(key, version, "loaded", options.now - syncPauseMs);
        }
    }

    /** Whether the engine has to be asked for its state before anything else. */
    get needsReport(): boolean {
        return this.mustReport;
    }

    /** Whether the last try to reach the engine found it there. */
    get isReachable(): boolean {
        return this.isConnected;
    }

    /** Versions by adapter key of what is loaded and not being unloaded. */
    listHeld(): Record<string, number> {
        const held: Record<string, number> = {};
        for (const [key, place] of this.places) {
            if (place.state === "loaded") {
                held[key] = place.version;
            }
        }
        return held;
    }

    listComing(): string[] {
        return [...this.places].filter(([, place]) => isComing(place)).map(([key]) => key);
    }

    /** Adapter keys that wait for a place, in the order in which they will be loaded. */
    listQueued(now: number): string[] {
        return this.wants.list(now, this.loadTimes.read(false)).filter(key => !this.places.has(key));
    }

    /** How the places are used, for what is told to people. */
    countPlaces(now: number, countUses: (key: string) => number): PlaceCounts {
        const counts: PlaceCounts = {
            inUse: 0,
            popular: 0,
            idle: 0,
            moving: 0,
            free: 0,
            queued: this.listQueued(now).length,
        };
        for (const [key, place] of this.places) {
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
        counts.free = this.limits.adapterPlaces - this.places.size;
        return counts;
    }

    /** Expected time of a load, in milliseconds. */
    readLoadMs(isWarm: boolean): number {
        return this.loadTimes.read(isWarm);
    }

    /** Version of an adapter that requests may use now; undefined if it is not loaded. */
    findLoadedVersion(key: string): number | undefined {
        const place = this.places.get(key);
        return place?.state === "loaded" ? place.version : undefined;
    }

    /** Whether the engine holds a base model, as far as it has reported. */
    hasModel(name: string): boolean {
        return this.models.some(held => held.name === name);
    }

    /**
     * Expected time until a request for an adapter can be let in, in milliseconds.
     * @param releases Times until places that are in use are expected to come free, in milliseconds, soonest first.
     */
    readWaitMs(key: string, now: number, releases: readonly number[]): number {
        const place = this.places.get(key);
        if (place !== undefined && isComing(place)) {
            return Math.max(0, place.changedAt + place.expectedMs - now);
        }
        const queued = this.listQueued(now);
        const found = queued.indexOf(key);
        const position = found < 0 ? queued.length : found;
        return this.readTurnMs(position, releases) + this.loadTimes.read(this.warm.has(key));
    }

    /** Expected time until the load of one more adapter would begin, in milliseconds. */
    readNextTurnMs(now: number, releases: readonly number[]): number {
        return this.readTurnMs(this.listQueued(now).length, releases);
    }

    /** Expected time until the load at a position of the queue begins, in milliseconds. */
    private readTurnMs(position: number, releases: readonly number[]): number {
        const coldMs = this.loadTimes.read(false);
        const coming = this.listComing().length;
        const missing = position + 1 - Math.max(0, this.limits.adapterPlaces - releases.length - coming);
        const roomMs = missing <= 0 ? 0 : releases[Math.min(missing, releases.length) - 1] ?? coldMs;
        const turnMs = Math.floor((position + coming) / maxComing) * coldMs;
        return Math.max(roomMs, turnMs);
    }

    /** Takes a want back, since nobody waits for the adapter any more. */
    removeWant(key: string): void {
        this.wants.remove(key);
    }

    /** Asks for an adapter; a request that does not say how long it waits asks again from time to time. */
    addWant(wanted: AdapterWant, now: number): void {
        const place = this.places.get(wanted.key);
        if (place?.state !== "loaded" || place.version < (wanted.version ?? 0)) {
            this.wants.add(wanted, now);
        }
    }

    /** Counts a request for an adapter. */
    recordUse(key: string, now: number): void {
        const place = this.places.get(key);
        if (place !== undefined) {
            place.popularity = readPopularity(place, now) + 1;
            place.decayedAt = now;
            place.usedAt = now;
        }
    }

    /** Takes word that the engine turned a request for an adapter away although it was believed to be loaded. */
    recordMissing(key: string, now: number): void {
        const place = this.places.get(key);
        if (place?.state === "loaded") {
            this.mustReport = true;
            this.reportAt = Math.max(this.reportAt, now);
        }
    }

    /**
     * Decides the next step.
     * @param countUses Requests under way with an adapter, over all VMs.
     */
    decide(now: number, countUses: (key: string) => number): PlacesStep {
        if (!this.isConnected) {
            return now >= this.orderNotBefore ? { kind: "report" } : { kind: "wait", untilMs: this.orderNotBefore };
        }
        if (this.mustReport) {
            return now >= this.reportAt ? { kind: "report" } : { kind: "wait", untilMs: this.reportAt };
        }
        if (now < this.orderNotBefore) {
            return { kind: "wait", untilMs: this.orderNotBefore };
        }
        this.wants.expire(now);
        this.planEvictions(now, countUses);
        const check = this.findDueCheck(now, countUses);
        if (check !== undefined) {
            return { kind: "order", order: check };
        }
        const order = this.findNextOrder(now);
        if (order !== undefined) {
            return { kind: "order", order };
        }
        return { kind: "wait", untilMs: this.findNextTime(now) };
    }

    /** Takes the engine's answer to an order. */
    applyAnswer(order: EngineOrder, answer: OrderAnswer, now: number): void {
        if (answer === "unreachable") {
            this.recordUnreachable(now);
            return;
        }
        this.recordReached();
        if (answer === "gone") {
            this.orderNotBefore = now + gonePauseMs;
            return;
        }
        if (answer === "conflict" || answer === "unknown") {
            this.applyDoubt(order, answer, now);
            return;
        }
        if (order.adapter === undefined) {
            this.mustReport = true;
            this.reportAt = now + syncPauseMs;
            return;
        }
        const key = formatAdapterKey(order.model, order.adapter);
        if (answer === "rejected") {
            this.applyRejection(key, now);
            return;
        }
        if (order.action === "load") {
            this.applyLoad(key, order, answer, now);
        }
        else {
            this.applyUnload(key, answer, now);
        }
    }

    /** Takes the engine's report. @param askedAt When it was asked for. */
    applyReport(report: EngineReport, askedAt: number, now: number): void {
        this.mustReport = false;
        this.recordReached();
        this.models = report.models;
        // Reports lag: one that may be older than the last order must not take the sequence back.
        const isCurrent = askedAt - this.lastOrderAt >= syncPauseMs;
        this.sequence = isCurrent || this.isSequenceInDoubt
            ? report.sequence
            : Math.max(this.sequence, report.sequence);
        this.isSequenceInDoubt = false;
        const reported = new Map<string, number>();
        for (const model of report.models) {
            for (const adapter of model.adapters) {
                reported.set(formatAdapterKey(model.name, adapter.name), adapter.version);
            }
        }
        const hasSettled = (key: string): boolean => askedAt - (this.places.get(key)?.changedAt ?? 0) >= syncPauseMs;
        for (const key of [...this.places.keys()]) {
            if (!reported.has(key) && !report.coming.includes(key) && hasSettled(key)) {
                this.places.delete(key);
            }
        }
        for (const [key, version] of reported) {
            if (hasSettled(key)) {
                this.updatePlace(key, version, "loaded", now);
            }
        }
        for (const key of report.coming) {
            if (!reported.has(key) && hasSettled(key)) {
                this.updatePlace(key, this.wants.find(key)?.version ?? 0, "loading", now);
            }
        }
        if (report.isBusy) {
            this.mustReport = true;
            this.reportAt = now + syncPauseMs;
        }
    }

    /** A report was asked for and did not come. @param wasReached Whether a connection could be opened. */
    recordReportFailure(wasReached: boolean, now: number): void {
        this.reportAt = now + syncPauseMs;
        if (!wasReached || !this.isConnected) {
            this.recordUnreachable(now);
        }
    }

    /**
     * Nothing waits at an engine that cannot be reached: the requests that asked are to ask elsewhere at once. A crashed
     * engine keeps its entry for some 3 s; in that time eleven loads waited at one of six engines of which two were gone.
     */
    private recordUnreachable(now: number): void {
        this.isConnected = false;
        this.wants.removeAll();
        this.orderNotBefore = now + this.reachPauseMs;
        this.reachPauseMs = Math.min(this.reachPauseMs * 2, maxReachPauseMs);
    }

    private recordReached(): void {
        this.isConnected = true;
        this.reachPauseMs = minReachPauseMs;
    }

    private updatePlace(key: string, version: number, state: Place["state"], now: number): void {
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

    /** Looks again after a pause that grows while an order takes long. */
    private scheduleCheck(place: Place, now: number): void {
        place.checkAt = now + place.checkPauseMs;
        place.checkPauseMs = Math.min(place.checkPauseMs * 1.5, maxCheckPauseMs);
    }

    private applyLoad(key: string, order: EngineOrder, answer: OrderAnswer, now: number): void {
        const place = this.places.get(key);
        const version = order.version ?? place?.version ?? 0;
        if (answer === "holds") {
            this.recordLoaded(place, now);
            this.updatePlace(key, version, "loaded", now);
            this.wants.remove(key);
            return;
        }
        if (answer !== "accepted") {
            return;
        }
        if (place?.state === "loading") {
            // A check: it is still on its way, and the engine has not counted the order.
            place.incompleteMs ??= now - place.changedAt;
            this.scheduleCheck(place, now);
            return;
        }
        this.sequence += 1;
        this.lastOrderAt = now;
        const isWarm = this.warm.has(key) && place === undefined;
        this.updatePlace(key, version, "loading", now);
        const coming = this.places.get(key)!;
        coming.expectedMs = this.loadTimes.read(isWarm);
        coming.isWarm = isWarm;
        coming.incompleteMs = undefined;
        coming.checkAt = now + coming.expectedMs;
    }

    /** Learns from a load that is complete. */
    private recordLoaded(place: Place | undefined, now: number): void {
        if (place?.state === "loading") {
            this.loadTimes.record(place.isWarm, now - place.changedAt, place.incompleteMs);
        }
    }

    private applyUnload(key: string, answer: OrderAnswer, now: number): void {
        const place = this.places.get(key);
        if (answer === "holds") {
            if (place?.state !== "unloading") {
                this.sequence += 1;
                this.lastOrderAt = now;
            }
            this.places.delete(key);
            return;
        }
        if (answer !== "accepted" || place === undefined) {
            return;
        }
        if (place.state !== "unloading") {
            this.sequence += 1;
            this.lastOrderAt = now;
            place.state = "unloading";
            place.changedAt = now;
            place.checkPauseMs = checkPauseMs;
        }
        this.scheduleCheck(place, now);
    }

    /**
     * After an order without an answer the same one is sent again, with the same expected sequence: at most one of the
     * two is carried out, whenever they arrive. A conflict means that the sequence is another one.
     */
    private applyDoubt(order: EngineOrder, answer: OrderAnswer, now: number): void {
        if (answer === "conflict") {
            this.mustReport = true;
            this.isSequenceInDoubt = true;
            this.reportAt = now + syncPauseMs;
            return;
        }
        this.orderNotBefore = now + repeatPauseMs;
        if (order.action === "load" && order.adapter !== undefined) {
            const key = formatAdapterKey(order.model, order.adapter);
            if (!this.places.has(key)) {
                this.updatePlace(key, order.version ?? 0, "unknown", now);
            }
        }
    }

    private applyRejection(key: string, now: number): void {
        this.wants.pause(key, now + rejectedPauseMs);
    }

    /** Begins to make room, so that the next loads find free places. */
    private planEvictions(now: number, countUses: (key: string) => number): void {
        this.planReplacements(now, countUses);
        const going = [...this.places.values()].filter(({ state }) => state === "retiring" || state === "unloading");
        const free = this.limits.adapterPlaces - this.places.size + going.length;
        const wanted = this.listQueued(now).slice(0, maxComing);
        for (const key of wanted.slice(free)) {
            this.evictIdle(1, this.readReplaceable(key), now, countUses);
        }
        this.evictIdle(wanted.length + freePlaces - Math.max(free, wanted.length), popularUses, now, countUses);
    }

    /**
     * Popularity up to which an idle adapter yields to one that waits. A place serves the waiting one once in the time of a
     * load and a run; an adapter that is asked for more often than that serves more requests in it. When popular ones kept
     * their places until a request had waited 600 ms, 0.900 of the requests at an engine under heavy load were in time, and
     * 0.922 now (`test/hotset.test.ts`).
     */
    private readReplaceable(wanted: string): number {
        const busyMs = this.loadTimes.read(this.warm.has(wanted)) + this.wants.find(wanted)!.runMs;
        return popularityHalfLifeMs / Math.LN2 / Math.max(busyMs, minBusyMs);
    }

    /** Begins to evict up to so many idle adapters with less popularity than that. */
    private evictIdle(
        count: number,
        maxPopularity: number,
        now: number,
        countUses: (key: string) => number,
    ): void {
        for (let evicted = 0; evicted < count; evicted++) {
            const victim = this.findVictim(now, countUses, maxPopularity);
            if (victim === undefined) {
                return;
            }
            this.beginEviction(victim, now);
        }
    }

    /**
     * Begins to take out versions that are too old for what waits, once no request uses them. An order to replace one that
     * is in use is carried out after its runs, and the engine takes no other order until then: it locked an engine for
     * 3.4 s with 19 loads waiting.
     */
    private planReplacements(now: number, countUses: (key: string) => number): void {
        for (const [key, place] of this.places) {
            if (place.state === "loaded" && this.isTooOld(key, place) && countUses(key) === 0) {
                this.beginEviction(key, now);
            }
        }
    }

    /** Whether what waits for an adapter wants a newer version of it. */
    private isTooOld(key: string, place: Place): boolean {
        return (this.wants.find(key)?.version ?? 0) > place.version;
    }

    private beginEviction(key: string, now: number): void {
        const place = this.places.get(key)!;
        this.updatePlace(key, place.version, "retiring", now);
    }

    /** A load or unload whose end is due to be asked for: the same order again says whether it holds. */
    private findDueCheck(now: number, countUses: (key: string) => number): EngineOrder | undefined {
        for (const [key, place] of this.places) {
            if (place.state === "loaded" || place.checkAt > now) {
                continue;
            }
            const isWanted = this.wants.has(key) && !this.isTooOld(key, place);
            if (place.state === "retiring" && (countUses(key) > 0 || isWanted)) {
                // A request came in between: it stays.
                this.updatePlace(key, place.version, "loaded", now);
                continue;
            }
            const isGoing = place.state === "unloading" || place.state === "retiring";
            return this.createOrder(isGoing ? "unload" : "load", key, place.version);
        }
        return undefined;
    }

    private findNextOrder(now: number): EngineOrder | undefined {
        const key = this.listQueued(now).find(name => this.wants.find(name)!.notBefore <= now);
        if (key === undefined) {
            return undefined;
        }
        const { model } = parseAdapterKey(key);
        if (!this.hasModel(model)) {
            return this.createModelOrder(model);
        }
        if (this.listComing().length >= maxComing) {
            return undefined;
        }
        const hasRoom = this.places.size < this.limits.adapterPlaces;
        return hasRoom ? this.createOrder("load", key, this.wants.find(key)!.version) : undefined;
    }

    /** The idle adapter whose next request is least likely to come soon. */
    private findVictim(
        now: number,
        countUses: (key: string) => number,
        maxPopularity: number,
    ): string | undefined {
        let victim: string | undefined;
        let lowest = maxPopularity;
        for (const [key, place] of this.places) {
            const isIdle = place.state === "loaded"
                && countUses(key) === 0
                && now - place.usedAt >= minIdleMs
                && (place.usedAt > place.changedAt || now - place.changedAt >= minStayMs);
            const popularity = readPopularity(place, now);
            if (isIdle && !this.wants.has(key) && popularity < lowest) {
                lowest = popularity;
                victim = key;
            }
        }
        return victim;
    }

    private findNextTime(now: number): number {
        let next = now + wantLifeMs;
        for (const place of this.places.values()) {
            if (place.state !== "loaded") {
                next = Math.min(next, place.checkAt);
            }
        }
        if (this.wants.size > 0) {
            next = Math.min(next, now + checkPauseMs);
        }
        return next;
    }

    private createOrder(action: OrderAction, key: string, version: number | undefined): EngineOrder {
        const { model, adapter } = parseAdapterKey(key);
        return {
            action,
            model,
            adapter,
            version: action === "load" && version !== 0 ? version : undefined,
            expectedSequence: this.sequence,
        };
    }

    private createModelOrder(model: string): EngineOrder {
        return { action: "load", model, adapter: undefined, version: undefined, expectedSequence: this.sequence };
    }
}

function isComing(place: Place): boolean {
    return place.state === "loading" || place.state === "unknown";
}

function readPopularity(place: Place, now: number): number {
    return place.popularity * 0.5 ** (Math.max(0, now - place.decayedAt) / popularityHalfLifeMs);
}
