import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type EngineOrder, EngineSlotPlanner, type LoadRequest, type OrderOutcome } from "../src/index.js";
import { createPlanner, limits, type OrderFate, runPlan, SimulatedEngine } from "./simulatedengine.js";

function addLoadRequest(
    planner: EngineSlotPlanner,
    request: Partial<LoadRequest> & { readonly key: string; },
    now: number,
): void {
    planner.addLoadRequest({ version: undefined, runMs: 500, onTimeMs: 0, ...request }, now);
}

function runFor(engine: SimulatedEngine, planner: EngineSlotPlanner, ms: number): void {
    for (let elapsed = 0; elapsed < ms; elapsed += 10) {
        engine.advance(10);
        runPlan(engine, planner, () => "answered");
    }
}

test("a requested adapter is listed as loading, and as held once the engine confirms it", () => {
    const engine = new SimulatedEngine();
    const planner = createPlanner(engine);
    runPlan(engine, planner, () => "answered");
    addLoadRequest(planner, { key: "base/a1", version: undefined, runMs: 500 }, 0);
    runPlan(engine, planner, () => "answered");
    assert.equal(planner.listLoading(), ["base/a1"]);
    assert.equal(planner.listHeld(), {});
    runFor(engine, planner, 300);
    assert.equal(planner.listLoading(), []);
    assert.equal(Object.keys(planner.listHeld()), ["base/a1"]);
});

test("a new owner lists the adapters that it inherits until the engine reports", () => {
    const engine = new SimulatedEngine();
    engine.held.set("base/a1", 1);
    const held = { "base/a1": 1, "base/a2": 1 };
    const planner = new EngineSlotPlanner({ limits, models: engine.readReport().models, held, sequence: 0, now: 0 });
    assert.equal(Object.keys(planner.listHeld()), ["base/a1", "base/a2"]);
    assert.is(planner.needsReport, true);
    runPlan(engine, planner, () => "answered");
    assert.equal(Object.keys(planner.listHeld()), ["base/a1"]);
});

// Guards against orders for more adapters than an engine has slots. A VM that requests a report within 250 ms of its
// start, on a clock that starts there, must not treat the report as older than its own state: it would count occupied
// slots as free, for example seven of eight.
test("a report right after the start of a process is applied", () => {
    const engine = new SimulatedEngine();
    engine.now = 60;
    for (const adapter of ["a1", "a2", "a3", "a4"]) {
        engine.held.set(`base/${adapter}`, 1);
    }
    const planner = new EngineSlotPlanner({ limits, models: engine.readReport().models, sequence: 9, now: engine.now });
    engine.sequence = 9;
    runPlan(engine, planner, () => "answered");
    assert.equal(Object.keys(planner.listHeld()), ["base/a1", "base/a2", "base/a3", "base/a4"]);
    addLoadRequest(planner, { key: "base/a5" }, engine.now);
    runFor(engine, planner, 400);
    assert.is(engine.overLimit, 0);
});

test("a report older than the accepted orders frees no slot", () => {
    const engine = new SimulatedEngine();
    engine.reportLagMs = 400;
    engine.coldLoadMs = 25;
    engine.countRuns = key => engine.held.has(key) ? 1 : 0;
    const warm = ["base/a1", "base/a2", "base/a3"];
    const planner = new EngineSlotPlanner({ limits, models: engine.readReport().models, sequence: 0, now: 0, warm });
    runFor(engine, planner, 1000);
    for (const key of warm) {
        addLoadRequest(planner, { key }, engine.now);
    }
    runFor(engine, planner, 300);
    addLoadRequest(planner, { key: "base/a4" }, engine.now);
    runFor(engine, planner, 50);
    planner.recordMissing("base/a1", engine.now);
    addLoadRequest(planner, { key: "base/a5" }, engine.now);
    runFor(engine, planner, 10);
    assert.equal(Object.keys(planner.listHeld()), warm);
    runFor(engine, planner, 2000);
    assert.equal([engine.held.size, engine.overLimit], [4, 0]);
});

test("a restarted owner finds an adapter loaded from host memory within the time of such a load", () => {
    const engine = new SimulatedEngine();
    engine.warmLoadMs = 25;
    const before = createPlanner(engine);
    runPlan(engine, before, () => "answered");
    addLoadRequest(before, { key: "base/a1" }, engine.now);
    runFor(engine, before, 300);
    engine.held.delete("base/a1");
    const models = engine.readReport().models;
    const planner = new EngineSlotPlanner({ limits, models, sequence: engine.sequence, now: engine.now });
    runPlan(engine, planner, () => "answered");
    addLoadRequest(planner, { key: "base/a1" }, engine.now);
    addLoadRequest(planner, { key: "base/a2" }, engine.now);
    runFor(engine, planner, 60);
    assert.equal(Object.keys(planner.listHeld()), ["base/a1"]);
    runFor(engine, planner, 240);
    assert.equal(Object.keys(planner.listHeld()), ["base/a1", "base/a2"]);
});

test("popular adapters keep their slots when an unpopular one can be evicted", () => {
    const engine = new SimulatedEngine();
    const planner = createPlanner(engine);
    for (const name of ["a1", "a2", "a3"]) {
        addLoadRequest(planner, { key: `base/${name}`, version: undefined, runMs: 500 }, engine.now);
        runFor(engine, planner, 300);
    }
    for (let uses = 0; uses < 6; uses++) {
        planner.recordUse("base/a1", engine.now);
        planner.recordUse("base/a2", engine.now);
    }
    runFor(engine, planner, 600);
    addLoadRequest(planner, { key: "base/a4", version: undefined, runMs: 500 }, engine.now);
    runFor(engine, planner, 320);
    const held = Object.keys(planner.listHeld());
    assert.ok(held.includes("base/a1") && held.includes("base/a2") && held.includes("base/a4"), held.join());
});

test("an adapter in use is not evicted, and a queued adapter is loaded and stays once a slot is idle", () => {
    const engine = new SimulatedEngine();
    const planner = createPlanner(engine);
    for (const name of ["a1", "a2", "a3", "a4"]) {
        addLoadRequest(planner, { key: `base/${name}`, version: undefined, runMs: 500 }, engine.now);
        runFor(engine, planner, 300);
        engine.runs.set(`base/${name}`, 1);
        planner.recordUse(`base/${name}`, engine.now);
    }
    runFor(engine, planner, 1000);
    addLoadRequest(planner, { key: "base/a5", version: undefined, runMs: 500 }, engine.now);
    runFor(engine, planner, 300);
    assert.is(Object.keys(planner.listHeld()).length, 4);
    engine.runs.set("base/a2", 0);
    for (let again = 0; again < 6; again++) {
        addLoadRequest(planner, { key: "base/a5", version: undefined, runMs: 500 }, engine.now);
        runFor(engine, planner, 100);
    }
    assert.ok("base/a5" in planner.listHeld());
    assert.ok(!("base/a2" in planner.listHeld()));
});

test("adapters for shorter runs are loaded first, until older load requests take precedence", () => {
    const engine = new SimulatedEngine();
    const planner = createPlanner(engine);
    runPlan(engine, planner, () => "answered");
    addLoadRequest(planner, { key: "base/long", version: undefined, runMs: 3000 }, 0);
    addLoadRequest(planner, { key: "base/short", version: undefined, runMs: 300 }, 100);
    assert.equal(planner.listQueued(0), ["base/short", "base/long"]);
    const aged = createPlanner(engine);
    addLoadRequest(aged, { key: "base/long", version: undefined, runMs: 3000 }, 0);
    addLoadRequest(aged, { key: "base/short", version: undefined, runMs: 300 }, 1800);
    assert.equal(aged.listQueued(1800), ["base/long", "base/short"]);
});

test("a load request that can still be on time precedes a late one, until the late one is much older", () => {
    const planner = createPlanner(new SimulatedEngine());
    addLoadRequest(planner, { key: "base/late", onTimeMs: -10 }, 0);
    addLoadRequest(planner, { key: "base/fresh", onTimeMs: 700 }, 1500);
    assert.equal(planner.listQueued(1500), ["base/fresh", "base/late"]);
    assert.equal(planner.listQueued(2300), ["base/late", "base/fresh"]);
    addLoadRequest(planner, { key: "base/later", onTimeMs: 700 }, 2500);
    assert.equal(planner.listQueued(2500), ["base/late", "base/later", "base/fresh"]);
});

test("a newer version replaces the loaded one, which is evicted first and only when unused", () => {
    const engine = new SimulatedEngine();
    const planner = createPlanner(engine);
    addLoadRequest(planner, { key: "base/a1" }, 0);
    runFor(engine, planner, 300);
    engine.runs.set("base/a1", 1);
    addLoadRequest(planner, { key: "base/a1", version: 2 }, engine.now);
    addLoadRequest(planner, { key: "base/a2" }, engine.now);
    runFor(engine, planner, 300);
    assert.equal(Object.keys(planner.listHeld()), ["base/a1", "base/a2"]);
    assert.is(engine.sequence, 2);
    engine.runs.set("base/a1", 0);
    addLoadRequest(planner, { key: "base/a1", version: 2 }, engine.now);
    runFor(engine, planner, 60);
    assert.equal(planner.listLoading(), ["base/a1"]);
    runFor(engine, planner, 300);
    assert.is(planner.listHeld()["base/a1"], 2);
});

test("an engine without its base model loads the model before any adapter", () => {
    const planner = new EngineSlotPlanner({ limits, models: [], sequence: 0, now: 0 });
    planner.applyReport({ models: [], coming: [], sequence: 0, isBusy: false }, 0, 0);
    addLoadRequest(planner, { key: "base/a1", version: undefined, runMs: 500 }, 0);
    const step = planner.decide(0, () => 0);
    assert.equal(step.kind === "order" ? [step.order.action, step.order.adapter] : [], ["load", undefined]);
});

test("an unreachable engine has an empty load queue, and counts as reachable again once it reports", () => {
    const engine = new SimulatedEngine();
    const planner = createPlanner(engine);
    runPlan(engine, planner, () => "answered");
    addLoadRequest(planner, { key: "base/a1", version: undefined, runMs: 500 }, 0);
    const step = planner.decide(0, () => 0);
    assert.is(step.kind, "order");
    planner.applyOutcome((step as { order: EngineOrder; }).order, "unreachable", 0);
    assert.is(planner.isReachable, false);
    assert.equal(planner.listQueued(0), []);
    assert.is(planner.decide(10, () => 0).kind, "wait");
    assert.is(planner.decide(100, () => 0).kind, "report");
    planner.recordReportFailure("unreachable", 100);
    assert.is(planner.decide(150, () => 0).kind, "wait");
    planner.applyReport(engine.readReport(), 400, 400);
    assert.is(planner.isReachable, true);
});

test("a report requested soon after an order without a response is not combined with that order's effects", () => {
    const engine = new SimulatedEngine();
    ["a1", "a2", "a3", "a4"].forEach(adapter => engine.held.set(`base/${adapter}`, 1));
    const planner = createPlanner(engine);
    runPlan(engine, planner, () => "answered");
    addLoadRequest(planner, { key: "base/a5", lifeMs: 5000 }, 0);
    const outcomes: OrderOutcome[] = [];
    while (engine.now < 2000) {
        engine.advance(10);
        const step = planner.decide(engine.now, () => 0);
        if (step.kind === "report") {
            planner.applyReport(engine.readReport(), engine.now, engine.now);
        }
        else if (step.kind === "order") {
            outcomes.push(engine.apply(step.order));
            const isFirst = outcomes.length === 1;
            planner.applyOutcome(step.order, isFirst ? "unknown" : outcomes.at(-1)!, engine.now);
            if (isFirst) {
                // The next order cannot be sent, so that a report is requested before it.
                planner.applyOutcome(step.order, "unreachable", engine.now + 5);
                addLoadRequest(planner, { key: "base/a5", lifeMs: 5000 }, engine.now + 5);
            }
        }
    }
    assert.is(outcomes.includes("accepted"), true, outcomes.join());
    assert.is(outcomes.includes("conflict"), false, outcomes.join());
});

test("an engine that opens no connection for a second keeps its load queue, and for longer is unreachable", () => {
    const engine = new SimulatedEngine();
    const planner = createPlanner(engine);
    runPlan(engine, planner, () => "answered");
    addLoadRequest(planner, { key: "base/a1", lifeMs: 5000 }, 0);
    const step = planner.decide(0, () => 0);
    assert.is(step.kind, "order");
    planner.applyOutcome((step as { order: EngineOrder; }).order, "silent", 0);
    let now = 0;
    let unreachableAt: number | undefined;
    while (unreachableAt === undefined && now < 3000) {
        now += 10;
        if (planner.decide(now, () => 0).kind === "report") {
            // A connection is waited for 70 ms.
            now += 70;
            planner.recordReportFailure("silent", now);
        }
        assert.is(planner.isSilent, true);
        assert.is(planner.listQueued(now).length, planner.isReachable ? 1 : 0);
        unreachableAt = planner.isReachable ? undefined : now;
    }
    assert.ok(unreachableAt! > 1400 && unreachableAt! <= 1900, `unreachable at ${unreachableAt} ms`);
    planner.applyReport(engine.readReport(), now, now);
    assert.equal([planner.isReachable, planner.isSilent], [true, false]);
});

test("an engine that is silent only for a second gets the queued load in the first step after its report", () => {
    const engine = new SimulatedEngine();
    const planner = createPlanner(engine);
    runPlan(engine, planner, () => "answered");
    addLoadRequest(planner, { key: "base/a1", lifeMs: 5000 }, 0);
    const step = planner.decide(0, () => 0);
    planner.applyOutcome((step as { order: EngineOrder; }).order, "silent", 0);
    planner.recordReportFailure("silent", 500);
    planner.applyReport(engine.readReport(), 1100, 1100);
    assert.is(planner.decide(1101, () => 0).kind, "order");
});

test("orders never load more adapters than there are slots, even if responses are lost or orders arrive late", () => {
    const step = fc.record({
        name: fc.nat(9),
        waitMs: fc.nat(200),
        run: fc.nat(9),
        runs: fc.nat(2),
        fate: fc.constantFrom<OrderFate>("answered", "answered", "answered", "answerLost", "late"),
    });
    fc.assert(
        fc.property(fc.array(step, { minLength: 50, maxLength: 300 }), steps => {
            const engine = new SimulatedEngine();
            const planner = createPlanner(engine);
            for (const { name, waitMs, run, runs, fate } of steps) {
                engine.advance(waitMs);
                engine.runs.set(`base/a${run}`, engine.held.has(`base/a${run}`) ? runs : 0);
                addLoadRequest(planner, { key: `base/a${name}`, version: undefined, runMs: 500 }, engine.now);
                runPlan(engine, planner, () => fate);
                assert.is(engine.overLimit, 0);
            }
        }),
        { seed: 3, numRuns: 300 },
    );
});

test.run();
