import { test } from "uvu";
import * as assert from "uvu/assert";
import { type EngineOrder, EngineSlotPlanner, type HeldModel } from "../src/index.js";
import { limits } from "./simulatedengine.js";

function createModels(...names: string[]): HeldModel[] {
    return [{ name: "base", version: 1, adapters: names.map(name => ({ name, version: 1 })) }];
}

/** Creates the planner of an engine with four full slots, whose first report names a load that the owner before has undone since. */
function createNewOwner(): EngineSlotPlanner {
    const planner = new EngineSlotPlanner({ limits, models: createModels(), sequence: 100, now: 0 });
    const first = { models: createModels("a1", "a2", "a3"), coming: ["base/a18"], sequence: 100, isBusy: false };
    planner.decide(0, () => 0);
    planner.applyReport(first, 0, 2);
    planner.recordMissing("base/a1", 100);
    planner.decide(101, () => 0);
    const second = { models: createModels("a1", "a2", "a3", "a7"), coming: [], sequence: 103, isBusy: false };
    planner.applyReport(second, 160, 162);
    return planner;
}

// Guards against a load beyond the slots of an engine: a new owner repeats one that the owner before has undone.
test("a new owner does not order a load that a full engine no longer reports", () => {
    const planner = createNewOwner();
    for (let now = 163; now < 700; now++) {
        const step = planner.decide(now, () => 0);
        const isLoad = step.kind === "order" && step.order.action === "load";
        assert.not(isLoad, `${now} ms: ${JSON.stringify(step)}`);
    }
});

// Guards against a flood of orders: the check of a load came back at once after each rejection.
test("an order that an engine rejects is not repeated at once", () => {
    const planner = createNewOwner();
    let orders = 0;
    for (let now = 163; now < 1163; now++) {
        const step = planner.decide(now, () => 0);
        if (step.kind === "order") {
            orders += 1;
            planner.applyOutcome(step.order, "rejected", now);
        }
    }
    assert.ok(orders <= 1, `${orders} orders in 1 s`);
});

// Guards against the same flood where the order was one of this owner, which the engine no longer has a slot for.
test("the check of an own load that an engine rejects is not repeated at once", () => {
    const planner = new EngineSlotPlanner({ limits, models: createModels(), sequence: 0, now: 0 });
    planner.addLoadRequest({ key: "base/a1", version: undefined, runMs: 100, onTimeMs: 1000 }, 0);
    let orders = 0;
    for (let now = 0; now < 1500; now++) {
        const step = planner.decide(now, () => 0);
        if (step.kind === "report") {
            planner.applyReport({ models: createModels(), coming: ["base/a1"], sequence: 1, isBusy: false }, now, now);
        }
        if (step.kind === "order") {
            orders += 1;
            planner.applyOutcome(step.order, orders === 1 ? "accepted" : "rejected", now);
        }
    }
    assert.is(orders, 2);
});

/** Creates the planner of a new owner whose first report names one adapter. */
function createReported(report: { models: HeldModel[]; coming: string[]; }): EngineSlotPlanner {
    const planner = new EngineSlotPlanner({ limits, models: createModels(), sequence: 100, now: 0 });
    planner.applyReport({ ...report, sequence: 100, isBusy: false }, 0, 2);
    return planner;
}

function createOrder(action: "load" | "unload", adapter: string): EngineOrder {
    return { action, model: "base", adapter, version: 1, expectedSequence: 100 };
}

// Guards against a report from before the outcome of an order: a loaded adapter would count as loading again.
test("a lagging report does not undo what the check of a reported load has shown", () => {
    const planner = createReported({ models: createModels(), coming: ["base/a1"] });
    planner.applyOutcome(createOrder("load", "a2"), "accepted", 10);
    planner.applyOutcome(createOrder("load", "a1"), "holds", 60);
    planner.applyReport(
        { models: createModels(), coming: ["base/a1", "base/a2"], sequence: 101, isBusy: false },
        160,
        162,
    );
    assert.is(planner.findLoadedVersion("base/a1"), 1);
});

// Guards against requests for an adapter that is being unloaded, which the engine holds until its last run has ended.
test("a lagging report does not undo the unload of a reported adapter", () => {
    const planner = createReported({ models: createModels("a1"), coming: [] });
    planner.applyOutcome(createOrder("unload", "a1"), "accepted", 10);
    planner.applyReport({ models: createModels("a1"), coming: [], sequence: 101, isBusy: false }, 160, 162);
    assert.is(planner.findLoadedVersion("base/a1"), undefined);
});

test.run();
