import {
    type AccountStarts,
    type AccountUsage,
    type AddressedReply,
    type AdmissionReply,
    type EngineOrder,
    EngineSlotPlanner,
    type EngineStatus,
    type FleetView,
    type LoadRequest,
    type UpstreamState,
} from "@radishreel/fleet";
import type { Service } from "@radishreel/routing";
import { processTimers, type ScheduledRun, type Timers } from "../clock.js";
import type { PeerMessage } from "../links/messages.js";
import type { EngineOrders } from "../ports.js";
import type { AdmissionMessage } from "../requests/admissions.js";
import { type AdmissionSettings, createAdmission } from "./admission.js";
import { createStatus } from "./enginestatus.js";
import type { OrdersInFlight } from "./ordersinflight.js";
import { type EngineReach, type OwnedEngine, readReach } from "./ownedengine.js";
import { RoomWaitLog } from "./roomwaits.js";
import { OwnedTransfers, type TransferSettings } from "./transfers.js";

/**
 * Shortest interval between status messages about load and adapters of owned engines, in milliseconds. A change of
 * whether an engine accepts orders or can be reached is sent at once.
 */
const minStatusIntervalMs = 100;

/**
 * Part of the status interval for each receiving VM, in milliseconds: the number of messages that one VM receives then
 * grows with the engines only.
 */
const statusIntervalPerVmMs = 12;

/** How often the owner checks an engine that may not receive orders now, in milliseconds. */
const idleCheckMs = 200;

/** Expected wait reported to a request while its engine cannot be used, in milliseconds: a new owner needs some 2 s. */
const unusableExpectedMs = 1000;

/** Expected wait reported for a leaving engine, in milliseconds: so long that any other engine is the better choice. */
const leavingExpectedMs = 10_000;

/** Options of {@link OwnedEngines}. */
export interface OwnedEnginesOptions extends AdmissionSettings {
    readonly vm: string;
    readonly view: FleetView;
    readonly orders: EngineOrders;
    readonly readTime: () => number;
    /** Time that includes suspension of the VM, in milliseconds. @default readTime */
    readonly readBoot?: (() => number) | undefined;
    readonly findService: (name: string) => Service | undefined;
    /** Whether orders may be given to an engine now. */
    readonly mayOrder: (name: string) => boolean;
    /** Identifies the holder of an engine; it rises from holder to holder. */
    readonly readFence: (name: string) => number;
    /** Fencing token for the orders to an engine. */
    readonly readOrderFence: (name: string) => number;
    /** Records the orders that are sent. @default they are not recorded */
    readonly ordersInFlight?: Pick<OrdersInFlight, "record">;
    /** Fields of the log line which explain why orders to an engine are allowed from now on. */
    readonly explainOrders?: (name: string) => object;
    /** Fields of the log line of an order: the shard of its engine, and the lease under which it was sent. */
    readonly readLeaseFields?: (name: string) => object;
    /** @default the timers of this process */
    readonly timers?: Timers;
    readonly sendStatuses: (statuses: EngineStatus[]) => void;
    /** Sends statuses to the VMs that own engines. @default sendStatuses */
    readonly sendToOwners?: ((statuses: EngineStatus[]) => void) | undefined;
    readonly sendReply: (vm: string, reply: AdmissionReply) => void;
    /** Called when a response of an engine announces that the engine is leaving. */
    readonly onLeaving?: ((engine: string) => void) | undefined;
    /** Counts the other VMs that may be running, connected or not. */
    readonly countOthers: () => number;
    /** Usage of client accounts, and the requests that start on owned engines. @default not counted */
    readonly ledger?: (AccountStarts & AccountUsage) | undefined;
    /** Settings of the transfer budget. @default transfers are not limited */
    readonly transfers?: TransferSettings | undefined;
}

/** Statuses collected during an update of the owned engines, to be sent in one message. */
interface PendingStatuses {
    readonly changed: Set<OwnedEngine>;
    readonly released: EngineStatus[];
}

/** The engines that this VM owns: only this VM gives them orders, admits requests and reports their state. */
export class OwnedEngines {
    private readonly engines = new Map<string, OwnedEngine>();
    private readonly timers: Timers;
    private readonly readBoot: () => number;
    /** Runs only while this VM owns engines: most VMs of a large fleet own none. */
    private statusTimer: ScheduledRun | undefined;
    /** Interval of the status timer, in milliseconds; 0 while it is stopped. */
    private statusIntervalMs = 0;
    /** Undefined if the feature is off. */
    private readonly transfers: OwnedTransfers | undefined;
    private isStopped = false;
    /** Statuses to send at the end of the current update; undefined outside an update. */
    private pendingStatuses: PendingStatuses | undefined;

    constructor(private readonly options: OwnedEnginesOptions) {
        this.timers = options.timers ?? processTimers;
        this.readBoot = options.readBoot ?? options.readTime;
        const sendReport = (ids: readonly string[]): void => this.sendToOwners(ids);
        this.transfers = options.transfers && new OwnedTransfers({ ...options, timers: this.timers, sendReport });
    }

    get hasEngines(): boolean {
        return this.engines.size > 0;
    }

    /** Number of requests that wait for an owned engine. */
    get waitingCount(): number {
        return [...this.engines.values()].reduce((sum, { admission }) => sum + admission.waitingCount, 0);
    }

    stop(): void {
        this.isStopped = true;
        this.runUpdate(() => {
            for (const id of [...this.engines.keys()]) {
                this.remove(id);
            }
        });
    }

    /** Adds engines that this VM now owns, and removes those that are gone or no longer owned. */
    update(isOwned: (name: string) => boolean): void {
        this.runUpdate(() => this.updateEngines(isOwned));
    }

    /** Sends all statuses that an update changes in one message: an assignment changes many engines. */
    private runUpdate(update: () => void): void {
        const pending: PendingStatuses = { changed: new Set(), released: [] };
        this.pendingStatuses = pending;
        update();
        this.pendingStatuses = undefined;
        const stillOwned = [...pending.changed].filter(owned => this.engines.get(owned.id) === owned);
        const statuses = [...pending.released, ...this.listChanges(stillOwned)];
        if (statuses.length > 0) {
            this.options.sendStatuses(statuses);
        }
    }

    private updateEngines(isOwned: (name: string) => boolean): void {
        for (const state of this.options.view.listUpstreams()) {
            const { id, name, service } = state.upstream;
            const isEngine = this.options.findService(service)?.engine !== undefined;
            if (isEngine && isOwned(name) && !this.engines.has(id)) {
                this.add(state);
            }
        }
        for (const owned of [...this.engines.values()]) {
            if (this.options.view.findUpstream(owned.id) === undefined || !isOwned(owned.name)) {
                this.remove(owned.id);
                continue;
            }
            this.advance(owned);
        }
    }

    /** Handles a message about a request from the VM that serves it. */
    receiveAdmissionMessage(vm: string, message: AdmissionMessage): void {
        const owned = this.engines.get(message.engine);
        if (owned === undefined) {
            if (message.type === "admit") {
                this.options.sendReply(vm, { kind: "notOwned", ticket: message.request.ticket });
            }
            return;
        }
        const now = this.options.readTime();
        switch (message.type) {
            case "admit":
                this.options.sendReply(vm, this.admitRequest(owned, vm, message.request, now));
                break;
            case "begun":
                owned.admission.finishPrefill(vm, message.ticket, now);
                if (this.options.features?.hasEngineScheduling !== true || owned.admission.roomWaitingCount === 0) {
                    return;
                }
                break;
            case "ended":
                owned.admission.finishRequest(vm, message.ticket, now);
                break;
            case "runs":
                if (!owned.admission.setRuns(vm, message.requests, now)) {
                    // Each VM lists its running requests for a new owner; mostly there are none.
                    return;
                }
                break;
        }
        this.advance(owned);
    }

    /** Handles a message about an adapter that a request will need, or that an engine lacked. */
    receiveLoadMessage(message: Extract<PeerMessage, { type: "prepare" | "missing"; }>): void {
        if (message.type === "prepare") {
            this.prepareAdapter(message.engine, message.want);
        }
        else {
            this.recordMissing(message.engine, message.key);
        }
    }

    /** Requests the load of an adapter on an engine before requests for it arrive. */
    prepareAdapter(engine: string, loadRequest: LoadRequest): void {
        const owned = this.engines.get(engine);
        if (owned !== undefined) {
            owned.planner.addLoadRequest(loadRequest, this.options.readTime());
            this.advance(owned);
        }
    }

    recordMissing(engine: string, key: string): void {
        const owned = this.engines.get(engine);
        if (owned !== undefined) {
            owned.planner.recordMissing(key, this.options.readTime());
            this.advance(owned);
        }
    }

    /**
     * Requests the load of a new adapter version on the owned engines that hold the adapter. With the transfer budget,
     * their planners replace older versions in demand by themselves.
     */
    updateVersion(key: string, version: number): void {
        for (const owned of this.engines.values()) {
            if (key in owned.planner.listHeld()) {
                if (this.transfers === undefined) {
                    owned.planner.addLoadRequest({ key, version, runMs: 0, onTimeMs: 0 }, this.options.readTime());
                }
                this.advance(owned);
            }
        }
    }

    /** Statuses of all owned engines, for a VM that has just connected. */
    listStatuses(): EngineStatus[] {
        return [...this.engines.values()].map(owned => this.createStatus(owned));
    }

    private admitRequest(
        owned: OwnedEngine,
        vm: string,
        request: Extract<AdmissionMessage, { type: "admit"; }>["request"],
        now: number,
    ): AdmissionReply {
        if (!this.options.view.isUsable(owned.id)) {
            return { kind: "declined", ticket: request.ticket, expectedMs: leavingExpectedMs };
        }
        if (!owned.planner.isReachable) {
            return { kind: "declined", ticket: request.ticket, expectedMs: unusableExpectedMs };
        }
        const reply = owned.admission.handleRequest(vm, request, now);
        this.recordFirstAdmission(owned, [reply], now);
        return reply;
    }

    /** Logs the first admitted request of an engine. */
    private recordFirstAdmission(owned: OwnedEngine, replies: readonly AdmissionReply[], now: number): void {
        if (!owned.hasAdmitted && replies.some(({ kind }) => kind === "admitted")) {
            owned.hasAdmitted = true;
            const sinceClaimedMs = Math.round(now - owned.ownedSince);
            this.options.log.recordImportant("engineFirstRequest", { engine: owned.id, sinceClaimedMs });
        }
    }

    /** Logs when an engine's report starts or stops listing a base model. */
    private recordModels(owned: OwnedEngine, now: number): void {
        const { isEmpty } = owned.planner;
        if (isEmpty !== owned.wasEmpty) {
            owned.wasEmpty = isEmpty;
            const sinceClaimedMs = Math.round(now - owned.ownedSince);
            this.options.log.recordImportant(isEmpty ? "engineEmpty" : "engineHasModel", {
                engine: owned.id,
                sinceClaimedMs,
            });
        }
    }

    private add(state: UpstreamState): void {
        const { id, name, models, sequence } = state.upstream;
        const limits = this.options.findService(state.upstream.service)!.engine!;
        const planner: EngineSlotPlanner = new EngineSlotPlanner({
            limits,
            models,
            held: state.status?.held ?? {},
            warm: state.warm.list(),
            sequence,
            now: this.options.readTime(),
            findNewest: key => this.options.view.versions.findNewest(key)?.version,
            ...this.transfers?.createPlannerOptions(id, now => planner.readTransfers(now)),
        });
        const owned: OwnedEngine = {
            id,
            name,
            planner,
            admission: createAdmission(this.options, {
                engine: id,
                planner,
                mayUse: (key, held, oldest) => this.mayUse(key, held, oldest),
                speed: this.options.view.createEngineSpeed(state),
                starts: this.options.ledger,
                usage: this.options.ledger,
                limits: this.options.features?.hasEngineScheduling === true ? limits : undefined,
            }),
            roomWaits: new RoomWaitLog(this.options.log, id),
            fence: this.options.readFence(name),
            orderFence: 0,
            revision: 0,
            lastStatus: "",
            isStepRunning: false,
            isOrdering: false,
            timer: undefined,
            canOrder: false,
            ownedSince: this.options.readTime(),
            hasAdmitted: false,
            wasEmpty: false,
        };
        this.engines.set(id, owned);
        this.updateStatusTimer();
        this.options.log.recordImportant("engineClaimed", { engine: id, fence: owned.fence });
        this.advance(owned);
        this.sendChanges([owned]);
    }

    /**
     * Whether a loaded adapter version may serve a request, by its oldest allowed version and the versions known here.
     */
    private mayUse(key: string, held: number, oldest: number | undefined): boolean {
        return held >= (oldest ?? -Infinity) && this.options.view.versions.mayUse(key, held, this.readBoot());
    }

    private remove(id: string): void {
        const owned = this.engines.get(id);
        if (owned === undefined) {
            return;
        }
        owned.timer?.cancel();
        this.engines.delete(id);
        this.transfers?.remove(id);
        if (this.engines.size === 0) {
            this.statusTimer?.cancel();
            this.statusTimer = undefined;
            this.statusIntervalMs = 0;
        }
        const { fence, isOrdering } = owned;
        this.options.log.recordImportant("engineGivenUp", { engine: id, fence, isOrdering });
        owned.canOrder = false;
        this.sendReplies(owned.admission.refuseAll(unusableExpectedMs));
        owned.revision += 1;
        const status = { ...this.createStatus(owned), isOwned: false, canOrder: false };
        if (this.pendingStatuses === undefined) {
            this.options.sendStatuses([status]);
        }
        else {
            this.pendingStatuses.released.push(status);
        }
    }

    private sendReplies(replies: readonly AddressedReply[]): void {
        for (const { vm, reply } of replies) {
            this.options.sendReply(vm, reply);
        }
    }

    /** Admits the requests that can be admitted, and starts the next step for the engine unless a step is running. */
    private advance(owned: OwnedEngine): void {
        if (this.isStopped || this.engines.get(owned.id) !== owned) {
            return;
        }
        const now = this.options.readTime();
        const isUsable = this.options.view.isUsable(owned.id);
        if (!isUsable) {
            // A load may take seconds; requests that wait for it must not be admitted to an engine that is leaving.
            this.sendReplies(owned.admission.refuseAll(leavingExpectedMs));
        }
        const replies = owned.admission.advance(now);
        this.recordFirstAdmission(owned, replies.map(({ reply }) => reply), now);
        this.sendReplies(replies);
        owned.roomWaits.record(owned.admission, now);
        if (owned.isStepRunning) {
            return;
        }
        owned.timer?.cancel();
        const state = this.options.view.findUpstream(owned.id);
        this.updateCanOrder(owned);
        // Reports may be read before orders are allowed; loaded adapters stay in use meanwhile.
        if (state === undefined || !isUsable || (!owned.canOrder && !owned.planner.needsReport)) {
            this.scheduleAdvance(owned, idleCheckMs);
            return;
        }
        const step = owned.planner.decide(now, key => owned.admission.countUses(key));
        this.transfers?.update(owned.id, owned.planner.readTransfers(now));
        switch (step.kind) {
            case "wait":
                this.scheduleAdvance(owned, Math.max(1, step.untilMs - now));
                return;
            case "report":
                void this.runReport(owned, state);
                return;
            case "order":
                void this.runOrder(owned, state, step.order);
                return;
        }
    }

    private updateCanOrder(owned: OwnedEngine): void {
        const canOrder = this.options.mayOrder(owned.name);
        if (canOrder !== owned.canOrder) {
            owned.canOrder = canOrder;
            const why = canOrder ? this.options.explainOrders?.(owned.name) : undefined;
            this.options.log.recordImportant("ordersAllowed", {
                engine: owned.id,
                canOrder,
                fence: owned.fence,
                orderFence: this.options.readOrderFence(owned.name),
                ...why,
            });
            this.sendChanges([owned]);
        }
    }

    private scheduleAdvance(owned: OwnedEngine, waitMs: number): void {
        owned.timer = this.timers.scheduleOnce(() => this.advance(owned), waitMs);
    }

    private async runReport(owned: OwnedEngine, state: UpstreamState): Promise<void> {
        owned.isStepRunning = true;
        const askedAt = this.options.readTime();
        const before = readReach(owned);
        const report = await this.options.orders.readReport(state.upstream, () => this.options.onLeaving?.(owned.id));
        const now = this.options.readTime();
        if (report.isErr()) {
            owned.planner.recordReportFailure(report.error, now);
            this.options.log.record("engineReport", { engine: owned.id, failure: report.error });
        }
        else {
            const { sequence, coming, models } = report.value;
            owned.planner.applyReport(report.value, askedAt, now);
            this.recordModels(owned, now);
            this.options.log.record("engineReport", { engine: owned.id, sequence, coming, held: models });
        }
        this.finishStep(owned, before);
    }

    private async runOrder(owned: OwnedEngine, state: UpstreamState, order: EngineOrder): Promise<void> {
        owned.isStepRunning = true;
        owned.isOrdering = true;
        owned.fence = Math.max(owned.fence, this.options.readFence(owned.name));
        owned.orderFence = Math.max(owned.orderFence, this.options.readOrderFence(owned.name));
        const sentAt = this.options.readTime();
        const lease = this.options.readLeaseFields?.(owned.name);
        const before = readReach(owned);
        const { orderFence: fence } = owned;
        const sending = this.options.orders.send(state.upstream, order, {
            holder: this.options.vm,
            fence,
            checkBeforeSend: () => this.options.mayOrder(owned.name),
            onLateAnswer: () => {
                const ms = Math.round(this.options.readTime() - sentAt);
                this.options.log.record("lateAnswer", { engine: owned.id, fence, ms });
                recordArrival?.();
            },
        }, () => this.options.onLeaving?.(owned.id));
        const recordArrival = this.options.ordersInFlight?.record(owned.name, sending);
        const outcome = await sending;
        owned.isOrdering = false;
        const now = this.options.readTime();
        owned.planner.applyOutcome(order, outcome, now);
        this.options.log.record("order", {
            engine: owned.id,
            action: order.action,
            adapter: order.adapter,
            version: order.version,
            sequence: order.expectedSequence,
            fence,
            ...lease,
            answer: outcome,
            places: owned.planner.countSlots(now, key => owned.admission.countUses(key)),
            waiting: owned.admission.waitingCount,
            ms: Math.round(now - sentAt),
        });
        this.finishStep(owned, before);
    }

    /** @param before Whether the engine could be reached, and was silent, before the step. */
    private finishStep(owned: OwnedEngine, before: EngineReach): void {
        owned.isStepRunning = false;
        const { isReachable, isSilent } = readReach(owned);
        if (before.isReachable && !isReachable) {
            this.sendReplies(owned.admission.refuseAll(unusableExpectedMs));
        }
        if (before.isReachable !== isReachable || before.isSilent !== isSilent) {
            this.sendChanges([owned]);
        }
        this.advance(owned);
    }

    private createStatus(owned: OwnedEngine): EngineStatus {
        return createStatus(owned, this.options.readTime(), this.transfers);
    }

    private sendDueChanges(): void {
        this.updateStatusTimer();
        this.sendChanges([...this.engines.values()]);
    }

    /** Sets the interval of the status timer by the number of receiving VMs: each run wakes the process. */
    private updateStatusTimer(): void {
        const intervalMs = Math.max(minStatusIntervalMs, this.options.countOthers() * statusIntervalPerVmMs);
        if (intervalMs !== this.statusIntervalMs) {
            this.statusIntervalMs = intervalMs;
            this.statusTimer?.cancel();
            this.statusTimer = this.timers.scheduleEvery(() => this.sendDueChanges(), intervalMs);
        }
    }

    /** Sends statuses to the other owners only; the next regular status to all VMs contains the same changes. */
    private sendToOwners(ids: readonly string[]): void {
        const statuses = [...this.engines.values()].filter(({ id }) => ids.includes(id)).map(owned => {
            owned.revision += 1;
            return this.createStatus(owned);
        });
        statuses.forEach(status => this.transfers?.recordReport(status));
        if (statuses.length > 0) {
            (this.options.sendToOwners ?? this.options.sendStatuses)(statuses);
        }
    }

    /** Sends the statuses that have changed since they were last sent, or adds them to the current update. */
    private sendChanges(engines: readonly OwnedEngine[]): void {
        if (this.pendingStatuses !== undefined) {
            engines.forEach(owned => this.pendingStatuses?.changed.add(owned));
            return;
        }
        const changed = this.listChanges(engines);
        if (changed.length > 0) {
            this.options.sendStatuses(changed);
        }
    }

    /** Lists the statuses that have changed since the last call, and records them as sent. */
    private listChanges(engines: readonly OwnedEngine[]): EngineStatus[] {
        const changed: EngineStatus[] = [];
        for (const owned of engines) {
            const status = this.createStatus(owned);
            const text = JSON.stringify({ ...status, revision: 0 });
            if (text !== owned.lastStatus) {
                owned.lastStatus = text;
                owned.revision += 1;
                changed.push({ ...status, revision: owned.revision });
                this.transfers?.recordReport(status);
            }
        }
        return changed;
    }
}
