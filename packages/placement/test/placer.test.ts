import { test } from "uvu";
import * as assert from "uvu/assert";
import { type EngineSummary, type ModelDemand, Placer, type PlacerCommand, type PlacerEvent } from "../src/index.js";

const gateway = "gateway";

function createEngine(id: string, slots: number, models: readonly string[] = []): PlacerEvent {
    const engine: EngineSummary = {
        id,
        slots,
        batchRoom: 8,
        isLeaving: false,
        inFlight: 0,
        models: models.map(model => ({ model, state: "loaded", inUse: 0 })),
    };
    return { type: "engine", engine };
}

function createDemand(...models: string[]): PlacerEvent {
    const changes: ModelDemand[] = models.map(model => ({
        model,
        paying: { count: 1, ageMs: 0 },
        trial: { count: 0, ageMs: 0 },
        payingArrivals: 1,
        trialArrivals: 0,
    }));
    return { type: "demand", gateway, changes };
}

function createPlacer(...events: PlacerEvent[]) {
    const placer = new Placer();
    const decide = (event: PlacerEvent, now: number): PlacerCommand[] => placer.decide(event, now);
    events.forEach(event => decide(event, 0));
    return decide;
}

test("a load without a reported outcome blocks the next load until the orders to its owner count as lost", () => {
    const decide = createPlacer(createEngine("x", 1));
    assert.equal(decide(createDemand("a@1"), 0), [{ type: "load", engineId: "x", model: "a@1" }]);
    assert.equal(decide(createEngine("y", 2), 10), []);
    assert.equal(decide({ type: "ordersLost", engineId: "y" }, 20), []);
    assert.equal(decide({ type: "ordersLost", engineId: "x" }, 30), [{ type: "load", engineId: "x", model: "a@1" }]);
});

test("a lost load does not count as failed, and its late outcome does not finish the load that follows it", () => {
    const decide = createPlacer(createEngine("x", 2));
    decide(createDemand("a@1", "b@1"), 0);
    decide({ type: "ordersLost", engineId: "x" }, 10);
    decide(createEngine("x", 2, ["a@1"]), 20);
    assert.equal(decide({ type: "tick" }, 30), []);
    assert.equal(decide({ type: "loadEnded", engineId: "x", model: "a@1", outcome: "loaded" }, 40), [
        { type: "load", engineId: "x", model: "b@1" },
    ]);
    assert.equal(decide({ type: "loadEnded", engineId: "x", model: "a@1", outcome: "loaded" }, 50), []);
});

test("an eviction that counts as lost is ordered again", () => {
    const decide = createPlacer(createEngine("x", 1, ["a@1"]));
    const evict: PlacerCommand = { type: "evict", engineId: "x", model: "a@1" };
    assert.equal(decide(createDemand("b@1"), 0), [evict]);
    assert.equal(decide({ type: "tick" }, 100), []);
    assert.equal(decide({ type: "ordersLost", engineId: "x" }, 200), [evict]);
    assert.equal(decide(createEngine("x", 1), 300), [{ type: "load", engineId: "x", model: "b@1" }]);
});

test("after a refused eviction the placer orders another one, and repeats the refused one only after a backoff", () => {
    const decide = createPlacer(createEngine("x", 1, ["a@1"]), createEngine("y", 1, ["b@1"]));
    const [first] = decide(createDemand("c@1"), 0);
    assert.is(first?.type, "evict");
    const { engineId, model } = first!;
    const [second] = decide({ type: "loadEnded", engineId, model, outcome: "refused" }, 10);
    assert.is(second?.type, "evict");
    assert.is.not(second!.engineId, engineId);
    assert.equal(
        decide({ type: "loadEnded", engineId: second!.engineId, model: second!.model, outcome: "refused" }, 20),
        [],
    );
    assert.equal(decide({ type: "tick" }, 510), [first]);
});

test.run();
