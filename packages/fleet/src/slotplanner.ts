import type { EngineLimits } from "@radishreel/routing";
import { BaseModels } from "./basemodels.js";
import { LoadForecast, maxConcurrentLoads } from "./forecast.js";
import { type AddedClaim, anyKey, LoadQueue, type LoadRequest, loadRequestTtlMs } from "./loadqueue.js";
import {
    createAdapterOrder,
    createModelOrder,
    type EngineOrder,
    type EngineReport,
    type OrderAction,
    type OrderOutcome,
    type PlannerStep,
} from "./orders.js";
import { OrderScheduler, reportDelayMs } from "./orderscheduler.js";
import type { Claim } from "./scheduling/index.js";
import { isLoading, type SlotCounts } from "./slot.js";
import { checkPauseMs, SlotTable } from "./slottable.js";
import { type EvictionRule, PopularityEviction } from "./transfers/evictionrule.js";
import { EvictionPlanner } from "./transfers/evictions.js";
import type { EngineTransfers } from "./transfers/transferbudget.js";
import { VersionRefresher } from "./transfers/versionrefresher.js";
import { formatAdapterKey, type HeldModel, parseAdapterKey } from "./types.js";

/** Pause after an order without a response, in milliseconds: the response timeout has already passed. */
const resendPauseMs = 5;

/** Pause after the outcome `gone`, in milliseconds: the registry entry will be removed. */
const gonePauseMs = 400;

/** Pause after an order that the engine rejected as invalid, in milliseconds. */
const rejectedPauseMs = 2000;

/** Options of {@link EngineSlotPlanner}. */
export interface EngineSlotPlannerOptions {
    readonly limits: EngineLimits;
    readonly models: readonly HeldModel[];
    /** Versions by adapter key that the engine is assumed to hold, until it reports. @default {} */
    readonly held?: Readonly<Record<string, number>>;
    /** Keys of adapters that the engine is expected to have in host memory, least recently loaded first. @default [] */
    readonly warm?: readonly string[];
    readonly sequence: number;
    readonly now: number;
    /** Newest announced version of an adapter; loads request this version. @default no version is known */
    readonly findNewest?: ((key: string) => number | undefined) | undefined;
    /** @default the adapter with the fewest recent uses gives way */
    readonly evictionRule?: EvictionRule | undefined;
    /** Whether a load from the weight store may start now. @default it always may */
    readonly mayTransfer?: ((now: number) => boolean) | undefined;
    /** Whether loaded adapters in demand may be replaced by newer versions now. @default only for queued requests */
    readonly mayRefresh?: ((now: number) => boolean) | undefined;
}

/**
 * Plans the adapter slots of one engine for its owner. Adapters that are loaded, loading or ordered with unknown
 * outcome never exceed the number of slots together: a slot counts as free only after the engine has confirmed it.
 */
export class EngineSlotPlanner {
    private readonly slots: SlotTable;
    /** Queue of the adapters that requests wait for. */
    readonly queue = new LoadQueue();
    private readonly models: BaseModels;
    private readonly scheduler: OrderScheduler;
    private readonly limits: EngineLimits;
    private readonly findNewest: (key: string) => number | undefined;
    private readonly forecast = new LoadForecast();
    private readonly evictions: EvictionPlanner;
    private readonly refresher: VersionRefresher;

    constructor(private readonly options: EngineSlotPlannerOptions) {
        this.limits = options.limits;
        this.findNewest = options.findNewest ?? (() => undefined);
        this.models = new BaseModels({ limits: options.limits, held: options.models });
        this.scheduler = new OrderScheduler(options);
        // A restarted owner does not know which adapters the engine keeps in host memory, so it checks each load early.
        const isHostMemoryKnown = options.sequence === 0 || (options.warm ?? []).length > 0;
        this.slots = new SlotTable({ total: options.limits.adapterPlaces, warm: options.warm, isHostMemoryKnown });
        this.evictions = new EvictionPlanner({
            slots: this.slots,
            queue: this.queue,
            rule: options.evictionRule ?? new PopularityEviction(),
        });
        this.refresher = new VersionRefresher({ ...options, slots: this.slots, queue: this.queue });
        for (const [key, version] of Object.entries(options.held ?? {})) {
            this.slots.update(key, version, "loaded", options.now - reportDelayMs);
        }
    }

    /** Whether the engine must report its state before the next order. */
    get needsReport(): boolean {
        return this.scheduler.needsReport;
    }

    /** Whether the engine can be reached, as far as the attempts to do so show. */
    get isReachable(): boolean {
        return this.scheduler.isReachable;
    }

    /** Whether the engine opened no connection in time, which a short silence also explains. */
    get isSilent(): boolean {
        return this.scheduler.isSilent;
    }

    /** Versions by adapter key of the adapters that are loaded and not being evicted. */
    listHeld(): Record<string, number> {
        return this.slots.listHeld();
    }

    listLoading(): string[] {
        return this.slots.listLoading();
    }

    /** Keys of queued adapters that have no slot yet, in load order, as if `added` were queued as well. */
    listQueued(now: number, added?: AddedClaim): string[] {
        return this.queue.list(now, this.slots.readLoadMs(false), added).filter(key => !this.slots.has(key));
    }

    /** Transfers from the weight store that are in flight, and those that may start as far as the engine is concerned. */
    readTransfers(now: number): EngineTransfers {
        const loading = [...this.slots.entries.values()].filter(isLoading);
        const places = Math.min(this.slots.free, maxConcurrentLoads - loading.length);
        const queued = this.listQueued(now).filter(key => this.mayStartLoad(key, now) && this.isTransfer(key));
        return {
            inFlight: loading.filter(({ isWarm }) => !isWarm).length,
            waiting: this.isReachable ? Math.max(0, Math.min(queued.length, places)) : 0,
        };
    }

    /** Number of slots by use and number of queued adapters, for logs and status pages. */
    countSlots(now: number, countUses: (key: string) => number): SlotCounts & { queued: number; } {
        return { ...this.slots.countByUse(now, countUses), queued: this.listQueued(now).length };
    }

    /** Expected duration of a load, in milliseconds. */
    readLoadMs(isWarm: boolean): number {
        return this.slots.readLoadMs(isWarm);
    }

    /** Version of an adapter that requests may use now; undefined if the adapter is not loaded. */
    findLoadedVersion(key: string): number | undefined {
        return this.slots.findLoadedVersion(key);
    }

    /** Whether the engine holds a base model, according to its last report. */
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
     * Expected time until a request for an adapter can be admitted, in milliseconds.
     * @param releases Expected times until slots in use become free, in milliseconds, soonest first.
     * @param claim The request, if its place in the load order depends on its urgency.
     */
    readWaitMs(key: string, now: number, releases: readonly number[], claim?: Claim): number {
        const slot = this.slots.find(key);
        if (slot !== undefined && isLoading(slot)) {
            return Math.max(0, slot.changedAt + slot.expectedMs - now);
        }
        const queued = this.listQueued(now, claim === undefined ? undefined : { key, claim });
        const found = queued.indexOf(key);
        const position = found < 0 ? queued.length : found;
        const onTimeUntil = claim?.onTimeUntil ?? this.queue.find(key)?.onTimeUntil ?? Infinity;
        const queueMs = this.readQueueWaitMs(position, queued.length, onTimeUntil, now, releases);
        const modelMs = this.models.readWaitMs(parseAdapterKey(key).model, now);
        return Math.max(queueMs, modelMs) + this.slots.readAdapterLoadMs(key);
    }

    /** Expected time until the load of one more adapter would start, in milliseconds. */
    readNextLoadWaitMs(now: number, releases: readonly number[], claim?: Claim): number {
        const queued = this.listQueued(now, claim === undefined ? undefined : { key: anyKey, claim });
        const found = queued.indexOf(anyKey);
        const position = found < 0 ? queued.length : found;
        return Math.max(
            this.readQueueWaitMs(position, queued.length, Infinity, now, releases),
            this.models.readWaitMs(undefined, now),
        );
    }

    private readQueueWaitMs(
        position: number,
        queued: number,
        onTimeUntil: number,
        now: number,
        releases: readonly number[],
    ): number {
        const load = {
            position,
            queued,
            loading: this.listLoading().length,
            adapterSlots: this.limits.adapterPlaces,
            releases,
            coldLoadMs: this.slots.readLoadMs(false),
            onTimeUntil,
        };
        return this.forecast.readWaitMs(load, now);
    }

    /** Removes the load request of an adapter that no request waits for any more. */
    removeLoadRequest(key: string): void {
        this.queue.remove(key);
    }

    /** Adds a load request, or updates the adapter's queued one. Without a lifetime it must be renewed. */
    addLoadRequest(request: LoadRequest, now: number): void {
        const slot = this.slots.find(request.key);
        const version = this.findRequestedVersion(request.key, request.version);
        if (slot?.state !== "loaded" || slot.version < (version ?? 0)) {
            if (!this.queue.has(request.key)) {
                this.forecast.recordArrival(now);
            }
            this.queue.add({ ...request, version }, now);
        }
    }

    /** Counts a request for an adapter. */
    recordUse(key: string, now: number): void {
        this.slots.recordUse(key, now);
    }

    /** Records that the engine rejected a request for an adapter that counts as loaded. */
    recordMissing(key: string, now: number): void {
        if (this.slots.find(key)?.state === "loaded") {
            this.scheduler.scheduleReportNow(now);
        }
    }

    /**
     * Decides the next step.
     * @param countUses Number of running requests that use an adapter, over all VMs.
     */
    decide(now: number, countUses: (key: string) => number): PlannerStep {
        const first = this.scheduler.findStep(now);
        if (first !== undefined) {
            return first;
        }
        this.queue.expire(now);
        const queued = this.listQueued(now);
        this.refresher.plan(queued.length, now, countUses);
        this.evictions.planReplacements(now, countUses);
        this.evictions.plan(queued, now, countUses);
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

    /** Applies the outcome of an order. */
    applyOutcome(order: EngineOrder, outcome: OrderOutcome, now: number): void {
        if (outcome === "unreachable") {
            this.recordUnreachable(now);
            return;
        }
        if (outcome === "silent") {
            this.recordSilent(now);
            return;
        }
        this.scheduler.recordReached();
        if (outcome === "gone") {
            this.scheduler.pause(gonePauseMs, now);
            return;
        }
        if (outcome === "conflict" || outcome === "unknown") {
            this.applyUncertainOutcome(order, outcome, now);
            return;
        }
        if (order.adapter === undefined) {
            this.applyModelOutcome(order.model, outcome, now);
            return;
        }
        const key = formatAdapterKey(order.model, order.adapter);
        if (outcome === "rejected") {
            this.applyRejection(key, now);
            return;
        }
        if (order.action === "load") {
            this.applyLoadOutcome(key, order, outcome, now);
        }
        else {
            this.applyUnloadOutcome(key, outcome, now);
        }
    }

    /**
     * A report shows when the model is loaded. Each report has a cost, so the first is scheduled after the shortest
     * load time.
     */
    private applyModelOutcome(model: string, outcome: OrderOutcome, now: number): void {
        this.scheduler.scheduleReport(now);
        if (outcome === "accepted") {
            this.models.recordLoad(model, now);
            this.scheduler.scheduleReport(now, Math.max(reportDelayMs, this.models.readMinLoadMs(model)));
        }
        else if (outcome === "rejected") {
            this.scheduler.pause(rejectedPauseMs, now);
        }
    }

    /** Applies the engine's report. @param askedAt When the report was requested. */
    applyReport(report: EngineReport, askedAt: number, now: number): void {
        this.scheduler.recordReached();
        if (!this.scheduler.applyReport(report.sequence, askedAt, now)) {
            return;
        }
        this.models.update(report.models);
        this.slots.applyReport(report, askedAt, now, key => this.queue.find(key)?.version ?? 0);
        if (report.isBusy) {
            this.scheduler.scheduleReport(now);
        }
    }

    /** Records that a requested report did not arrive. */
    recordReportFailure(failure: "unreachable" | "silent" | "unknown" | "replaced", now: number): void {
        this.scheduler.recordReportFailure(now);
        const isAnswerMissing = failure === "unknown" && (this.isSilent || !this.isReachable);
        if (failure === "silent" || isAnswerMissing) {
            this.recordSilent(now);
        }
        else if (failure !== "unknown") {
            this.recordUnreachable(now);
        }
    }

    private recordSilent(now: number): void {
        if (this.scheduler.recordSilent(now)) {
            this.queue.removeAll();
        }
    }

    /**
     * Empties the load queue of an engine that cannot be reached, so that its requests try other engines at once. A
     * crashed engine keeps its registry entry for about 3 s, in which loads would queue for it in vain: eleven did so
     * at one of six engines, of which two were gone.
     */
    private recordUnreachable(now: number): void {
        this.queue.removeAll();
        this.scheduler.recordUnreachable(now);
    }

    private applyLoadOutcome(key: string, order: EngineOrder, outcome: OrderOutcome, now: number): void {
        const slot = this.slots.find(key);
        const version = order.version ?? slot?.version ?? 0;
        if (outcome === "holds") {
            this.slots.recordLoaded(key, version, now);
            this.queue.remove(key);
            return;
        }
        if (outcome !== "accepted") {
            return;
        }
        if (slot?.state === "loading") {
            // The order was a check: the load is not complete, and the engine has not counted the order.
            this.slots.recordIncomplete(key, now);
            return;
        }
        this.scheduler.recordAccepted(now);
        this.forecast.recordLoadStart(now);
        this.queue.recordStart(key, now, this.slots.readLoadMs(false));
        this.slots.startLoad(key, version, now);
    }

    private applyUnloadOutcome(key: string, outcome: OrderOutcome, now: number): void {
        const slot = this.slots.find(key);
        if (outcome === "holds") {
            if (slot?.state !== "unloading") {
                this.scheduler.recordUnloaded(now);
            }
            this.slots.remove(key);
            return;
        }
        if (outcome !== "accepted" || slot === undefined) {
            return;
        }
        if (slot.state !== "unloading") {
            this.scheduler.recordAccepted(now);
        }
        this.slots.recordUnloading(key, now);
    }

    /**
     * Resends an order that got no response, with the same expected sequence: the engine carries out at most one of the
     * two, whenever they arrive. A conflict means that the engine's sequence differs from the expected one.
     */
    private applyUncertainOutcome(order: EngineOrder, outcome: OrderOutcome, now: number): void {
        if (outcome === "conflict") {
            this.scheduler.recordConflict(now);
            return;
        }
        this.scheduler.recordUnanswered(now);
        this.scheduler.pause(resendPauseMs, now);
        if (order.action === "load" && order.adapter !== undefined) {
            const key = formatAdapterKey(order.model, order.adapter);
            if (!this.slots.has(key)) {
                this.slots.update(key, order.version ?? 0, "unknown", now);
            }
        }
    }

    private applyRejection(key: string, now: number): void {
        this.queue.pause(key, now + rejectedPauseMs);
        this.slots.pauseChecks(key, now + rejectedPauseMs);
    }

    /** Finds a load or unload whose check is due: the outcome of the repeated order shows whether it is complete. */
    private findDueCheck(now: number, countUses: (key: string) => number): EngineOrder | undefined {
        for (const [key, slot] of this.slots.entries) {
            if (slot.state === "loaded" || slot.checkAt > now) {
                continue;
            }
            const isRequested = this.queue.has(key) && !this.evictions.isOutdated(key, slot);
            if (slot.state === "retiring" && (countUses(key) > 0 || isRequested)) {
                // A request arrived meanwhile, so the adapter stays.
                this.slots.update(key, slot.version, "loaded", now);
                continue;
            }
            const isBeingEvicted = slot.state === "unloading" || slot.state === "retiring";
            return this.createOrder(isBeingEvicted ? "unload" : "load", key, slot.version);
        }
        return undefined;
    }

    private findNextOrder(now: number): EngineOrder | undefined {
        const modelToPreload = this.models.findModelToPreload();
        if (modelToPreload !== undefined) {
            return createModelOrder(modelToPreload, this.scheduler.sequence);
        }
        const key = this.listQueued(now).find(name => this.mayStartLoad(name, now) && this.hasTransfer(name, now));
        if (key === undefined) {
            return undefined;
        }
        const { model } = parseAdapterKey(key);
        if (!this.hasModel(model)) {
            return createModelOrder(model, this.scheduler.sequence);
        }
        const reserved = this.queue.countReserved(key, now, this.slots.readLoadMs(false));
        if (this.listLoading().length >= maxConcurrentLoads - reserved) {
            return undefined;
        }
        const hasFreeSlot = this.slots.free > reserved;
        return hasFreeSlot
            ? this.createOrder("load", key, this.findRequestedVersion(key, this.queue.find(key)?.version))
            : undefined;
    }

    /** Whether no rejection holds back the load of a queued adapter. */
    private mayStartLoad(key: string, now: number): boolean {
        return this.queue.find(key)!.notBefore <= now;
    }

    /** Whether the load of an adapter needs no transfer from the weight store, or may have one now. */
    private hasTransfer(key: string, now: number): boolean {
        const { mayTransfer } = this.options;
        const needsTransfer = mayTransfer !== undefined && this.isTransfer(key);
        return !needsTransfer || mayTransfer(now);
    }

    /** Whether the next load of a queued adapter is a transfer from the weight store. */
    private isTransfer(key: string): boolean {
        return this.hasModel(parseAdapterKey(key).model) && !this.slots.isInHostMemory(key);
    }

    /** The version to load: the newest announced one, so that the owner knows which version the engine then holds. */
    private findRequestedVersion(key: string, requested: number | undefined): number | undefined {
        const newest = Math.max(requested ?? 0, this.findNewest(key) ?? 0);
        return newest === 0 ? undefined : newest;
    }

    private findNextTime(now: number): number {
        let next = now + loadRequestTtlMs;
        for (const slot of this.slots.entries.values()) {
            if (slot.state !== "loaded") {
                next = Math.min(next, slot.checkAt);
            }
        }
        if (this.queue.size > 0) {
            next = Math.min(next, now + checkPauseMs);
        }
        return next;
    }

    private createOrder(action: OrderAction, key: string, version: number | undefined): EngineOrder {
        return createAdapterOrder(action, key, version, this.scheduler.sequence);
    }
}
