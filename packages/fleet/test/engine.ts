import type { EngineLimits } from "@radishreel/routing";
import {
    type EngineNews,
    type EngineOrder,
    EnginePlaces,
    type EngineReport,
    formatAdapterKey,
    noLoad,
    type OrderAnswer,
    type Upstream,
} from "../src/index.js";

/** The base model that it holds. */
export const model = "base";

/** Limits of an engine with few places. */
export const limits: EngineLimits = {
    batchSlots: 64,
    kvTokens: 200_000,
    adapterPlaces: 4,
    weightsMb: 44_000,
    loadsPerSecond: 2,
    models: [],
};

/** Adapters that an engine keeps in host memory for each place. */
const memoryPerPlace = 6;

/** What becomes of an order on its way. */
export type Fate = "answered" | "answerLost" | "late";

interface LateOrder {
    readonly order: EngineOrder;
    readonly at: number;
}

/** An engine as its interface tells it: places, a sequence, loads that take time, unloads that wait for runs. */
export class ModelEngine {
    constructor(private readonly places = limits.adapterPlaces) {}

    now = 0;
    sequence = 0;
    readonly held = new Map<string, number>();
    readonly coming = new Map<string, number>();
    readonly going = new Set<string>();
    readonly runs = new Map<string, number>();
    /** Adapters in host memory, least recently loaded first: they load in a tenth of the time. */
    private readonly memory = new Set<string>();
    /** Versions that were asked for, of what is on its way. */
    private readonly versions = new Map<string, number>();
    readonly late: LateOrder[] = [];
    overLimit = 0;
    coldLoadMs = 250;
    warmLoadMs = 250;
    /** Requests under way with an adapter. */
    countRuns: (key: string) => number = key => this.runs.get(key) ?? 0;

    apply(order: EngineOrder): OrderAnswer {
        if (order.expectedSequence !== this.sequence) {
            return this.findHeld(order) ?? "conflict";
        }
        const known = this.findHeld(order);
        if (known !== undefined) {
            return known;
        }
        const key = formatAdapterKey(order.model, order.adapter!);
        if (order.action === "unload") {
            this.sequence += 1;
            if (this.countRuns(key) > 0) {
                this.going.add(key);
                return "accepted";
            }
            this.held.delete(key);
            return "holds";
        }
        this.sequence += 1;
        this.coming.set(key, this.now + (this.memory.has(key) ? this.warmLoadMs : this.coldLoadMs));
        this.recordLoad(key);
        this.versions.set(key, order.version ?? 1);
        if (new Set([...this.held.keys(), ...this.coming.keys()]).size > this.places) {
            this.overLimit += 1;
        }
        return "accepted";
    }

    private recordLoad(key: string): void {
        this.memory.delete(key);
        this.memory.add(key);
        for (const oldest of this.memory) {
            if (this.memory.size <= this.places * memoryPerPlace) {
                break;
            }
            this.memory.delete(oldest);
        }
    }

    advance(ms: number): void {
        this.now += ms;
        for (const [key, at] of this.coming) {
            if (at <= this.now) {
                this.coming.delete(key);
                this.held.set(key, this.versions.get(key) ?? 1);
            }
        }
        for (const key of this.going) {
            if (this.countRuns(key) === 0) {
                this.going.delete(key);
                this.held.delete(key);
            }
        }
        for (const entry of this.late.splice(0)) {
            if (entry.at > this.now) {
                this.late.push(entry);
            }
            else {
                this.apply(entry.order);
            }
        }
    }

    readReport(): EngineReport {
        const adapters = [...this.held].map(([key, version]) => ({ name: key.split("/")[1]!, version }));
        return {
            models: [{ name: model, version: 1, adapters }],
            coming: [...this.coming.keys()],
            sequence: this.sequence,
            isBusy: false,
        };
    }

    private findHeld(order: EngineOrder): OrderAnswer | undefined {
        const key = formatAdapterKey(order.model, order.adapter!);
        if (order.action === "load") {
            return this.held.has(key) ? "holds" : this.coming.has(key) ? "accepted" : undefined;
        }
        return this.going.has(key) ? "accepted" : this.held.has(key) ? undefined : "holds";
    }
}

/** A plan for an engine, by what the engine reports. */
export function createPlaces(engine: ModelEngine, places = limits.adapterPlaces): EnginePlaces {
    return new EnginePlaces({
        limits: { ...limits, adapterPlaces: places },
        models: engine.readReport().models,
        sequence: 0,
        now: 0,
    });
}

/** Carries out what the plan says until it waits. */
export function runPlan(engine: ModelEngine, places: EnginePlaces, readFate: () => Fate): void {
    for (let steps = 0; steps < 20; steps++) {
        const step = places.decide(engine.now, key => engine.countRuns(key));
        if (step.kind === "wait") {
            return;
        }
        if (step.kind === "report") {
            places.applyReport(engine.readReport(), engine.now, engine.now);
            continue;
        }
        const fate = readFate();
        if (fate === "late") {
            engine.late.push({ order: step.order, at: engine.now + 5000 });
            places.applyAnswer(step.order, "unknown", engine.now);
            continue;
        }
        const answer = engine.apply(step.order);
        places.applyAnswer(step.order, fate === "answered" ? answer : "unknown", engine.now);
    }
}

/** An engine's entry. */
export function createUpstream(id: string): Upstream {
    return {
        id,
        name: id,
        bornAt: 0,
        service: "llm",
        address: "127.0.0.1:1",
        dataCentre: "z",
        isLeaving: false,
        slots: 48,
        models: [{ name: model, version: 1, adapters: [] }],
        sequence: 0,
    };
}

/** What the owner of an idle engine tells of it, but for what the options say. */
export function createNews(engine: string, options: Partial<EngineNews> = {}): EngineNews {
    return {
        engine,
        fence: 1,
        revision: 1,
        isOwned: true,
        canOrder: true,
        isReachable: true,
        held: {},
        coming: [],
        waitMs: 0,
        coldLoadMs: 250,
        warmLoadMs: 25,
        load: noLoad,
        ...options,
    };
}
