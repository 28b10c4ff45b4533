/** Guards against orders for more adapters than an engine has slots, over random histories of one engine's owners. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    type EngineOrder,
    EngineSlotPlanner,
    type EngineSlotPlannerOptions,
    type EvictionRule,
    type OrderOutcome,
    PopularityEviction,
    ReloadCostEviction,
} from "../src/index.js";
import { limits, model, SimulatedEngine } from "./simulatedengine.js";
import { createRandom } from "./workload.js";

/** Age of the state that reports show, in milliseconds. */
const reportLagMs = 200;

const adapters = 9;
const rounds = 400;

/** Options of {@link SlotHistory}. */
interface SlotHistoryOptions {
    readonly seed: number;
    readonly evictionRule: EvictionRule;
    /**
     * Whether loads from the weight store are held back at times, and newer versions are announced and loaded without
     * a request. @default false
     */
    readonly hasBudget?: boolean;
    /** Whether the engine ends at times and starts again under the same name, without any adapter. @default false */
    readonly hasRestarts?: boolean;
    /** Whether the engine sheds most calls for up to 4 s, and reports lag up to 400 ms at times. @default false */
    readonly hasLongTroubles?: boolean;
}

/** An engine whose orders get lost, arrive late or are rejected, and whose owner changes. */
class SlotHistory {
    private engine: SimulatedEngine;
    /** Newest announced versions, by adapter key. */
    private readonly versions = new Map<string, number>();
    private readonly random: () => number;
    private planner: EngineSlotPlanner;
    /** Until when the engine rejects most calls. */
    private shedsUntil = 0;
    /** The adapter of the last order, if that was to unload it. */
    private unloaded: string | undefined;
    private evictedInUse = 0;

    constructor(private readonly options: SlotHistoryOptions) {
        this.random = createRandom(options.seed);
        this.engine = this.createEngine(0);
        this.planner = this.createPlanner({ held: {}, sequence: 0 });
    }

    private createEngine(now: number): SimulatedEngine {
        const engine = new SimulatedEngine();
        engine.now = now;
        engine.reportLagMs = reportLagMs;
        return engine;
    }

    private createPlanner(known: Pick<EngineSlotPlannerOptions, "held" | "sequence">): EngineSlotPlanner {
        const { evictionRule, hasBudget = false } = this.options;
        const budgetOptions = {
            findNewest: (key: string) => this.versions.get(key),
            mayTransfer: () => this.random() < 0.7,
            mayRefresh: () => this.random() < 0.7,
        };
        return new EngineSlotPlanner({
            limits,
            models: [{ name: model, version: 1, adapters: [] }],
            ...known,
            now: this.engine.now,
            evictionRule,
            ...(hasBudget ? budgetOptions : {}),
        });
    }

    /** @returns Whether the engine was never ordered to load more than it holds, nor to unload an adapter in use. */
    run(): boolean {
        for (let round = 0; round < rounds && this.engine.overLimit === 0; round++) {
            this.advance(Math.floor(this.random() * 60));
            this.updateDemand();
            this.updateTroubles();
            this.runSteps();
        }
        return this.engine.overLimit === 0 && this.evictedInUse === 0;
    }

    private updateDemand(): void {
        const { engine, random } = this;
        if (random() < 0.3) {
            engine.coldLoadMs = [50, 250, 600, 1500][Math.floor(random() * 4)]!;
        }
        const run = this.chooseKey();
        engine.runs.set(run, engine.held.has(run) && random() < 0.5 ? 1 : 0);
        if (random() < 0.5) {
            this.planner.addLoadRequest(
                { key: this.chooseKey(), version: undefined, runMs: 500, onTimeMs: 0 },
                engine.now,
            );
        }
        if (random() < 0.1) {
            this.planner.removeLoadRequest(this.chooseKey());
        }
        if (random() < 0.05) {
            this.planner.recordMissing(this.chooseKey(), engine.now);
        }
        if (random() < 0.02) {
            this.shedsUntil = engine.now + 500;
        }
        if (random() < 0.01) {
            this.startNextOwner();
        }
    }

    /** Troubles that only some histories have; the others draw no random number for them. */
    private updateTroubles(): void {
        const { engine, random } = this;
        const { hasBudget = false, hasRestarts = false, hasLongTroubles = false } = this.options;
        if (hasBudget && random() < 0.05) {
            const key = this.chooseKey();
            this.versions.set(key, (this.versions.get(key) ?? 1) + 1);
        }
        if (hasBudget && random() < 0.5) {
            this.planner.recordUse(this.chooseKey(), engine.now);
        }
        if (hasLongTroubles && random() < 0.02) {
            this.shedsUntil = engine.now + 4000;
        }
        if (hasLongTroubles && random() < 0.1) {
            engine.reportLagMs = [0, 200, 400][Math.floor(random() * 3)]!;
        }
        if (hasRestarts && random() < 0.01) {
            this.restartEngine();
        }
    }

    /** The engine's new incarnation gets no order to the last one, and its owner knows none of its adapters. */
    private restartEngine(): void {
        this.engine = this.createEngine(this.engine.now);
        this.planner = this.createPlanner({ held: {}, sequence: 0 });
    }

    /** The next owner knows what the last one announced, and the sequence of an older entry. */
    private startNextOwner(): void {
        const sequence = Math.max(0, this.engine.sequence - Math.floor(this.random() * 4));
        this.planner = this.createPlanner({ held: this.planner.listHeld(), sequence });
    }

    private runSteps(): void {
        const { engine, planner } = this;
        for (let steps = 0; steps < 6 && engine.overLimit === 0; steps++) {
            const step = planner.decide(engine.now, key => engine.countRuns(key));
            if (step.kind === "wait") {
                return;
            }
            if (step.kind === "report") {
                this.readReport();
                continue;
            }
            this.recordEviction(step.order);
            planner.applyOutcome(step.order, this.sendOrder(step.order), engine.now);
        }
    }

    /** Counts unload orders for an adapter that was in use when its unload was first ordered. */
    private recordEviction({ action, adapter }: EngineOrder): void {
        const key = `${model}/${adapter}`;
        const isFirst = action === "unload" && !this.engine.unloading.has(key) && this.unloaded !== key;
        this.unloaded = action === "unload" ? key : undefined;
        if (isFirst && this.engine.countRuns(key) > 0) {
            this.evictedInUse += 1;
        }
    }

    private readReport(): void {
        const { engine, random } = this;
        if (this.isShed()) {
            this.planner.recordReportFailure("unknown", engine.now);
            return;
        }
        const askedAt = engine.now;
        const report = engine.readReport();
        this.advance(random() < 0.2 ? Math.floor(random() * 17) * 10 : 0);
        this.planner.applyReport(report, askedAt, engine.now);
    }

    private sendOrder(order: EngineOrder): OrderOutcome {
        const { engine, random } = this;
        const fate = random();
        if (engine.now < this.shedsUntil && fate < 0.8) {
            return "unknown";
        }
        if (fate >= 0.75 && fate < 0.85) {
            engine.apply(order);
            return "unknown";
        }
        if (fate >= 0.85 && fate < 0.93) {
            engine.delayedOrders.push({ order, at: engine.now + Math.floor(random() * 6000) });
            return "unknown";
        }
        if (fate >= 0.93 && fate < 0.97) {
            return fate < 0.95 ? "conflict" : fate < 0.96 ? "silent" : "unreachable";
        }
        return engine.apply(order);
    }

    private isShed(): boolean {
        return this.engine.now < this.shedsUntil && this.random() < 0.8;
    }

    private advance(ms: number): void {
        for (let elapsed = 0; elapsed < ms; elapsed += 10) {
            this.engine.advance(10);
        }
    }

    private chooseKey(): string {
        return `${model}/a${Math.floor(this.random() * adapters)}`;
    }
}

const histories: [name: string, options: Omit<SlotHistoryOptions, "seed" | "evictionRule">][] = [
    ["", {}],
    [", with transfers held back and versions refreshed", { hasBudget: true }],
    [", with restarts, long troubles, transfers held back and versions refreshed", {
        hasBudget: true,
        hasRestarts: true,
        hasLongTroubles: true,
    }],
];

for (const evictionRule of [new PopularityEviction(), new ReloadCostEviction()]) {
    for (const [name, options] of histories) {
        test(`${evictionRule.constructor.name}: no order exceeds the slots or unloads an adapter in use${name}`, () => {
            const seeds = Array.from(
                { length: 1500 },
                (_, index) => index + 1,
            );
            assert.equal(seeds.filter(seed => !new SlotHistory({ seed, evictionRule, ...options }).run()), []);
        });
    }
}

test.run();
