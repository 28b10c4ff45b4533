import {
    type AdapterWant,
    type AddressedAnswer,
    type AdmissionAnswer,
    EngineAdmission,
    type EngineNews,
    type EngineOrder,
    EnginePlaces,
    type FleetView,
    type OrderAnswer,
    orderFlightMs,
    type UpstreamState,
} from "@radishreel/fleet";
import type { Service } from "@radishreel/routing";
import { processTimers, type ScheduledRun, type Timers } from "../clock.js";
import type { DecisionLog } from "../decisions.js";
import type { PeerMessage } from "../links/messages.js";
import type { EngineOrders } from "../ports.js";
import type { AdmissionMessage } from "../requests/admissions.js";

/**
 * How often load and adapters of owned engines are told while they change, in milliseconds. Whether an engine takes orders
 * and can be reached is told at once.
 */
const newsIntervalMs = 100;

/**
 * How much longer the pause between two such tellings is for each VM that is told, in milliseconds: what one VM hears then
 * grows with the engines only.
 */
const newsPausePerVmMs = 12;

/** How often an engine is looked at that may not be given orders now, in milliseconds. */
const idleCheckMs = 200;

/** When a request that an engine cannot take may find it usable again, in milliseconds: a new owner needs some 2 s. */
const unusableMs = 1000;

/** The same for an engine that leaves, in milliseconds: never, so that any other engine is the better choice. */
const leavingMs = 10_000;

/** Options of {@link OwnedEngines}. */
export interface OwnedEnginesOptions {
    readonly vm: string;
    readonly view: FleetView;
    readonly orders: EngineOrders;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    /** Time that goes on while the VM is suspended, in milliseconds. @default readTime */
    readonly readBoot?: (() => number) | undefined;
    readonly findService: (name: string) => Service | undefined;
    /** Whether orders may be given to an engine now. */
    readonly mayOrder: (name: string) => boolean;
    /** Fencing token for the orders to an engine. */
    readonly readFence: (name: string) => number;
    /** Why orders to an engine may be given from now on: fields of its decision line. */
    readonly explainOrders?: (name: string) => object;
    /** @default timers of this process */
    readonly timers?: Timers;
    readonly sendNews: (news: EngineNews[]) => void;
    readonly sendAnswer: (vm: string, answer: AdmissionAnswer) => void;
    /** An answer of an engine says that it leaves. */
    readonly onLeaving?: ((engine: string) => void) | undefined;
    /** Other VMs that may be running, connected or not. */
    readonly countOthers: () => number;
}

interface OwnedEngine {
    readonly id: string;
    readonly name: string;
    readonly places: EnginePlaces;
    readonly admission: EngineAdmission;
    fence: number;
    revision: number;
    lastNews: string;
    isWorking: boolean;
    /** An order is on its way: sent or about to be, and not answered. */
    isOrdering: boolean;
    timer: ScheduledRun | undefined;
    canOrder: boolean;
    /** When this VM became its owner. */
    readonly claimedAt: number;
    /** Whether a request has been let in since then. */
    hasServed: boolean;
    /** Whether its last report said that it holds no base model. */
    wasEmpty: boolean;
}

/** News that are gathered while owned engines are updated. */
interface UntoldNews {
    readonly changed: Set<OwnedEngine>;
    readonly givenUp: EngineNews[];
}

/** The engines that this VM owns: it alone gives them orders, lets requests in, and tells all VMs what they hold. */
export class OwnedEngines {
    private readonly engines = new Map<string, OwnedEngine>();
    private readonly timers: Timers;
    private readonly readBoot: () => number;
    /** Runs while there are engines: most VMs of a large fleet own none. */
    private newsTimer: ScheduledRun | undefined;
    /** Time between two runs of it, in milliseconds. */
    private newsPauseMs = 0;
    /** Orders that may still come to their engines, and the names of these. They outlast the ownership. */
    private readonly underWay = new Map<Promise<void>, string>();
    private isStopped = false;
    /** What others are told at the end of an update; undefined outside of one. */
    private untold: UntoldNews | undefined;

    constructor(private readonly options: OwnedEnginesOptions) {
        this.timers = options.timers ?? processTimers;
        this.readBoot = options.readBoot ?? options.readTime;
    }

    get hasAny(): boolean {
        return this.engines.size > 0;
    }

    stop(): void {
        this.isStopped = true;
        this.runUpdate(() => {
            for (const id of [...this.engines.keys()]) {
                this.remove(id);
            }
        });
    }

    /** Looks again at which engines exist and which of them this VM owns. */
    update(isOwned: (name: string) => boolean): void {
        this.runUpdate(() => this.updateEngines(isOwned));
    }

    /** A deal changes many engines: all that it changes is told at once. */
    private runUpdate(update: () => void): void {
        const untold: UntoldNews = { changed: new Set(), givenUp: [] };
        this.untold = untold;
        update();
        this.untold = undefined;
        const kept = [...untold.changed].filter(owned => this.engines.get(owned.id) === owned);
        const news = [...untold.givenUp, ...this.listChanges(kept)];
        if (news.length > 0) {
            this.options.sendNews(news);
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

    /** Waits until no order to these engines may come to them any more: usually some 5 ms, and 0.34 s at most. */
    async waitOrders(isMeant: (name: string) => boolean): Promise<void> {
        await Promise.all([...this.underWay].filter(([, name]) => isMeant(name)).map(([end]) => end));
    }

    /** Takes word of a request from its VM. */
    receiveRequest(vm: string, message: AdmissionMessage): void {
        const owned = this.engines.get(message.engine);
        if (owned === undefined) {
            if (message.type === "admit") {
                this.options.sendAnswer(vm, { kind: "notOwned", ticket: message.request.ticket });
            }
            return;
        }
        const now = this.options.readTime();
        switch (message.type) {
            case "admit":
                this.options.sendAnswer(vm, this.ask(owned, vm, message.request, now));
                break;
            case "begun":
                owned.admission.begin(vm, message.ticket);
                return;
            case "ended":
                owned.admission.end(vm, message.ticket, now);
                break;
            case "runs":
                if (!owned.admission.setRuns(vm, message.requests, now)) {
                    // Each VM tells its runs when an engine has a new owner; mostly there are none.
                    return;
                }
                break;
        }
        this.advance(owned);
    }

    /** Takes word of an adapter that will be, or was, asked for. */
    receiveWant(message: Extract<PeerMessage, { type: "prepare" | "missing"; }>): void {
        if (message.type === "prepare") {
            this.prepare(message.engine, message.want);
        }
        else {
            this.recordMissing(message.engine, message.key);
        }
    }

    /** Loads an adapter on an engine for requests to come. */
    prepare(engine: string, want: AdapterWant): void {
        const owned = this.engines.get(engine);
        if (owned !== undefined) {
            owned.places.addWant(want, this.options.readTime());
            this.advance(owned);
        }
    }

    recordMissing(engine: string, key: string): void {
        const owned = this.engines.get(engine);
        if (owned !== undefined) {
            owned.places.recordMissing(key, this.options.readTime());
            this.advance(owned);
        }
    }

    /** A newer version of an adapter exists: engines that hold an older one load it. */
    updateVersion(key: string, version: number): void {
        for (const owned of this.engines.values()) {
            if (key in owned.places.listHeld()) {
                owned.places.addWant({ key, version, runMs: 0, onTimeMs: 0 }, this.options.readTime());
                this.advance(owned);
            }
        }
    }

    /** Tells the whole state again, for a VM that has just connected. */
    listNews(): EngineNews[] {
        return [...this.engines.values()].map(owned => this.createNews(owned));
    }

    private ask(
        owned: OwnedEngine,
        vm: string,
        request: Extract<AdmissionMessage, { type: "admit"; }>["request"],
        now: number,
    ): AdmissionAnswer {
        if (!this.options.view.isUsable(owned.id)) {
            return { kind: "declined", ticket: request.ticket, expectedMs: leavingMs };
        }
        if (!owned.places.isReachable) {
            return { kind: "declined", ticket: request.ticket, expectedMs: unusableMs };
        }
        const answer = owned.admission.ask(vm, request, now);
        this.recordServed(owned, [answer], now);
        return answer;
    }

    /** Tells when an engine has let its first request in. */
    private recordServed(owned: OwnedEngine, answers: readonly AdmissionAnswer[], now: number): void {
        if (!owned.hasServed && answers.some(({ kind }) => kind === "admitted")) {
            owned.hasServed = true;
            const sinceClaimedMs = Math.round(now - owned.claimedAt);
            this.options.log.recordImportant("engineFirstRequest", { engine: owned.id, sinceClaimedMs });
        }
    }

    /** Tells when an engine that held no base model has reported one. */
    private recordModels(owned: OwnedEngine, now: number): void {
        const { isEmpty } = owned.places;
        if (isEmpty !== owned.wasEmpty) {
            owned.wasEmpty = isEmpty;
            const sinceClaimedMs = Math.round(now - owned.claimedAt);
            this.options.log.recordImportant(isEmpty ? "engineEmpty" : "engineHasModel", {
                engine: owned.id,
                sinceClaimedMs,
            });
        }
    }

    private add(state: UpstreamState): void {
        const { id, name, models, sequence } = state.upstream;
        const places = new EnginePlaces({
            limits: this.options.findService(state.upstream.service)!.engine!,
            models,
            held: state.news?.held ?? {},
            warm: state.warm.list(),
            sequence,
            now: this.options.readTime(),
            findNewest: key => this.options.view.versions.findNewest(key)?.version,
        });
        const owned: OwnedEngine = {
            id,
            name,
            places,
            admission: new EngineAdmission({
                engine: id,
                places,
                mayUse: (key, held, oldest) => this.mayUse(key, held, oldest),
            }),
            fence: this.options.readFence(name),
            revision: 0,
            lastNews: "",
            isWorking: false,
            isOrdering: false,
            timer: undefined,
            canOrder: false,
            claimedAt: this.options.readTime(),
            hasServed: false,
            wasEmpty: false,
        };
        this.engines.set(id, owned);
        this.updateNewsTimer();
        this.options.log.recordImportant("engineClaimed", { engine: id, fence: owned.fence });
        this.advance(owned);
        this.sendChanges([owned]);
    }

    /** Whether a held version of an adapter may answer, by what the request asks for and what this VM knows. */
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
        if (this.engines.size === 0) {
            this.newsTimer?.cancel();
            this.newsTimer = undefined;
            this.newsPauseMs = 0;
        }
        const { fence, isOrdering } = owned;
        this.options.log.recordImportant("engineGivenUp", { engine: id, fence, isOrdering });
        owned.canOrder = false;
        this.sendAnswers(owned.admission.refuseAll(unusableMs));
        owned.revision += 1;
        const news = { ...this.createNews(owned), isOwned: false, canOrder: false };
        if (this.untold === undefined) {
            this.options.sendNews([news]);
        }
        else {
            this.untold.givenUp.push(news);
        }
    }

    private sendAnswers(answers: readonly AddressedAnswer[]): void {
        for (const { vm, answer } of answers) {
            this.options.sendAnswer(vm, answer);
        }
    }

    /** Lets in what can be let in, and takes the next step for the engine, unless one is under way. */
    private advance(owned: OwnedEngine): void {
        if (this.isStopped || this.engines.get(owned.id) !== owned) {
            return;
        }
        const now = this.options.readTime();
        const isUsable = this.options.view.isUsable(owned.id);
        if (!isUsable) {
            // Loads end seconds later: what waits for one must not be sent to an engine that leaves.
            this.sendAnswers(owned.admission.refuseAll(leavingMs));
        }
        const answers = owned.admission.advance(now);
        this.recordServed(owned, answers.map(({ answer }) => answer), now);
        this.sendAnswers(answers);
        if (owned.isWorking) {
            return;
        }
        owned.timer?.cancel();
        const state = this.options.view.findUpstream(owned.id);
        this.updateCanOrder(owned);
        // A report may be asked for before orders may be given: what the engine holds stays in use meanwhile.
        if (state === undefined || !isUsable || (!owned.canOrder && !owned.places.needsReport)) {
            this.scheduleAdvance(owned, idleCheckMs);
            return;
        }
        const step = owned.places.decide(now, key => owned.admission.countUses(key));
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
                ...why,
            });
            this.sendChanges([owned]);
        }
    }

    private scheduleAdvance(owned: OwnedEngine, waitMs: number): void {
        owned.timer = this.timers.scheduleOnce(() => this.advance(owned), waitMs);
    }

    private async runReport(owned: OwnedEngine, state: UpstreamState): Promise<void> {
        owned.isWorking = true;
        const askedAt = this.options.readTime();
        const wasReachable = owned.places.isReachable;
        const report = await this.options.orders.readReport(
            state.upstream,
            () => this.options.onLeaving?.(owned.id),
        );
        const now = this.options.readTime();
        if (report.isErr()) {
            owned.places.recordReportFailure(report.error === "unknown", now);
            this.options.log.record("engineReport", { engine: owned.id, failure: report.error });
        }
        else {
            const { sequence, coming, models } = report.value;
            owned.places.applyReport(report.value, askedAt, now);
            this.recordModels(owned, now);
            this.options.log.record("engineReport", { engine: owned.id, sequence, coming, held: models });
        }
        this.finishStep(owned, wasReachable || report.isOk());
    }

    private async runOrder(owned: OwnedEngine, state: UpstreamState, order: EngineOrder): Promise<void> {
        owned.isWorking = true;
        owned.isOrdering = true;
        owned.fence = Math.max(owned.fence, this.options.readFence(owned.name));
        const sentAt = this.options.readTime();
        const wasReachable = owned.places.isReachable;
        const sending = this.options.orders.send(state.upstream, order, {
            holder: this.options.vm,
            fence: owned.fence,
            checkBeforeSend: () => this.options.mayOrder(owned.name),
        }, () => this.options.onLeaving?.(owned.id));
        this.recordUnderWay(owned.name, sending);
        const answer = await sending;
        owned.isOrdering = false;
        const now = this.options.readTime();
        owned.places.applyAnswer(order, answer, now);
        this.options.log.record("order", {
            engine: owned.id,
            action: order.action,
            adapter: order.adapter,
            version: order.version,
            sequence: order.expectedSequence,
            fence: owned.fence,
            answer,
            places: owned.places.countPlaces(now, key => owned.admission.countUses(key)),
            waiting: owned.admission.waitingCount,
            ms: Math.round(now - sentAt),
        });
        this.finishStep(owned, wasReachable);
    }

    private recordUnderWay(name: string, sending: Promise<OrderAnswer>): void {
        const end = this.waitArrival(sending).finally(() => this.underWay.delete(end));
        this.underWay.set(end, name);
    }

    /**
     * Waits until an order has come to its engine or never will. One without an answer may come after it was given up; when it
     * was written is not known, since its connection was opened first.
     */
    private async waitArrival(sending: Promise<OrderAnswer>): Promise<void> {
        if (await sending === "unknown") {
            await new Promise<void>(resolve => this.timers.scheduleOnce(resolve, orderFlightMs));
        }
    }

    /** @param wasReachable Whether the engine could be reached before the step, or has been now. */
    private finishStep(owned: OwnedEngine, wasReachable: boolean): void {
        owned.isWorking = false;
        if (wasReachable && !owned.places.isReachable) {
            this.sendAnswers(owned.admission.refuseAll(unusableMs));
            this.sendChanges([owned]);
        }
        this.advance(owned);
    }

    private createNews(owned: OwnedEngine): EngineNews {
        const { places, admission } = owned;
        return {
            engine: owned.id,
            fence: owned.fence,
            revision: owned.revision,
            isOwned: true,
            canOrder: owned.canOrder && places.isReachable,
            isReachable: places.isReachable,
            held: places.listHeld(),
            coming: places.listComing(),
            waitMs: Math.round(admission.readNextTurnMs(this.options.readTime())),
            coldLoadMs: Math.round(places.readLoadMs(false)),
            warmLoadMs: Math.round(places.readLoadMs(true)),
            load: { ...admission.load },
        };
    }

    private sendDueChanges(): void {
        this.updateNewsTimer();
        this.sendChanges([...this.engines.values()]);
    }

    /** Lets the timer run as often as the VMs that are told allow: each run of it wakes the process. */
    private updateNewsTimer(): void {
        const pauseMs = Math.max(newsIntervalMs, this.options.countOthers() * newsPausePerVmMs);
        if (pauseMs !== this.newsPauseMs) {
            this.newsPauseMs = pauseMs;
            this.newsTimer?.cancel();
            this.newsTimer = this.timers.scheduleEvery(() => this.sendDueChanges(), pauseMs);
        }
    }

    /** Tells all VMs what has changed since the last time. */
    private sendChanges(engines: readonly OwnedEngine[]): void {
        if (this.untold !== undefined) {
            engines.forEach(owned => this.untold?.changed.add(owned));
            return;
        }
        const changed = this.listChanges(engines);
        if (changed.length > 0) {
            this.options.sendNews(changed);
        }
    }

    /** What has changed since the last time; it counts as told. */
    private listChanges(engines: readonly OwnedEngine[]): EngineNews[] {
        const changed: EngineNews[] = [];
        for (const owned of engines) {
            const news = this.createNews(owned);
            const text = JSON.stringify({ ...news, revision: 0 });
            if (text !== owned.lastNews) {
                owned.lastNews = text;
                owned.revision += 1;
                changed.push({ ...news, revision: owned.revision });
            }
        }
        return changed;
    }
}
