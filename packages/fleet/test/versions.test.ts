import { test } from "uvu";
import * as assert from "uvu/assert";
import { AdapterVersions, EnginePlaces, findUsableVersion, FleetView } from "../src/index.js";
import { createNews, createPlaces, createUpstream, limits, ModelEngine, runPlan } from "./engine.js";

const key = "base/a1";

/** A request waits for the adapter, in this version at least. */
function addWant(places: EnginePlaces, version: number | undefined, now = 0): void {
    places.addWant({ key, version, runMs: 500, onTimeMs: 500, lifeMs: 500 }, now);
}

/** Lets the engine load for some time. */
function runLoads(engine: ModelEngine, places: EnginePlaces): void {
    for (let elapsed = 0; elapsed < 400; elapsed += 20) {
        runPlan(engine, places, () => "answered");
        engine.advance(20);
    }
}

test("a version that was replaced long ago does not come back when a still newer one is named", () => {
    const view = new FleetView();
    view.versions.update(key, 2, 3000);
    view.versions.update(key, 3, 8000);
    assert.is(view.versions.mayUse(key, 2, 8100), true);
    assert.is(view.versions.mayUse(key, 1, 8100), false);
    view.versions.update(key, 4, 16_000);
    assert.equal([1, 2, 3, 4].map(version => view.versions.mayUse(key, version, 16_100)), [false, false, true, true]);
});

test("a VM that was suspended takes no held version by its steady time", () => {
    const view = new FleetView();
    view.updateUpstream(createUpstream("e1"), 0);
    view.updateNews("v", createNews("e1", { held: { [key]: 1 } }), 0);
    view.versions.update(key, 2, 0);
    const state = view.findUpstream("e1")!;
    assert.is(findUsableVersion({ view, now: 100, bootNow: 100 }, state, key), 1);
    assert.is(findUsableVersion({ view, now: 100, bootNow: 10_000 }, state, key), undefined);
});

test("a load asks for the newest version that was named, whatever a request that waits for it knows", () => {
    const engine = new ModelEngine();
    const versions = new AdapterVersions();
    const places = new EnginePlaces({
        limits,
        models: engine.readReport().models,
        sequence: 0,
        now: 0,
        findNewest: adapter => versions.findNewest(adapter)?.version,
    });
    versions.update(key, 3, 0);
    addWant(places, 2);
    runLoads(engine, places);
    assert.equal(places.listHeld(), { [key]: 3 });
    assert.is(engine.held.get(key), 3);
});

test("a request that knows less than the one before it does not have an older version loaded", () => {
    const engine = new ModelEngine();
    const places = createPlaces(engine);
    addWant(places, 3);
    addWant(places, 2);
    addWant(places, undefined);
    runLoads(engine, places);
    assert.equal(places.listHeld(), { [key]: 3 });
    assert.is(engine.held.get(key), 3);
});

test("a load is asked for where the version that is held may not answer any more, whatever the request that waits knows", () => {
    const engine = new ModelEngine();
    engine.held.set(key, 1);
    const versions = new AdapterVersions();
    const places = new EnginePlaces({
        limits,
        models: engine.readReport().models,
        sequence: 0,
        now: 0,
        findNewest: adapter => versions.findNewest(adapter)?.version,
    });
    runLoads(engine, places);
    versions.update(key, 2, -Infinity);
    addWant(places, undefined, engine.now);
    runLoads(engine, places);
    assert.equal(places.listHeld(), { [key]: 2 });
});

test("an adapter of which no version was named is told to be its first one", () => {
    const engine = new ModelEngine();
    const places = createPlaces(engine);
    addWant(places, undefined);
    runLoads(engine, places);
    assert.equal(places.listHeld(), { [key]: 1 });
});

test.run();
