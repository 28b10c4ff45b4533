import TinyQueue from "tinyqueue";
import type { TraceFault, TraceRequest } from "./trace.js";

/** Parameters of the simulated engines and weight store. Times are in milliseconds. */
export interface WorldOptions {
    readonly engines: number;
    readonly slots: number;
    readonly batchRoom: number;
    /** One step of a batch of n requests takes `stepMs + n * stepPerRequestMs`. */
    readonly stepMs: number;
    readonly stepPerRequestMs: number;
    /** Duration of one load at full speed; concurrent loads share that speed. */
    readonly loadMs: number;
    /** Share of loads that fail, at their end. @default 0 */
    readonly failureShare?: number;
    /** Time from the decision to evict a model until every gateway has released it. @default 5 */
    readonly revokeMs?: number;
    /** Duration of the warm-up, during which nothing is measured. */
    readonly warmUpMs: number;
}

/** Operations available to a policy. Every call is checked: a policy that violates an invariant aborts the run. */
export interface World {
    readonly now: number;
    readonly options: WorldOptions;
    dispatch(requestId: string, engine: number): void;
    refuse(requestId: string, reason: string): void;
    load(engine: number, model: string): void;
    /** Evicts a model: no further request may use it, and it is removed when no request uses it any more. */
    evict(engine: number, model: string): void;
    isLoaded(engine: number, model: string): boolean;
    /** Lists the models in the engine's adapter slots, in any state. */
    listModels(engine: number): string[];
    countRunning(engine: number, model?: string): number;
    scheduleWake(at: number): void;
}

/** Policy for placement and dispatch. */
export interface Policy {
    readonly name: string;
    receiveArrival(request: TraceRequest, world: World): void;
    receiveEnd(request: TraceRequest, engine: number, world: World): void;
    receiveLoadEnd(engine: number, model: string, isLoaded: boolean, world: World): void;
    receiveEvicted(engine: number, model: string, world: World): void;
    receiveRestart(engine: number, lost: readonly string[], world: World): void;
    receiveWake(world: World): void;
}

/** Result of one request. */
export interface RequestResult {
    readonly request: TraceRequest;
    readonly refusedFor: string | undefined;
    readonly stallMs: number;
    readonly queueMs: number;
    readonly firstTokenMs: number;
}

/** Measurements of a run after its warm-up. */
export interface RunResult {
    readonly results: RequestResult[];
    readonly loads: number;
    /** Mean share of the batch room in use, over all steps. */
    readonly fullness: number;
    readonly steps: number;
    /** Mean wall-clock time of a policy decision, in microseconds. */
    readonly decisionMicros: number;
    readonly events: number;
}

interface RunningRequest {
    readonly request: TraceRequest;
    tokensLeft: number;
    isStarted: boolean;
}

type SlotState = { state: "loading" | "loaded" | "evicting"; loadedAt: number; };

interface EngineState {
    readonly slots: Map<string, SlotState>;
    readonly running: Map<string, RunningRequest>;
    isStepping: boolean;
    generation: number;
}

interface Event {
    readonly at: number;
    readonly order: number;
    readonly run: () => void;
}

/** Runs a trace in virtual time. */
export class Simulation implements World {
    now = 0;
    private readonly events = new TinyQueue<Event>([], (left, right) => left.at - right.at || left.order - right.order);
    private readonly engines: EngineState[];
    private readonly waiting = new Map<string, TraceRequest>();
    private readonly results: RequestResult[] = [];
    private readonly loads: { engine: number; model: string; remainingMs: number; generation: number; }[] = [];
    private loadsAdvancedAt = 0;
    private loadGeneration = 0;
    private nextOrder = 0;
    private loadCount = 0;
    private fullnessSum = 0;
    private steps = 0;
    private decisionMs = 0;
    private decisions = 0;
    private accumulatedFailures = 0;

    constructor(readonly options: WorldOptions, private readonly policy: Policy) {
        this.engines = Array.from({ length: options.engines }, () => ({
            slots: new Map(),
            running: new Map(),
            isStepping: false,
            generation: 0,
        }));
    }

    /** Runs until the trace has ended and every request has finished. */
    run(trace: readonly TraceRequest[], faults: readonly TraceFault[] = []): RunResult {
        for (const request of trace) {
            this.schedule(request.arrivedAt, () => this.arrive(request));
            this.schedule(request.deadlineAt, () => this.expire(request));
        }
        for (const fault of faults) {
            this.schedule(fault.at, () => this.restart(fault.engine));
        }
        for (let event = this.events.pop(); event !== undefined; event = this.events.pop()) {
            this.now = event.at;
            event.run();
        }
        const unfinished = this.waiting.size + this.engines.reduce((total, engine) => total + engine.running.size, 0);
        check(unfinished === 0, `${unfinished} requests were lost`);
        return {
            results: this.results,
            loads: this.loadCount,
            fullness: this.steps === 0 ? 0 : this.fullnessSum / this.steps,
            steps: this.steps,
            decisionMicros: this.decisions === 0 ? 0 : this.decisionMs * 1000 / this.decisions,
            events: this.decisions,
        };
    }

    // Operations of policies.

    dispatch(requestId: string, index: number): void {
        const request = this.waiting.get(requestId);
        const engine = this.engines[index]!;
        check(request !== undefined, `${requestId} is dispatched without waiting`);
        const slot = engine.slots.get(request.model);
        check(slot?.state === "loaded", `${requestId} is dispatched to an engine that does not hold ${request.model}`);
        this.waiting.delete(requestId);
        engine.running.set(requestId, { request, tokensLeft: request.tokens, isStarted: false });
        const stallMs = Math.max(0, slot.loadedAt - request.arrivedAt);
        this.started.set(requestId, { stallMs, queueMs: this.now - request.arrivedAt });
        this.startStep(engine);
    }

    refuse(requestId: string, reason: string): void {
        const request = this.waiting.get(requestId);
        check(request !== undefined, `${requestId} is refused without waiting`);
        this.waiting.delete(requestId);
        const waitedMs = this.now - request.arrivedAt;
        this.record({ request, refusedFor: reason, stallMs: waitedMs, queueMs: waitedMs, firstTokenMs: Infinity });
    }

    load(index: number, model: string): void {
        const engine = this.engines[index]!;
        check(!engine.slots.has(model), `${model} is loaded twice`);
        check(engine.slots.size < this.options.slots, `engine ${index} has no free slot for ${model}`);
        engine.slots.set(model, { state: "loading", loadedAt: Infinity });
        this.advanceLoads();
        this.loads.push({ engine: index, model, remainingMs: this.options.loadMs, generation: engine.generation });
        this.loadCount += this.now >= this.options.warmUpMs ? 1 : 0;
        this.scheduleLoads();
    }

    evict(index: number, model: string): void {
        const slot = this.engines[index]!.slots.get(model);
        check(slot?.state === "loaded", `${model} is evicted without being loaded`);
        slot.state = "evicting";
        const { generation } = this.engines[index]!;
        this.schedule(this.now + (this.options.revokeMs ?? 5), () => this.finishEviction(index, model, generation));
    }

    isLoaded(index: number, model: string): boolean {
        return this.engines[index]!.slots.get(model)?.state === "loaded";
    }

    listModels(index: number): string[] {
        return [...this.engines[index]!.slots.keys()];
    }

    countRunning(index: number, model?: string): number {
        const { running } = this.engines[index]!;
        if (model === undefined) {
            return running.size;
        }
        let count = 0;
        for (const entry of running.values()) {
            count += entry.request.model === model ? 1 : 0;
        }
        return count;
    }

    scheduleWake(at: number): void {
        this.schedule(at, () => this.measureDecision(() => this.policy.receiveWake(this)));
    }

    // Simulated events.

    private readonly started = new Map<string, { stallMs: number; queueMs: number; }>();

    private arrive(request: TraceRequest): void {
        this.waiting.set(request.id, request);
        this.measureDecision(() => this.policy.receiveArrival(request, this));
    }

    private expire(request: TraceRequest): void {
        if (this.waiting.has(request.id)) {
            this.measureDecision(() => this.policy.receiveWake(this));
        }
        if (this.waiting.has(request.id)) {
            this.refuse(request.id, "deadlinePassed");
        }
    }

    private restart(index: number): void {
        const engine = this.engines[index]!;
        const lost = [...engine.running.values()].map(entry => entry.request);
        engine.generation++;
        engine.slots.clear();
        engine.running.clear();
        engine.isStepping = false;
        this.advanceLoads();
        for (let position = this.loads.length - 1; position >= 0; position--) {
            if (this.loads[position]!.engine === index) {
                this.loads.splice(position, 1);
            }
        }
        this.scheduleLoads();
        for (const request of lost) {
            this.record({ request, refusedFor: "mayHaveRun", stallMs: 0, queueMs: 0, firstTokenMs: Infinity });
        }
        this.measureDecision(() => this.policy.receiveRestart(index, lost.map(request => request.id), this));
    }

    /** Starts the next step. Its batch holds paying requests first, and within a class those dispatched first. */
    private startStep(engine: EngineState): void {
        if (engine.isStepping || engine.running.size === 0) {
            return;
        }
        engine.isStepping = true;
        const all = [...engine.running.values()];
        const paying = all.filter(entry => entry.request.accountClass === "paying");
        const trial = all.filter(entry => entry.request.accountClass === "trial");
        const batch = [...paying, ...trial].slice(0, this.options.batchRoom);
        if (this.now >= this.options.warmUpMs) {
            this.fullnessSum += batch.length / this.options.batchRoom;
            this.steps++;
        }
        const { generation } = engine;
        const stepMs = this.options.stepMs + batch.length * this.options.stepPerRequestMs;
        this.schedule(this.now + stepMs, () => {
            if (generation === engine.generation) {
                this.finishStep(engine, batch);
            }
        });
    }

    private finishStep(engine: EngineState, batch: readonly RunningRequest[]): void {
        engine.isStepping = false;
        const ended: TraceRequest[] = [];
        for (const entry of batch) {
            if (!entry.isStarted) {
                entry.isStarted = true;
                const { stallMs, queueMs } = this.started.get(entry.request.id)!;
                const firstTokenMs = this.now - entry.request.arrivedAt;
                this.started.delete(entry.request.id);
                this.record({ request: entry.request, refusedFor: undefined, stallMs, queueMs, firstTokenMs });
            }
            if (--entry.tokensLeft === 0) {
                engine.running.delete(entry.request.id);
                ended.push(entry.request);
            }
        }
        const index = this.engines.indexOf(engine);
        for (const request of ended) {
            this.measureDecision(() => this.policy.receiveEnd(request, index, this));
        }
        this.startStep(engine);
    }

    private finishEviction(index: number, model: string, generation: number): void {
        const engine = this.engines[index]!;
        if (engine.generation !== generation) {
            return;
        }
        if (this.countRunning(index, model) > 0) {
            this.schedule(this.now + (this.options.revokeMs ?? 5), () => this.finishEviction(index, model, generation));
            return;
        }
        engine.slots.delete(model);
        this.measureDecision(() => this.policy.receiveEvicted(index, model, this));
    }

    private advanceLoads(): void {
        const progressMs = this.loads.length === 0 ? 0 : (this.now - this.loadsAdvancedAt) / this.loads.length;
        this.loadsAdvancedAt = this.now;
        this.loads.forEach(load => load.remainingMs -= progressMs);
    }

    private scheduleLoads(): void {
        const generation = ++this.loadGeneration;
        const shortest = Math.min(...this.loads.map(load => load.remainingMs));
        if (shortest !== Infinity) {
            this.schedule(this.now + Math.max(0, shortest) * this.loads.length, () => this.finishLoads(generation));
        }
    }

    private finishLoads(generation: number): void {
        if (generation !== this.loadGeneration) {
            return;
        }
        this.advanceLoads();
        const done = this.loads.filter(load => load.remainingMs < 1e-6);
        for (const load of done) {
            this.loads.splice(this.loads.indexOf(load), 1);
            this.accumulatedFailures += this.options.failureShare ?? 0;
            const isLoaded = this.accumulatedFailures < 1;
            this.accumulatedFailures -= isLoaded ? 0 : 1;
            const { slots } = this.engines[load.engine]!;
            if (isLoaded) {
                slots.set(load.model, { state: "loaded", loadedAt: this.now });
            }
            else {
                slots.delete(load.model);
            }
            this.measureDecision(() => this.policy.receiveLoadEnd(load.engine, load.model, isLoaded, this));
        }
        this.scheduleLoads();
    }

    private record(result: RequestResult): void {
        if (result.request.arrivedAt >= this.options.warmUpMs) {
            this.results.push(result);
        }
    }

    private measureDecision(decide: () => void): void {
        const start = performance.now();
        decide();
        this.decisionMs += performance.now() - start;
        this.decisions++;
    }

    private schedule(at: number, run: () => void): void {
        this.events.push({ at, order: this.nextOrder++, run });
    }
}

function check(holds: boolean, message: string): asserts holds {
    if (!holds) {
        throw new Error(`invariant violated: ${message}`);
    }
}
