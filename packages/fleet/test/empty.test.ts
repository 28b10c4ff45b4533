/**
 * The failure: engines were added without a base model. Nobody could see when they began to take work, and drafts queued at
 * other engines meanwhile. An empty engine looked like the best of all: it had nothing to do, and said that an adapter would be
 * there in 250 ms. The model that it needed first takes 2.9 s and was loaded only when a request asked; requests with an aim
 * of 1 s were sent to wait for it, and where none asked it stayed empty.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    chooseEngine,
    EngineAdmission,
    EnginePlaces,
    FleetView,
    type HeldModel,
    prefillTokensPerMs,
} from "../src/index.js";
import { createNews, createUpstream, limits as usualLimits } from "./engine.js";

const model = { name: "base", weightsMb: 72_700, loadMs: 2900, warmLoadMs: 2900, diskLoadMs: 2900, adapterMb: 20 };
const limits = { ...usualLimits, models: [model] };
const held: HeldModel[] = [{ name: model.name, version: 1, adapters: [] }];

interface LoadedEngine {
    readonly id: string;
    readonly places: EnginePlaces;
    readonly admission: EngineAdmission;
    /** When its model is there, by an order; undefined while there was none. */
    modelAt: number | undefined;
    reports: number;
}

function createEngine(id: string, models: HeldModel[], now: number): LoadedEngine {
    const places = new EnginePlaces({ limits, models, sequence: 0, now });
    places.applyReport({ models, coming: [], sequence: 0, isBusy: false }, now, now);
    return {
        id,
        places,
        admission: new EngineAdmission({ engine: id, places, mayUse: () => true }),
        modelAt: undefined,
        reports: 0,
    };
}

/** Does what the owner of an engine decides, until it waits. */
function runOwner(engine: LoadedEngine, now: number): void {
    for (;;) {
        const step = engine.places.decide(now, () => 0);
        if (step.kind === "wait") {
            return;
        }
        if (step.kind === "order") {
            assert.is(step.order.adapter, undefined);
            engine.modelAt = now + model.loadMs;
            engine.places.applyAnswer(step.order, "accepted", now);
            continue;
        }
        engine.reports += 1;
        const isThere = engine.modelAt !== undefined && now >= engine.modelAt;
        const report = { models: isThere ? held : [], coming: [], sequence: 1, isBusy: !isThere };
        engine.places.applyReport(report, now, now);
    }
}

/** The engine that a VM chooses for a draft, by what the owners tell now. */
function findChoice(engines: readonly LoadedEngine[], now: number): string {
    const view = new FleetView();
    for (const { id, places, admission } of engines) {
        view.updateUpstream({ ...createUpstream(id), models: [] }, now);
        const news = createNews(id, {
            held: places.listHeld(),
            waitMs: admission.readNextTurnMs(now),
            coldLoadMs: places.readLoadMs(false),
            warmLoadMs: places.readLoadMs(true),
            load: admission.load,
        });
        view.updateNews("owner", news, now);
    }
    return chooseEngine({
        view,
        service: { name: "llm", maxConnections: 100, engine: limits },
        dataCentre: "z",
        now,
        penalties: new Map(),
        demand: { model: model.name, adapter: "a7", promptTokens: 9000, outputTokens: 60, parts: [] },
        longPromptTokens: 14_000,
        findKeptTokens: () => 0,
        canAsk: () => true,
    })!.state.upstream.id;
}

/** An engine whose requests will be read in so many milliseconds. */
function createBusyEngine(queueMs: number): LoadedEngine {
    const busy = createEngine("busy", held, 0);
    busy.admission.setRuns("vm", [{
        ticket: 1,
        model: model.name,
        prefillTokens: queueMs * prefillTokensPerMs,
        kvTokens: 0,
        hasLongAnswer: false,
        runMs: 5000,
        onTimeMs: 0,
        patienceMs: 5000,
        endMs: 60_000,
    }], 0);
    return busy;
}

test("an empty engine loads its base model before anybody asks, and takes work as soon as it is there", () => {
    const busy = createBusyEngine(600);
    const empty = createEngine("empty", [], 0);
    assert.is(findChoice([busy, empty], 0), "busy", "a draft is not sent to wait 2.9 s for a model");
    let chosenAt: number | undefined;
    for (let now = 0; now <= 4000 && chosenAt === undefined; now += 10) {
        runOwner(empty, now);
        chosenAt = findChoice([busy, empty], now) === "empty" ? now : undefined;
    }
    assert.ok(chosenAt !== undefined && chosenAt <= model.loadMs + 250, `chosen after ${chosenAt} ms`);
    assert.ok(chosenAt >= model.loadMs - 700, `flooded after ${chosenAt} ms, while its model is on its way`);
    assert.ok(empty.reports <= 2, `${empty.reports} reports, each of which is priced`);
});

test("a request that waits for the model is told how long, or declined if its caller will not", () => {
    const empty = createEngine("empty", [], 0);
    runOwner(empty, 0);
    const request = {
        ticket: 1,
        model: model.name,
        key: "base/a7",
        prefillTokens: 9000,
        kvTokens: 9000,
        hasLongAnswer: false,
        runMs: 500,
        onTimeMs: 1000,
        patienceMs: 1000,
        endMs: 5000,
    };
    const declined = empty.admission.ask("vm", request, 1000);
    assert.equal(declined, { kind: "declined", ticket: 1, expectedMs: 1900 + 250 });
    const queued = empty.admission.ask("vm", { ...request, patienceMs: 4000 }, 1000);
    assert.equal(queued, { kind: "queued", ticket: 1, expectedMs: 1900 + 250 });
    const base = empty.admission.ask("vm", { ...request, key: undefined }, 1000);
    assert.equal(base, { kind: "declined", ticket: 1, expectedMs: 1900 });
});

test("of several models none is loaded before a request tells which one is wanted", () => {
    const several = { ...limits, models: [model, { ...model, name: "other" }] };
    const places = new EnginePlaces({ limits: several, models: [], sequence: 0, now: 0 });
    places.applyReport({ models: [], coming: [], sequence: 0, isBusy: false }, 0, 0);
    assert.is(places.decide(0, () => 0).kind, "wait");
    places.addWant({ key: "other/a1", version: undefined, runMs: 500, onTimeMs: 0 }, 0);
    const step = places.decide(0, () => 0);
    assert.is(step.kind === "order" && step.order.model, "other");
});

test.run();
