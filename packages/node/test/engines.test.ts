import { type AdmissionReply, type EngineOrder, type EngineStatus, FleetView } from "@radishreel/fleet";
import { err, ok } from "neverthrow";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Timers } from "../src/clock.js";
import { defaultFeatures, type NodeFeatures } from "../src/features.js";
import { OwnedEngines } from "../src/ownership/engines.js";
import type { TransferSettings } from "../src/ownership/transfers.js";
import type { EngineOrders } from "../src/ports.js";
import { createEngineStatus, createSilentLog, createUpstream, engineService } from "./fixtures.js";

/** Timers that count repeated timers and run none by themselves. */
class CountingTimers implements Timers {
    repeated = 0;
    /** The newest repeated timer, and its interval in milliseconds. */
    last: { readonly run: () => void; readonly ms: number; } | undefined;

    scheduleOnce() {
        return { cancel: () => {} };
    }

    scheduleEvery(run: () => void, ms: number) {
        this.repeated += 1;
        this.last = { run, ms };
        return {
            cancel: () => {
                this.repeated -= 1;
            },
        };
    }
}

/** Options of {@link createEngines}. */
interface TestedEnginesOptions {
    readonly timers?: Timers;
    readonly countOthers?: () => number;
    readonly readBoot?: () => number;
    readonly orders?: EngineOrders;
    readonly features?: NodeFeatures;
    readonly transfers?: TransferSettings | undefined;
}

function createEngines(options: TestedEnginesOptions = {}) {
    const { timers, countOthers = () => 2, readBoot, orders, features, transfers } = options;
    const view = new FleetView();
    view.updateUpstream(createUpstream("e1@1", { name: "e1", bornAt: 1 }), 0);
    const statuses: EngineStatus[] = [];
    const messages: number[] = [];
    const replies: AdmissionReply[] = [];
    const readTime = () => 0;
    const engines = new OwnedEngines({
        vm: "a",
        view,
        orders: orders ?? { send: () => Promise.resolve("unknown"), readReport: () => Promise.resolve(err("unknown")) },
        log: createSilentLog(readTime),
        readTime,
        readBoot,
        findService: () => engineService,
        mayOrder: () => true,
        readFence: () => 7,
        readOrderFence: () => 7,
        sendStatuses: sent => {
            messages.push(sent.length);
            statuses.push(...sent);
        },
        sendReply: (_vm, reply) => replies.push(reply),
        countOthers,
        timers,
        features,
        transfers,
    });
    return { engines, statuses, messages, replies, view };
}

const request = {
    ticket: 1,
    model: "base",
    key: "base/a1",
    prefillTokens: 10,
    kvTokens: 20,
    hasLongAnswer: false,
    runMs: 100,
    onTimeMs: 400,
    patienceMs: 2000,
    endMs: 5000,
};

test("releasing an engine declines waiting requests and sends a status with a higher revision than all before", () => {
    const { engines, statuses, replies, view } = createEngines();
    engines.update(() => true);
    engines.receiveAdmissionMessage("b", { type: "admit", engine: "e1@1", request });
    engines.update(() => false);
    engines.stop();
    assert.equal(replies.map(({ kind }) => kind), ["queued", "declined"]);
    const last = statuses.at(-1)!;
    assert.equal([last.isOwned, last.canOrder], [false, false]);
    for (const status of statuses) {
        assert.is(view.updateStatus("a", status, 0), true);
    }
    assert.is(view.findUpstream("e1@1")?.owner, undefined);
});

test("an engine that opens no connection in time declines no request at once, and one that refuses them does", async () => {
    for (const failure of ["silent", "unreachable"] as const) {
        const orders = { send: () => Promise.resolve(failure), readReport: () => Promise.resolve(err(failure)) };
        const { engines, statuses, replies } = createEngines({ orders });
        engines.update(() => true);
        engines.receiveAdmissionMessage("b", { type: "admit", engine: "e1@1", request });
        await new Promise(resolve => setImmediate(resolve));
        engines.receiveAdmissionMessage("b", { type: "admit", engine: "e1@1", request: { ...request, ticket: 2 } });
        const expected = failure === "silent" ? ["queued", "queued"] : ["queued", "declined", "declined"];
        assert.equal(replies.map(({ kind }) => kind), expected);
        // Other VMs prefer other engines, but may still ask for this one.
        const { isReachable, canOrder } = statuses.at(-1)!;
        assert.equal([isReachable, canOrder], [false, failure === "silent"]);
        engines.stop();
    }
});

test("a declined request is told when it may return only with engine scheduling", () => {
    // Guards against an owner that does not reserve returns, and against replies that change without the feature.
    for (const hasEngineScheduling of [true, false]) {
        const { engines, replies } = createEngines({ features: { ...defaultFeatures, hasEngineScheduling } });
        engines.update(() => true);
        const late = { ...request, patienceMs: 1, endMs: 30_000, returnKey: "k" };
        engines.receiveAdmissionMessage("b", { type: "admit", engine: "e1@1", request: late });
        engines.receiveAdmissionMessage("c", { type: "admit", engine: "e1@1", request: late });
        const [first, second] = replies;
        assert.ok(first?.kind === "declined" && second?.kind === "declined");
        assert.is(first.returnMs !== undefined && first.returnMs >= 100, hasEngineScheduling);
        assert.is(second.isRepeated, hasEngineScheduling ? true : undefined);
        engines.stop();
    }
});

/** Guards against a switch that does not reach the admission, or that changes deployments without it. */
test("requests wait for room, and statuses state the waits by priority, only with engine scheduling", () => {
    for (const hasEngineScheduling of [undefined, false, true]) {
        const features = { ...defaultFeatures, hasEngineScheduling: hasEngineScheduling === true };
        const { engines, replies, view } = createEngines(hasEngineScheduling === undefined ? {} : { features });
        const run = { ...request, kvTokens: engineService.engine!.kvTokens };
        view.updateStatus("z", createEngineStatus("e1@1", { held: { [request.key]: 1 } }), 0);
        engines.update(() => true);
        engines.receiveAdmissionMessage("b", { type: "runs", engine: "e1@1", requests: [run] });
        engines.receiveAdmissionMessage("b", { type: "admit", engine: "e1@1", request: { ...request, ticket: 2 } });
        const other = { ...request, ticket: 3, key: "base/a2", priority: 0 };
        engines.receiveAdmissionMessage("b", { type: "admit", engine: "e1@1", request: other });
        const isOn = hasEngineScheduling === true;
        assert.equal(replies.map(({ kind }) => kind), [isOn ? "queued" : "admitted", "queued"]);
        assert.equal(engines.listStatuses()[0]!.waits?.map(({ priority }) => priority), isOn ? [0] : undefined);
        engines.stop();
    }
});

test("statuses report transfers only with the transfer budget", () => {
    for (const [transfers, expected] of [[undefined, undefined], [{}, { inFlight: 0, waiting: 0 }]] as const) {
        const { engines } = createEngines({ transfers });
        engines.update(() => true);
        const [status] = engines.listStatuses();
        engines.stop();
        assert.is("transfers" in status!, expected !== undefined);
        assert.equal(status!.transfers, expected);
    }
});

/** Guards against room that stays unused from the first event of a response until the next message. */
test("a request that waits for the prompts in the engine is admitted when one of them has been read", () => {
    const { engines, replies, view } = createEngines({ features: { ...defaultFeatures, hasEngineScheduling: true } });
    view.updateStatus("z", createEngineStatus("e1@1", { held: { [request.key]: 1 } }), 0);
    engines.update(() => true);
    const prompt = { ...request, prefillTokens: 9000 };
    for (const ticket of [1, 2]) {
        engines.receiveAdmissionMessage("b", { type: "admit", engine: "e1@1", request: { ...prompt, ticket } });
    }
    engines.receiveAdmissionMessage("b", { type: "begun", engine: "e1@1", ticket: 1 });
    assert.equal(replies.map(({ kind, ticket }) => [kind, ticket]), [["admitted", 1], ["queued", 2], ["admitted", 2]]);
    engines.stop();
});

test("the status timer runs only while a VM owns engines", () => {
    const timers = new CountingTimers();
    const { engines } = createEngines({ timers });
    assert.is(timers.repeated, 0);
    engines.update(() => true);
    assert.is(timers.repeated, 1);
    engines.update(() => false);
    assert.is(timers.repeated, 0);
    engines.update(() => true);
    engines.stop();
    assert.is(timers.repeated, 0);
});

test("the interval of the status timer follows the number of other VMs, with one timer at a time", () => {
    const timers = new CountingTimers();
    let others = 2;
    const { engines } = createEngines({ timers, countOthers: () => others });
    engines.update(() => true);
    assert.is(timers.last?.ms, 100);
    for (const [count, ms] of [[69, 828], [69, 828], [90, 1080], [3, 100]] as const) {
        others = count;
        timers.last!.run();
        assert.is(timers.last?.ms, ms);
        assert.is(timers.repeated, 1);
    }
    engines.stop();
    assert.is(timers.repeated, 0);
});

test("the load in a listed status does not change when more requests run", () => {
    const { engines, statuses } = createEngines();
    engines.update(() => true);
    engines.receiveAdmissionMessage("b", { type: "runs", engine: "e1@1", requests: [request] });
    const [status] = engines.listStatuses();
    engines.receiveAdmissionMessage("b", {
        type: "runs",
        engine: "e1@1",
        requests: [request, { ...request, ticket: 2 }],
    });
    engines.stop();
    assert.is(status!.load.active, 1);
    assert.ok(statuses.length > 0);
});

test("an assignment that adds or removes several engines sends all their statuses in one message", () => {
    const { engines, statuses, messages, view } = createEngines();
    for (const name of ["e2", "e3", "e4"]) {
        view.updateUpstream(createUpstream(`${name}@1`, { name, bornAt: 1 }), 0);
    }
    engines.update(() => true);
    assert.equal(messages, [4]);
    assert.ok(statuses.every(({ isOwned, canOrder }) => isOwned && canOrder));
    engines.update(name => name === "e4");
    assert.equal(messages, [4, 3]);
    engines.stop();
    assert.equal(messages, [4, 3, 1]);
    for (const status of statuses) {
        assert.is(view.updateStatus("a", status, 0), true);
    }
});

test("a list of running requests that the owner already knows does not advance the engine", () => {
    const { engines, view } = createEngines();
    const isUsable = view.isUsable.bind(view);
    let usableChecks = 0;
    view.isUsable = id => {
        usableChecks += 1;
        return isUsable(id);
    };
    engines.update(() => true);
    engines.receiveAdmissionMessage("b", { type: "runs", engine: "e1@1", requests: [request] });
    const before = usableChecks;
    engines.receiveAdmissionMessage("b", { type: "runs", engine: "e1@1", requests: [request] });
    engines.receiveAdmissionMessage("c", { type: "runs", engine: "e1@1", requests: [] });
    assert.is(usableChecks, before);
    engines.receiveAdmissionMessage("c", { type: "runs", engine: "e1@1", requests: [{ ...request, ticket: 2 }] });
    assert.is(usableChecks, before + 1);
    assert.is(engines.listStatuses()[0]!.load.active, 2);
    engines.stop();
});

test("a VM replies notOwned to a request for admission to an engine that it does not own", () => {
    const { engines, replies } = createEngines();
    engines.receiveAdmissionMessage("b", { type: "admit", engine: "e1@1", request });
    engines.stop();
    assert.equal(replies, [{ kind: "notOwned", ticket: 1 }]);
});

test("an owner admits no request for an adapter version replaced long ago, even if its VM was suspended since", () => {
    const { engines, replies, view } = createEngines({ readBoot: () => 10_000 });
    view.updateStatus("b", createEngineStatus("e1@1", { held: { "base/a1": 1 } }), 0);
    engines.update(() => true);
    engines.receiveAdmissionMessage("b", { type: "admit", engine: "e1@1", request });
    view.versions.update("base/a1", 2, 0);
    engines.receiveAdmissionMessage("b", { type: "admit", engine: "e1@1", request: { ...request, ticket: 2 } });
    engines.stop();
    assert.equal(replies.slice(0, 2).map(({ kind }) => kind), ["admitted", "queued"]);
});

test("an owner loads the newest known adapter version for a waiting request that names no version", async () => {
    const models = [{ name: "base", version: 1, adapters: [] }];
    const { engines, order } = await new Promise<{ engines: OwnedEngines; order: EngineOrder; }>(resolve => {
        const created = createEngines({
            orders: {
                send: (_upstream, order) => {
                    resolve({ engines: created.engines, order });
                    return Promise.resolve("unknown");
                },
                readReport: () => Promise.resolve(ok({ models, coming: [], sequence: 0, isBusy: false })),
            },
        });
        created.view.versions.update("base/a1", 3, -Infinity);
        created.engines.update(() => true);
        created.engines.receiveAdmissionMessage("b", { type: "admit", engine: "e1@1", request });
    });
    engines.stop();
    assert.equal([order.action, order.adapter, order.version], ["load", "a1", 3]);
});

test("a restarted engine counts as a new engine: its owner releases the old one and starts with a new revision", () => {
    const { engines, statuses, view } = createEngines();
    engines.update(() => true);
    const before = view.findUpstream("e1@1")!.upstream;
    view.removeUpstream("e1@1");
    view.updateUpstream({ ...before, id: "e1@2", bornAt: 2 }, 0);
    engines.update(() => true);
    engines.stop();
    assert.equal(statuses.filter(({ isOwned }) => !isOwned).map(({ engine }) => engine), ["e1@1", "e1@2"]);
    assert.is(statuses.find(({ engine }) => engine === "e1@2")?.revision, 1);
});

test.run();
