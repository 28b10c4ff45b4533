import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type AdapterWant, type EngineOrder, EnginePlaces } from "../src/index.js";
import { createPlaces, type Fate, limits, ModelEngine, runPlan } from "./engine.js";

function addWant(places: EnginePlaces, want: Partial<AdapterWant> & { readonly key: string; }, now: number): void {
    places.addWant({ version: undefined, runMs: 500, onTimeMs: 0, ...want }, now);
}

function runFor(engine: ModelEngine, places: EnginePlaces, ms: number): void {
    for (let elapsed = 0; elapsed < ms; elapsed += 10) {
        engine.advance(10);
        runPlan(engine, places, () => "answered");
    }
}

test("a wanted adapter is loaded, told to be on its way, and told as held once the engine says so", () => {
    const engine = new ModelEngine();
    const places = createPlaces(engine);
    runPlan(engine, places, () => "answered");
    addWant(places, { key: "base/a1", version: undefined, runMs: 500 }, 0);
    runPlan(engine, places, () => "answered");
    assert.equal(places.listComing(), ["base/a1"]);
    assert.equal(places.listHeld(), {});
    runFor(engine, places, 300);
    assert.equal(places.listComing(), []);
    assert.equal(Object.keys(places.listHeld()), ["base/a1"]);
});

test("a new owner tells what the one before it told until the engine reports", () => {
    const engine = new ModelEngine();
    engine.held.set("base/a1", 1);
    const held = { "base/a1": 1, "base/a2": 1 };
    const places = new EnginePlaces({ limits, models: engine.readReport().models, held, sequence: 0, now: 0 });
    assert.equal(Object.keys(places.listHeld()), ["base/a1", "base/a2"]);
    assert.is(places.needsReport, true);
    runPlan(engine, places, () => "answered");
    assert.equal(Object.keys(places.listHeld()), ["base/a1"]);
});

// A played day ended with eight engines ordered to load more than they have places for. A VM had started so fast that it
// asked for its engines' reports within 250 ms of its start, on a clock that begins there. What the reports said was taken
// for older than the VM's own knowledge of those adapters, of which it had none: it counted seven of eight places as free.
test("a report in the first moments of a process tells what the engine holds", () => {
    const engine = new ModelEngine();
    engine.now = 60;
    for (const adapter of ["a1", "a2", "a3", "a4"]) {
        engine.held.set(`base/${adapter}`, 1);
    }
    const places = new EnginePlaces({ limits, models: engine.readReport().models, sequence: 9, now: engine.now });
    engine.sequence = 9;
    runPlan(engine, places, () => "answered");
    assert.equal(Object.keys(places.listHeld()), ["base/a1", "base/a2", "base/a3", "base/a4"]);
    addWant(places, { key: "base/a5" }, engine.now);
    runFor(engine, places, 400);
    assert.is(engine.overLimit, 0);
});

test("an owner that starts anew finds out in the time of such a load what the engine has in memory", () => {
    const engine = new ModelEngine();
    engine.warmLoadMs = 25;
    const before = createPlaces(engine);
    runPlan(engine, before, () => "answered");
    addWant(before, { key: "base/a1" }, engine.now);
    runFor(engine, before, 300);
    engine.held.delete("base/a1");
    const models = engine.readReport().models;
    const places = new EnginePlaces({ limits, models, sequence: engine.sequence, now: engine.now });
    runPlan(engine, places, () => "answered");
    addWant(places, { key: "base/a1" }, engine.now);
    addWant(places, { key: "base/a2" }, engine.now);
    runFor(engine, places, 60);
    assert.equal(Object.keys(places.listHeld()), ["base/a1"]);
    runFor(engine, places, 240);
    assert.equal(Object.keys(places.listHeld()), ["base/a1", "base/a2"]);
});

test("a popular adapter keeps its place against one that nobody has waited long for", () => {
    const engine = new ModelEngine();
    const places = createPlaces(engine);
    for (const name of ["a1", "a2", "a3"]) {
        addWant(places, { key: `base/${name}`, version: undefined, runMs: 500 }, engine.now);
        runFor(engine, places, 300);
    }
    for (let uses = 0; uses < 6; uses++) {
        places.recordUse("base/a1", engine.now);
        places.recordUse("base/a2", engine.now);
    }
    runFor(engine, places, 600);
    addWant(places, { key: "base/a4", version: undefined, runMs: 500 }, engine.now);
    runFor(engine, places, 320);
    const held = Object.keys(places.listHeld());
    assert.ok(held.includes("base/a1") && held.includes("base/a2") && held.includes("base/a4"), held.join());
});

test("an adapter in use is not evicted, and one that is just loaded stays for the request that waited for it", () => {
    const engine = new ModelEngine();
    const places = createPlaces(engine);
    for (const name of ["a1", "a2", "a3", "a4"]) {
        addWant(places, { key: `base/${name}`, version: undefined, runMs: 500 }, engine.now);
        runFor(engine, places, 300);
        engine.runs.set(`base/${name}`, 1);
        places.recordUse(`base/${name}`, engine.now);
    }
    runFor(engine, places, 1000);
    addWant(places, { key: "base/a5", version: undefined, runMs: 500 }, engine.now);
    runFor(engine, places, 300);
    assert.is(Object.keys(places.listHeld()).length, 4);
    engine.runs.set("base/a2", 0);
    for (let again = 0; again < 6; again++) {
        addWant(places, { key: "base/a5", version: undefined, runMs: 500 }, engine.now);
        runFor(engine, places, 100);
    }
    assert.ok("base/a5" in places.listHeld());
    assert.ok(!("base/a2" in places.listHeld()));
});

test("shorter runs are loaded first, and age wins in the end", () => {
    const engine = new ModelEngine();
    const places = createPlaces(engine);
    runPlan(engine, places, () => "answered");
    addWant(places, { key: "base/long", version: undefined, runMs: 3000 }, 0);
    addWant(places, { key: "base/short", version: undefined, runMs: 300 }, 100);
    assert.equal(places.listQueued(0), ["base/short", "base/long"]);
    const aged = createPlaces(engine);
    addWant(aged, { key: "base/long", version: undefined, runMs: 3000 }, 0);
    addWant(aged, { key: "base/short", version: undefined, runMs: 300 }, 1800);
    assert.equal(aged.listQueued(1800), ["base/long", "base/short"]);
});

test("a request that can still be answered in time is loaded before one that is late, for a while", () => {
    const places = createPlaces(new ModelEngine());
    addWant(places, { key: "base/late", onTimeMs: -10 }, 0);
    addWant(places, { key: "base/fresh", onTimeMs: 700 }, 1500);
    assert.equal(places.listQueued(1500), ["base/fresh", "base/late"]);
    assert.equal(places.listQueued(2300), ["base/late", "base/fresh"]);
    addWant(places, { key: "base/later", onTimeMs: 700 }, 2500);
    assert.equal(places.listQueued(2500), ["base/late", "base/later", "base/fresh"]);
});

test("a newer version takes the place of the one that is held, which is taken out first and only when unused", () => {
    const engine = new ModelEngine();
    const places = createPlaces(engine);
    addWant(places, { key: "base/a1" }, 0);
    runFor(engine, places, 300);
    engine.runs.set("base/a1", 1);
    addWant(places, { key: "base/a1", version: 2 }, engine.now);
    addWant(places, { key: "base/a2" }, engine.now);
    runFor(engine, places, 300);
    assert.equal(Object.keys(places.listHeld()), ["base/a1", "base/a2"]);
    assert.is(engine.sequence, 2);
    engine.runs.set("base/a1", 0);
    addWant(places, { key: "base/a1", version: 2 }, engine.now);
    runFor(engine, places, 60);
    assert.equal(places.listComing(), ["base/a1"]);
    runFor(engine, places, 300);
    assert.is(places.listHeld()["base/a1"], 2);
});

test("an engine without its base model gets it before any adapter", () => {
    const places = new EnginePlaces({ limits, models: [], sequence: 0, now: 0 });
    places.applyReport({ models: [], coming: [], sequence: 0, isBusy: false }, 0, 0);
    addWant(places, { key: "base/a1", version: undefined, runMs: 500 }, 0);
    const step = places.decide(0, () => 0);
    assert.equal(step.kind === "order" ? [step.order.action, step.order.adapter] : [], ["load", undefined]);
});

test("nothing waits at an engine that cannot be reached, and it is used again once it reports", () => {
    const engine = new ModelEngine();
    const places = createPlaces(engine);
    runPlan(engine, places, () => "answered");
    addWant(places, { key: "base/a1", version: undefined, runMs: 500 }, 0);
    const step = places.decide(0, () => 0);
    assert.is(step.kind, "order");
    places.applyAnswer((step as { order: EngineOrder; }).order, "unreachable", 0);
    assert.is(places.isReachable, false);
    assert.equal(places.listQueued(0), []);
    assert.is(places.decide(10, () => 0).kind, "wait");
    assert.is(places.decide(100, () => 0).kind, "report");
    places.recordReportFailure(false, 100);
    assert.is(places.decide(150, () => 0).kind, "wait");
    places.applyReport(engine.readReport(), 400, 400);
    assert.is(places.isReachable, true);
});

test("no order asks for more adapters than there are places, whatever answers are lost or come late", () => {
    const step = fc.record({
        name: fc.nat(9),
        waitMs: fc.nat(200),
        run: fc.nat(9),
        runs: fc.nat(2),
        fate: fc.constantFrom<Fate>("answered", "answered", "answered", "answerLost", "late"),
    });
    fc.assert(
        fc.property(fc.array(step, { minLength: 50, maxLength: 300 }), steps => {
            const engine = new ModelEngine();
            const places = createPlaces(engine);
            for (const { name, waitMs, run, runs, fate } of steps) {
                engine.advance(waitMs);
                engine.runs.set(`base/a${run}`, engine.held.has(`base/a${run}`) ? runs : 0);
                addWant(places, { key: `base/a${name}`, version: undefined, runMs: 500 }, engine.now);
                runPlan(engine, places, () => fate);
                assert.is(engine.overLimit, 0);
            }
        }),
        { seed: 3, numRuns: 300 },
    );
});

test.run();
