import type { EngineLimits } from "@radishreel/routing";
import { BaseModels } from "./basemodels.js";
import { LoadForecast, maxComing } from "./forecast.js";
import { EngineOrdering, syncPauseMs } from "./ordering.js";
import type { EngineOrder, EngineReport, OrderAction, OrderAnswer, PlacesStep } from "./orders.js";
import { chooseVictim, isComing, type Place, type PlaceCounts, popularUses, readReplaceable } from "./place.js";
import { checkPauseMs, PlaceTable } from "./placetable.js";
import { formatAdapterKey, type HeldModel, parseAdapterKey } from "./types.js";
import { AdapterQueue, type AdapterWant, wantLifeMs } from "./wants.js";

/** Places kept free, so that a load need not wait for an eviction. */
const freePlaces = 1;

/** Pause after an order without an answer, in milliseconds: the wait for the answer was the pause already. */
const repeatPauseMs = 5;

/** Pause after word that another incarnation has the address, in milliseconds: the entry will be removed. */
const gonePauseMs = 400;

/** Pause after an order for an adapter that the engine rejected as wrong, in milliseconds. */
const rejectedPauseMs = 2000;

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
    /** Newest version of an adapter that the operator has named; loads ask for it. @default none is known */
    readonly findNewest?: ((key: string) => number | undefined) | undefined;
}

/**
 * The owner's plan for the adapter places of one engine. It never lets loaded, coming and doubtful adapters together
 * exceed the places: a place counts as free only after the engine has said so.
 */
export class EnginePlaces {
    private readonly places: PlaceTable;
    private readonly wants = new AdapterQueue();
    private readonly models: BaseModels;
    private readonly ordering: EngineOrdering;
    private readonly limits: EngineLimits;
    private readonly findNewest: (key: string) => number | undefined;
    private readonly forecast = new LoadForecast();

    constructor(options: EnginePlacesOptions) {
        this.limits = options.limits;
        this.findNewest = options.findNewest ?? (() => undefined);
        this.models = new BaseModels({ limits: options.limits, held: options.models });
        this.ordering = new EngineOrdering(options);
        // An owner that starts anew is not told what the engine keeps in host memory: it asks early about each load.
        const knowsMemory = options.sequence === 0 || (options.warm ?? []).length > 0;
        this.places = new PlaceTable({ total: options.limits.adapterPlaces, warm: options.warm, knowsMemory });
        for (const [key, version] of Object.entries(options.held ?? {})) {
            this.places.update(key, version, "loaded", options.now - syncPauseMs);
        }
    }

    /** Whether the engine has to be asked for its state before anything else. */
    get needsReport(): boolean {
        return this.ordering.needsReport;
    }

    /** Whether the last try to reach the engine found it there. */
    get isReachable(): boolean {
        return this.ordering.isReachable;
    }

    /** Versions by adapter key of what is loaded and not being unloaded. */
    listHeld(): Record<string, number> {
        return this.places.listHeld();
    }

    listComing(): string[] {
        return this.places.listComing();
    }

    /** Adapter keys that wait for a place, in the order in which they will be loaded. */
    listQueued(now: number): string[] {
        return this.wants.list(now, this.places.readLoadMs(false)).filter(key => !this.places.has(key));
    }

    /** How the places are used, and how many adapters wait for one, for what is told to people. */
    countPlaces(now: number, countUses: (key: string) => number): PlaceCounts & { queued: number; } {
        return { ...this.places.countByUse(now, countUses), queued: this.listQueued(now).length };
    }

    /** Expected time of a load, in milliseconds. */
    readLoadMs(isWarm: boolean): number {
        return this.places.readLoadMs(isWarm);
    }

    /** Version of an adapter that requests may use now; undefined if it is not loaded. */
    findLoadedVersion(key: string): number | undefined {
        return this.places.findLoadedVersion(key);
    }

    /** Whether the engine holds a base model, as far as it has reported. */
    hasModel(name: string): boolean {
        return this.models.has(name);
    }

    /** Whether the engine has reported that it holds no base model. */
    get isEmpty(): boolean {
        return this.models.isEmpty;
    }

    /** Expected time until an adapter of a base model can be loaded, in milliseconds. */
    readModelWaitMs(name: string, now: number): number {
        return this.models.readWaitMs(name, now);
    }

    /**
     * Expected time until a request for an adapter can be let in, in milliseconds.
     * @param releases Times until places that are in use are expected to come free, in milliseconds, soonest first.
     */
    readWaitMs(key: string, now: number, releases: readonly number[]): number {
        const place = this.places.find(key);
        if (place !== undefined && isComing(place)) {
            return Math.max(0, place.changedAt + place.expectedMs - now);
        }
        const queued = this.listQueued(now);
        const found = queued.indexOf(key);
        const position = found < 0 ? queued.length : found;
        const onTimeUntil = this.wants.find(key)?.onTimeUntil ?? Infinity;
        const turnMs = this.readTurnMs(position, queued.length, onTimeUntil, now, releases);
        const modelMs = this.models.readWaitMs(parseAdapterKey(key).model, now);
        return Math.max(turnMs, modelMs) + this.places.readAdapterLoadMs(key);
    }

    /** Expected time until the load of one more adapter would begin, in milliseconds. */
    readNextTurnMs(now: number, releases: readonly number[]): number {
        const queued = this.listQueued(now).length;
        return Math.max(
            this.readTurnMs(queued, queued, Infinity, now, releases),
            this.models.readWaitMs(undefined, now),
        );
    }

    private readTurnMs(
        position: number,
        queued: number,
        onTimeUntil: number,
        now: number,
        releases: readonly number[],
    ): number {
        const load = {
            position,
            queued,
            coming: this.listComing().length,
            adapterPlaces: this.limits.adapterPlaces,
            releases,
            coldMs: this.places.readLoadMs(false),
            onTimeUntil,
        };
        return this.forecast.readTurnMs(load, now);
    }

    /** Takes a want back, since nobody waits for the adapter any more. */
    removeWant(key: string): void {
        this.wants.remove(key);
    }

    /** Asks for an adapter; a request that does not say how long it waits asks again from time to time. */
    addWant(wanted: AdapterWant, now: number): void {
        const place = this.places.find(wanted.key);
        const version = this.findWantedVersion(wanted.key, wanted.version);
        if (place?.state !== "loaded" || place.version < (version ?? 0)) {
            if (!this.wants.has(wanted.key)) {
                this.forecast.recordArrival(now);
            }
            this.wants.add({ ...wanted, version }, now);
        }
    }

    /** Counts a request for an adapter. */
    recordUse(key: string, now: number): void {
        this.places.recordUse(key, now);
    }

    /** Takes word that the engine turned a request for an adapter away although it was believed to be loaded. */
    recordMissing(key: string, now: number): void {
        if (this.places.find(key)?.state === "loaded") {
            this.ordering.scheduleReportNow(now);
        }
    }

    /**
     * Decides the next step.
     * @param countUses Requests under way with an adapter, over all VMs.
     */
    decide(now: number, countUses: (key: string) => number): PlacesStep {
        const first = this.ordering.findStep(now);
        if (first !== undefined) {
            return first;
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
        this.ordering.recordReached();
        if (answer === "gone") {
            this.ordering.pause(gonePauseMs, now);
            return;
        }
        if (answer === "conflict" || answer === "unknown") {
            this.applyDoubt(order, answer, now);
            return;
        }
        if (order.adapter === undefined) {
            this.applyModelAnswer(order.model, answer, now);
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

    /** A report tells when the model is there; each is priced, so that the first is asked for when it may be. */
    private applyModelAnswer(model: string, answer: OrderAnswer, now: number): void {
        this.ordering.scheduleReport(now);
        if (answer === "accepted") {
            this.models.recordLoad(model, now);
            this.ordering.scheduleReport(now, Math.max(syncPauseMs, this.models.readShortestMs(model)));
        }
        else if (answer === "rejected") {
            this.ordering.pause(rejectedPauseMs, now);
        }
    }

    /** Takes the engine's report. @param askedAt When it was asked for. */
    applyReport(report: EngineReport, askedAt: number, now: number): void {
        this.ordering.recordReached();
        this.ordering.applyReport(report.sequence, askedAt);
        this.models.update(report.models);
        const reported = new Map<string, number>();
        for (const model of report.models) {
            for (const adapter of model.adapters) {
                reported.set(formatAdapterKey(model.name, adapter.name), adapter.version);
            }
        }
        // Of what is not known here every report is news, also in the first moments of a process, whose clock begins at 0.
        const hasSettled = (key: string): boolean =>
            askedAt - (this.places.find(key)?.changedAt ?? -Infinity) >= syncPauseMs;
        for (const key of [...this.places.entries.keys()]) {
            if (!reported.has(key) && !report.coming.includes(key) && hasSettled(key)) {
                this.places.remove(key);
            }
        }
        for (const [key, version] of reported) {
            if (hasSettled(key)) {
                this.places.update(key, version, "loaded", now);
            }
        }
        for (const key of report.coming) {
            if (!reported.has(key) && hasSettled(key)) {
                this.places.update(key, this.wants.find(key)?.version ?? 0, "loading", now);
            }
        }
        if (report.isBusy) {
            this.ordering.scheduleReport(now);
        }
    }

    /** A report was asked for and did not come. @param wasReached Whether a connection could be opened. */
    recordReportFailure(wasReached: boolean, now: number): void {
        this.ordering.recordReportFailure(now);
        if (!wasReached || !this.ordering.isReachable) {
            this.recordUnreachable(now);
        }
    }

    /**
     * Nothing waits at an engine that cannot be reached: the requests that asked are to ask elsewhere at once. A crashed
     * engine keeps its entry for some 3 s; in that time eleven loads waited at one of six engines of which two were gone.
     */
    private recordUnreachable(now: number): void {
        this.wants.removeAll();
        this.ordering.recordUnreachable(now);
    }

    private applyLoad(key: string, order: EngineOrder, answer: OrderAnswer, now: number): void {
        const place = this.places.find(key);
        const version = order.version ?? place?.version ?? 0;
        if (answer === "holds") {
            this.places.recordLoaded(key, version, now);
            this.wants.remove(key);
            return;
        }
        if (answer !== "accepted") {
            return;
        }
        if (place?.state === "loading") {
            // A check: it is still on its way, and the engine has not counted the order.
            this.places.recordIncomplete(key, now);
            return;
        }
        this.ordering.recordAccepted(now);
        this.forecast.recordLoad(now);
        this.places.startLoad(key, version, now);
    }

    private applyUnload(key: string, answer: OrderAnswer, now: number): void {
        const place = this.places.find(key);
        if (answer === "holds") {
            if (place?.state !== "unloading") {
                this.ordering.recordAccepted(now);
            }
            this.places.remove(key);
            return;
        }
        if (answer !== "accepted" || place === undefined) {
            return;
        }
        if (place.state !== "unloading") {
            this.ordering.recordAccepted(now);
        }
        this.places.recordUnloading(key, now);
    }

    /**
     * After an order without an answer the same one is sent again, with the same expected sequence: at most one of the
     * two is carried out, whenever they arrive. A conflict means that the sequence is another one.
     */
    private applyDoubt(order: EngineOrder, answer: OrderAnswer, now: number): void {
        if (answer === "conflict") {
            this.ordering.recordConflict(now);
            return;
        }
        this.ordering.pause(repeatPauseMs, now);
        if (order.action === "load" && order.adapter !== undefined) {
            const key = formatAdapterKey(order.model, order.adapter);
            if (!this.places.has(key)) {
                this.places.update(key, order.version ?? 0, "unknown", now);
            }
        }
    }

    private applyRejection(key: string, now: number): void {
        this.wants.pause(key, now + rejectedPauseMs);
    }

    /** Begins to make room, so that the next loads find free places. */
    private planEvictions(now: number, countUses: (key: string) => number): void {
        this.planReplacements(now, countUses);
        const going = [...this.places.entries.values()].filter(({ state }) =>
            state === "retiring" || state === "unloading"
        );
        const free = this.places.free + going.length;
        const wanted = this.listQueued(now).slice(0, maxComing);
        for (const key of wanted.slice(free)) {
            const loadMs = this.places.readAdapterLoadMs(key);
            this.evictIdle(1, readReplaceable(loadMs, this.wants.find(key)!.runMs), now, countUses);
        }
        this.evictIdle(wanted.length + freePlaces - Math.max(free, wanted.length), popularUses, now, countUses);
    }

    /** Begins to evict up to so many idle adapters with less popularity than that. */
    private evictIdle(
        count: number,
        maxPopularity: number,
        now: number,
        countUses: (key: string) => number,
    ): void {
        for (let evicted = 0; evicted < count; evicted++) {
            const isWanted = (key: string): boolean => this.wants.has(key);
            const victim = chooseVictim({ places: this.places.entries, now, countUses, isWanted, maxPopularity });
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
        for (const [key, place] of this.places.entries) {
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
        const place = this.places.find(key)!;
        this.places.update(key, place.version, "retiring", now);
    }

    /** A load or unload whose end is due to be asked for: the same order again says whether it holds. */
    private findDueCheck(now: number, countUses: (key: string) => number): EngineOrder | undefined {
        for (const [key, place] of this.places.entries) {
            if (place.state === "loaded" || place.checkAt > now) {
                continue;
            }
            const isWanted = this.wants.has(key) && !this.isTooOld(key, place);
            if (place.state === "retiring" && (countUses(key) > 0 || isWanted)) {
                // A request came in between: it stays.
                this.places.update(key, place.version, "loaded", now);
                continue;
            }
            const isGoing = place.state === "unloading" || place.state === "retiring";
            return this.createOrder(isGoing ? "unload" : "load", key, place.version);
        }
        return undefined;
    }

    private findNextOrder(now: number): EngineOrder | undefined {
        const missing = this.models.findMissing();
        if (missing !== undefined) {
            return this.createModelOrder(missing);
        }
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
        const hasRoom = this.places.free > 0;
        return hasRoom
            ? this.createOrder("load", key, this.findWantedVersion(key, this.wants.find(key)?.version))
            : undefined;
    }

    /** The version to load: the newest one that was named, so that it is known which one the engine then holds. */
    private findWantedVersion(key: string, asked: number | undefined): number | undefined {
        const newest = Math.max(asked ?? 0, this.findNewest(key) ?? 0);
        return newest === 0 ? undefined : newest;
    }

    private findNextTime(now: number): number {
        let next = now + wantLifeMs;
        for (const place of this.places.entries.values()) {
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
            expectedSequence: this.ordering.sequence,
        };
    }

    private createModelOrder(model: string): EngineOrder {
        return {
            action: "load",
            model,
            adapter: undefined,
            version: undefined,
            expectedSequence: this.ordering.sequence,
        };
    }
}
