import { test } from "uvu";
import * as assert from "uvu/assert";
import { AdapterVersions, EngineSlotPlanner, findUsableVersion, FleetView } from "../src/index.js";
import {
    createEngineStatus,
    createPlanner,
    createUpstream,
    limits,
    runPlan,
    SimulatedEngine,
} from "./simulatedengine.js";

const key = "base/a1";

/** Enqueues a request that waits for at least this version of the adapter. */
function enqueueLoad(planner: EngineSlotPlanner, version: number | undefined, now = 0): void {
    planner.addLoadRequest({ key, version, runMs: 500, onTimeMs: 500, lifeMs: 500 }, now);
}

/** Runs the planned loads for 400 ms. */
function runLoads(engine: SimulatedEngine, planner: EngineSlotPlanner): void {
    for (let elapsed = 0; elapsed < 400; elapsed += 20) {
        runPlan(engine, planner, () => "answered");
        engine.advance(20);
    }
}

test("an expired version stays unusable when a still newer version is announced", () => {
    const view = new FleetView();
    view.versions.update(key, 2, 3000);
    view.versions.update(key, 3, 8000);
    assert.is(view.versions.mayUse(key, 2, 8100), true);
    assert.is(view.versions.mayUse(key, 1, 8100), false);
    view.versions.update(key, 4, 16_000);
    assert.equal([1, 2, 3, 4].map(version => view.versions.mayUse(key, version, 16_100)), [false, false, true, true]);
});

test("a VM that was suspended checks held versions against boot time, not its steady time", () => {
    const view = new FleetView();
    view.updateUpstream(createUpstream("e1"), 0);
    view.updateStatus("v", createEngineStatus("e1", { held: { [key]: 1 } }), 0);
    view.versions.update(key, 2, 0);
    const state = view.findUpstream("e1")!;
    assert.is(findUsableVersion({ view, now: 100, bootNow: 100 }, state, key), 1);
    assert.is(findUsableVersion({ view, now: 100, bootNow: 10_000 }, state, key), undefined);
});

test("an adapter load orders the newest announced version, whichever version the waiting request names", () => {
    const engine = new SimulatedEngine();
    const versions = new AdapterVersions();
    const planner = new EngineSlotPlanner({
        limits,
        models: engine.readReport().models,
        sequence: 0,
        now: 0,
        findNewest: adapter => versions.findNewest(adapter)?.version,
    });
    versions.update(key, 3, 0);
    enqueueLoad(planner, 2);
    runLoads(engine, planner);
    assert.equal(planner.listHeld(), { [key]: 3 });
    assert.is(engine.held.get(key), 3);
});

test("a request that names an older version than an earlier request does not lower the loaded version", () => {
    const engine = new SimulatedEngine();
    const planner = createPlanner(engine);
    enqueueLoad(planner, 3);
    enqueueLoad(planner, 2);
    enqueueLoad(planner, undefined);
    runLoads(engine, planner);
    assert.equal(planner.listHeld(), { [key]: 3 });
    assert.is(engine.held.get(key), 3);
});

test("a newer version is loaded if the held one has expired, even if the waiting request names no version", () => {
    const engine = new SimulatedEngine();
    engine.held.set(key, 1);
    const versions = new AdapterVersions();
    const planner = new EngineSlotPlanner({
        limits,
        models: engine.readReport().models,
        sequence: 0,
        now: 0,
        findNewest: adapter => versions.findNewest(adapter)?.version,
    });
    runLoads(engine, planner);
    versions.update(key, 2, -Infinity);
    enqueueLoad(planner, undefined, engine.now);
    runLoads(engine, planner);
    assert.equal(planner.listHeld(), { [key]: 2 });
});

test("an adapter without an announced version is reported as its first version", () => {
    const engine = new SimulatedEngine();
    const planner = createPlanner(engine);
    enqueueLoad(planner, undefined);
    runLoads(engine, planner);
    assert.equal(planner.listHeld(), { [key]: 1 });
});

test.run();
