import { createRefused, type Reason } from "@radishreel/verdict";
import TinyQueue from "tinyqueue";
import { RetryBudget } from "./budget.js";
import { EngineView } from "./engine.js";
import { VirtualClock } from "./fair.js";
import { PrefixIndex } from "./prefixes.js";
import { ModelQueue, type QueueEntry } from "./queue.js";
import {
    type AccountClass,
    type AttemptOutcome,
    type DispatchCommand,
    type DispatcherOptions,
    type DispatchEvent,
    type DispatchRequest,
    type LeasedEngine,
    type LoadOutlook,
    type ModelDemand,
    type ResolvedDispatcherOptions,
    resolveDispatcherOptions,
} from "./types.js";

/** A request that was dispatched to an engine. */
interface Attempt {
    readonly entry: QueueEntry;
    readonly engineId: string;
    readonly startedAt: number;
}

const classes: readonly AccountClass[] = ["paying", "trial"];

/** Cost reduction for an engine that has the prompt's prefix cached; costs from fullness are between 0 and 1. */
const prefixBonus = 0.5;

/** Time during which an engine is not chosen again for a request that it did not run, in milliseconds. */
const exclusionMs = 400;

/** Minimum Retry-After, in seconds. */
const minRetryAfterSeconds = 1;

/**
 * Decides when and on which engine one gateway's requests run. Paying requests never wait behind trial requests,
 * client accounts of a class share capacity fairly, and a request that cannot meet its deadline is refused immediately.
 * See docs/design/dispatch.md.
 */
export class Dispatcher {
    /** Shared with every EngineView, so that a change applies to all of them immediately. */
    private readonly options: ResolvedDispatcherOptions;
    private readonly queues = new Map<string, ModelQueue>();
    private readonly engines = new Map<string, EngineView>();
    private readonly entries = new Map<string, QueueEntry>();
    private readonly attempts = new Map<string, Attempt>();
    private readonly deadlines = new TinyQueue<QueueEntry>(
        [],
        (left, right) => left.request.deadlineAt - right.request.deadlineAt,
    );
    private readonly clocks: Record<AccountClass, VirtualClock> = {
        paying: new VirtualClock(),
        trial: new VirtualClock(),
    };
    private readonly queued: Record<AccountClass, number> = { paying: 0, trial: 0 };
    private readonly changedModels = new Set<string>();
    private readonly prefixes = new PrefixIndex();
    private readonly budget: RetryBudget;
    private outlook: LoadOutlook = { payingWaitMs: 0, trialWaitMs: 0, loadMs: 0 };
    private commands: DispatchCommand[] = [];

    constructor(options: DispatcherOptions = {}) {
        this.options = resolveDispatcherOptions(options);
        this.budget = new RetryBudget(this.options.retryShare);
    }

    /** Applies new offerings; omitted options return to their defaults. */
    setOptions(options: DispatcherOptions): void {
        Object.assign(this.options, resolveDispatcherOptions(options));
    }

    /** Handles one event and returns the resulting commands. */
    decide(event: DispatchEvent, now: number): DispatchCommand[] {
        this.commands = [];
        // Expire requests before handling the event, so that no request is dispatched after its deadline.
        this.expire(now);
        this.receive(event, now);
        return this.commands;
    }

    /**
     * Returns the demand that changed since the last call, for the placer. Each arrival is reported once.
     * @param isUrgent Omits models whose number of waiting requests is the same as in the last report.
     */
    readDemand(now: number, isUrgent = false): ModelDemand[] {
        const changes: ModelDemand[] = [];
        for (const model of this.changedModels) {
            const queue = this.queues.get(model);
            if (isUrgent && queue?.hasWaitingChanged === false) {
                continue;
            }
            this.changedModels.delete(model);
            if (queue !== undefined) {
                changes.push(queue.readDemand(now));
                this.removeIfUnused(queue);
            }
        }
        return changes;
    }

    /** Returns the demand of all models with waiting requests, for a placer that has just taken over. */
    readWholeDemand(now: number): ModelDemand[] {
        for (const queue of this.queues.values()) {
            if (!queue.isEmpty) {
                this.changedModels.add(queue.model);
            }
        }
        return this.readDemand(now);
    }

    /** Returns the latest time at which `decide` must be called with a tick; undefined if no request waits. */
    findNextWake(now: number): number | undefined {
        let next = this.findHeadDeadline()?.checkAt;
        if (next === undefined) {
            return undefined;
        }
        for (const engine of this.engines.values()) {
            next = Math.min(next, engine.findPauseEnd(now) ?? Infinity);
        }
        return next;
    }

    /** Number of waiting and running requests. */
    get openRequests(): number {
        return this.entries.size + this.attempts.size;
    }

    private receive(event: DispatchEvent, now: number): void {
        switch (event.type) {
            case "arrive":
                this.receiveRequest(event.request, now);
                return;
            case "cancel":
                this.removeWaiting(event.requestId);
                return;
            case "ended":
                this.receiveEnd(event.requestId, event.outcome, event.reason, now);
                return;
            case "engine":
                this.receiveEngine(event.engine, now);
                return;
            case "engineGone":
                this.removeEngine(event.engineId);
                return;
            case "outlook":
                this.outlook = event.outlook;
                return;
            case "prefix":
                this.receivePrefix(event.engineId, event.prefix, event.isCached);
                return;
            case "tick":
                for (const engine of this.engines.values()) {
                    this.serveEngine(engine, now);
                }
        }
    }

    // Admission.

    private receiveRequest(request: DispatchRequest, now: number): void {
        const queue = this.findQueue(request.model);
        queue.recordArrival(request.accountClass);
        this.changedModels.add(request.model);
        const refusal = this.findRefusal(request, queue, now);
        if (refusal !== undefined) {
            this.commands.push(refusal);
            return;
        }
        const entry: QueueEntry = {
            request,
            tag: this.clocks[request.accountClass].createTag(request),
            excluded: new Map(),
            stalledAt: queue.engines.size === 0 ? now : undefined,
            checkAt: this.readCheckAt(request, queue),
            isWaiting: true,
        };
        this.enqueue(entry, queue);
        this.serveModel(queue, now);
    }

    private findRefusal(request: DispatchRequest, queue: ModelQueue, now: number): DispatchCommand | undefined {
        if (this.queued[request.accountClass] >= this.options.maxQueued) {
            const retryAfter = this.formatRetryAfter(this.readWaitMs(request, queue));
            return {
                type: "refuse",
                request,
                verdict: createRefused("queueFull", "too many requests wait here", retryAfter),
            };
        }
        const waitMs = this.readWaitMs(request, queue);
        if (now + waitMs < request.deadlineAt) {
            return undefined;
        }
        const detail = `the expected wait of ${Math.round(waitMs)} ms is longer than the deadline allows`;
        return {
            type: "refuse",
            request,
            verdict: createRefused("deadlineUnreachable", detail, this.formatRetryAfter(waitMs)),
        };
    }

    /** Returns the expected wait of a request that arrives now, in milliseconds. */
    private readWaitMs(request: DispatchRequest, queue: ModelQueue): number {
        if (queue.engines.size === 0) {
            // Other requests already wait for this load, so it starts before a load that is requested now.
            const isLoadRequested = queue.countWaiting("paying") + queue.countWaiting("trial") > 0;
            const fullWaitMs = request.accountClass === "paying"
                ? this.outlook.payingWaitMs
                : this.outlook.trialWaitMs;
            return isLoadRequested ? fullWaitMs / 2 : fullWaitMs;
        }
        return this.readQueueWaitMs(queue, request.accountClass);
    }

    /** Returns the expected wait for batch room behind the requests that wait for the model, in milliseconds. */
    private readQueueWaitMs(queue: ModelQueue, accountClass: AccountClass): number {
        const ahead = queue.countWaiting("paying") + (accountClass === "trial" ? queue.countWaiting("trial") : 0);
        let room = 0;
        let durationMs = 0;
        for (const engineId of queue.engines) {
            const engine = this.engines.get(engineId);
            room += engine?.readRoom(0) ?? 0;
            durationMs = Math.max(durationMs, engine?.meanDurationMs ?? 0);
        }
        return room === 0 ? 0 : ahead / room * durationMs;
    }

    private formatRetryAfter(waitMs: number): number {
        return Math.max(minRetryAfterSeconds, Math.ceil(waitMs / 1000));
    }

    // Queues.

    private enqueue(entry: QueueEntry, queue: ModelQueue): void {
        queue.push(entry);
        this.entries.set(entry.request.id, entry);
        this.queued[entry.request.accountClass]++;
        this.deadlines.push(entry);
        this.changedModels.add(queue.model);
    }

    private dequeue(entry: QueueEntry): void {
        const queue = this.findQueue(entry.request.model);
        queue.remove(entry);
        this.entries.delete(entry.request.id);
        this.queued[entry.request.accountClass]--;
        this.changedModels.add(queue.model);
    }

    private removeWaiting(requestId: string): void {
        const entry = this.entries.get(requestId);
        if (entry !== undefined) {
            this.dequeue(entry);
        }
    }

    private findQueue(model: string): ModelQueue {
        const queue = this.queues.get(model) ?? new ModelQueue(model);
        this.queues.set(model, queue);
        return queue;
    }

    private removeIfUnused(queue: ModelQueue): void {
        if (queue.isEmpty && queue.engines.size === 0) {
            this.queues.delete(queue.model);
        }
    }

    private findHeadDeadline(): QueueEntry | undefined {
        while (this.deadlines.length > 0 && !this.deadlines.peek()!.isWaiting) {
            this.deadlines.pop();
        }
        return this.deadlines.peek();
    }

    private expire(now: number): void {
        for (
            let entry = this.findHeadDeadline();
            entry !== undefined && entry.checkAt <= now;
            entry = this.findHeadDeadline()
        ) {
            const { request } = entry;
            const queue = this.findQueue(request.model);
            const checkAt = this.readCheckAt(request, queue);
            if (checkAt > now) {
                this.deadlines.pop();
                entry.checkAt = checkAt;
                this.deadlines.push(entry);
                continue;
            }
            const waitMs = this.readWaitMs(request, queue);
            this.dequeue(entry);
            const verdict = createRefused(
                "deadlinePassed",
                "no engine was free in time",
                this.formatRetryAfter(waitMs),
            );
            this.commands.push({ type: "refuse", request, verdict });
        }
    }

    /**
     * Returns when to check whether the request has expired. If its model is neither leased nor loading, this is the
     * latest time at which a load could start and still finish before the deadline.
     */
    private readCheckAt(request: DispatchRequest, queue: ModelQueue): number {
        const isLeasedOrLoading = queue.engines.size > 0 || this.outlook.loading === request.model;
        return isLeasedOrLoading ? request.deadlineAt : request.deadlineAt - this.outlook.loadMs;
    }

    // Engines.

    private receiveEngine(lease: LeasedEngine, now: number): void {
        const engine = this.engines.get(lease.id) ?? new EngineView({ ...lease, models: [] }, this.options);
        this.engines.set(lease.id, engine);
        const before = [...engine.models];
        const added = engine.setLease(lease);
        for (const model of before) {
            if (!engine.models.has(model)) {
                this.removeLease(engine.id, model);
            }
        }
        for (const model of added) {
            const queue = this.findQueue(model);
            if (queue.engines.size === 0) {
                queue.leasedAt = now;
            }
            queue.engines.add(lease.id);
        }
        this.serveEngine(engine, now);
    }

    private removeEngine(engineId: string): void {
        for (const model of this.engines.get(engineId)?.models ?? []) {
            this.removeLease(engineId, model);
        }
        this.engines.delete(engineId);
        this.prefixes.removeEngine(engineId);
    }

    private removeLease(engineId: string, model: string): void {
        const queue = this.queues.get(model);
        if (queue !== undefined) {
            queue.engines.delete(engineId);
            // The waiting requests may now need a load, so the placer must be notified.
            this.changedModels.add(model);
        }
    }

    private receivePrefix(engineId: string, prefix: string, isCached: boolean): void {
        if (isCached) {
            this.prefixes.recordCached(engineId, prefix);
        }
        else {
            this.prefixes.recordEvicted(engineId, prefix);
        }
    }

    // Dispatch.

    /** Dispatches the waiting requests of one model while an engine on which the model is leased has room. */
    private serveModel(queue: ModelQueue, now: number): void {
        for (const accountClass of classes) {
            for (
                let entry = queue.findHead(accountClass);
                entry !== undefined;
                entry = queue.findHead(accountClass)
            ) {
                const engine = this.chooseEngine(entry, queue, now);
                if (engine === undefined) {
                    break;
                }
                this.dispatch(entry, engine, now);
            }
        }
    }

    /** Fills an engine's room from all models leased on it, paying requests first, in the order of their start tags. */
    private serveEngine(engine: EngineView, now: number): void {
        for (const accountClass of classes) {
            while (engine.hasRoom(accountClass, now)) {
                const entry = this.findFirstWaiting(engine, accountClass, now);
                if (entry === undefined) {
                    break;
                }
                this.dispatch(entry, engine, now);
            }
        }
    }

    private findFirstWaiting(engine: EngineView, accountClass: AccountClass, now: number): QueueEntry | undefined {
        let first: QueueEntry | undefined;
        for (const model of engine.models) {
            const head = this.queues.get(model)?.findHead(accountClass);
            const isEligible = head !== undefined && !isExcluded(head, engine.id, now);
            if (isEligible && (first === undefined || head.tag < first.tag)) {
                first = head;
            }
        }
        return first;
    }

    private chooseEngine(entry: QueueEntry, queue: ModelQueue, now: number): EngineView | undefined {
        let best: EngineView | undefined;
        let bestCost = Infinity;
        for (const engineId of queue.engines) {
            const engine = this.engines.get(engineId);
            if (
                engine === undefined || isExcluded(entry, engineId, now)
                || !engine.hasRoom(entry.request.accountClass, now)
            ) {
                continue;
            }
            const cost = this.readCost(engine, entry.request);
            if (cost < bestCost) {
                best = engine;
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * Returns the cost of an engine for a request; lower is better. A high stall weight prefers the emptier batch, a
     * low one the fuller batch; a cached prefix lowers the cost.
     */
    private readCost(engine: EngineView, request: DispatchRequest): number {
        const { stallWeight } = this.options;
        const { fullness } = engine;
        const cost = stallWeight * fullness + (1 - stallWeight) * (1 - fullness);
        const isCached = request.prefix !== undefined && this.prefixes.isCached(engine.id, request.prefix);
        return isCached ? cost - prefixBonus : cost;
    }

    private dispatch(entry: QueueEntry, engine: EngineView, now: number): void {
        const { request, tag, stalledAt } = entry;
        const queue = this.findQueue(request.model);
        this.dequeue(entry);
        this.clocks[request.accountClass].advance(tag);
        this.attempts.set(request.id, { entry, engineId: engine.id, startedAt: now });
        engine.recordDispatch(request.accountClass);
        if (request.prefix !== undefined) {
            this.prefixes.recordCached(engine.id, request.prefix);
        }
        const stallMs = stalledAt === undefined ? 0 : Math.max(0, queue.leasedAt - stalledAt);
        this.commands.push({
            type: "dispatch",
            request,
            engineId: engine.id,
            stallMs,
            fullness: Math.min(1, engine.fullness),
        });
    }

    private receiveEnd(requestId: string, outcome: AttemptOutcome, reason: Reason | undefined, now: number): void {
        const attempt = this.attempts.get(requestId);
        if (attempt === undefined) {
            return;
        }
        this.attempts.delete(requestId);
        const engine = this.engines.get(attempt.engineId);
        engine?.recordEnd(attempt.entry.request.accountClass);
        this.recordAttempt(engine, attempt, outcome, reason, now);
        if (outcome === "notRun") {
            this.retry(attempt, reason ?? "connectFailed", now);
        }
        if (engine !== undefined) {
            this.serveEngine(engine, now);
        }
    }

    private recordAttempt(
        engine: EngineView | undefined,
        attempt: Attempt,
        outcome: AttemptOutcome,
        reason: Reason | undefined,
        now: number,
    ): void {
        if (outcome === "complete") {
            this.budget.recordSuccess();
            engine?.recordSuccess(now - attempt.startedAt);
            return;
        }
        // An expired lease or a model that was just evicted does not indicate a failure of the engine.
        const isUnrelatedToHealth = outcome === "cancelled" || reason === "leaseLapsed" || reason === "upstreamRefused";
        if (!isUnrelatedToHealth) {
            engine?.recordFailure(now);
        }
    }

    private retry(attempt: Attempt, reason: Reason, now: number): void {
        const { entry } = attempt;
        const { request } = entry;
        if (!this.budget.claim()) {
            const verdict = createRefused("retryBudgetSpent", `not run: ${reason}`, minRetryAfterSeconds);
            this.commands.push({ type: "refuse", request, verdict });
            return;
        }
        this.commands.push({ type: "retry", requestId: request.id, reason });
        entry.excluded.set(attempt.engineId, now + exclusionMs);
        const queue = this.findQueue(request.model);
        if ([...queue.engines].every(engineId => isExcluded(entry, engineId, now))) {
            this.removeRefusedLease(attempt.engineId, request.model, reason);
        }
        this.enqueue({ ...entry, isWaiting: true }, queue);
        this.serveModel(queue, now);
    }

    /** An engine that refuses a model as not loaded is not chosen for it again before its next grant. */
    private removeRefusedLease(engineId: string, model: string, reason: Reason): void {
        if (reason === "upstreamRefused" || reason === "leaseLapsed") {
            this.engines.get(engineId)?.models.delete(model);
            this.removeLease(engineId, model);
        }
    }
}

function isExcluded(entry: QueueEntry, engineId: string, now: number): boolean {
    return now < (entry.excluded.get(engineId) ?? -Infinity);
}
