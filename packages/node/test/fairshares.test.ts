/** Guards against reports of account usage that go to VMs without engines, come without need, or do harm when wrong. */
import { FleetView, type UsageReport } from "@radishreel/fleet";
import { encodeFrame, FrameReader } from "@radishreel/wire";
import { Registry } from "prom-client";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DecisionLog } from "../src/decisions.js";
import { type PeerMessage, peerMessageSchema } from "../src/links/messages.js";
import { OwnedEngines } from "../src/ownership/engines.js";
import { FairShares } from "../src/ownership/fairshares.js";
import { createEngineStatus, createSilentLog, createUpstream, engineService } from "./fixtures.js";

interface LogLine {
    readonly event: string;
    readonly from?: string;
}

/** Creates the shares of VM `a`, which knows an engine of its own, engines of `b` and `c`, and one without owner. */
function createShares() {
    const view = new FleetView();
    for (const [index, owner] of ["a", "b", "b", "c", undefined].entries()) {
        const engine = `e${index}@1`;
        view.updateUpstream(createUpstream(engine, { name: `e${index}`, bornAt: 1 }), 0);
        if (owner !== undefined) {
            view.updateStatus(owner, createEngineStatus(engine), 0);
        }
    }
    const time = { now: 0 };
    const state = { waiting: 0 };
    const sent: { readonly vms: readonly string[]; readonly message: PeerMessage; }[] = [];
    const lines: LogLine[] = [];
    const registry = new Registry();
    const sink = { writableLength: 0, write: (text: string) => lines.push(JSON.parse(text) as LogLine) > 0 };
    const readTime = (): number => time.now;
    const shares = new FairShares({
        vm: "a",
        view,
        log: new DecisionLog({ program: "p", vm: "a", sink, readTime }),
        readTime,
        countWaiting: () => state.waiting,
        sendToAll: (vms, message) => sent.push({ vms, message }),
        registry,
    });
    return { shares, view, time, state, sent, lines, registry };
}

test("usage goes to the other owners of engines only, and only while requests wait", () => {
    const { shares, time, state, sent, lines } = createShares();
    shares.ledger.recordStart("x", 1000, 0);
    shares.update();
    assert.equal(sent, []);
    state.waiting = 3;
    shares.update();
    assert.equal(sent, [{ vms: ["b", "c"], message: { type: "accountUse", usage: [["x", 1000]] } }]);
    time.now = 250;
    shares.update();
    assert.is(sent.length, 1);
    state.waiting = 0;
    time.now = 2000;
    shares.ledger.recordStart("x", 1000, 2000);
    shares.update();
    assert.is(sent.length, 1);
    assert.equal(lines.map(({ event }) => event), ["sharesBegun", "sharesEnded"]);
});

test("a VM that knows no other owner sends nothing", () => {
    const { shares, view, state, sent } = createShares();
    view.removeUpstream("e1@1");
    view.removeUpstream("e2@1");
    view.removeUpstream("e3@1");
    state.waiting = 1;
    shares.ledger.recordStart("x", 1000, 0);
    shares.update();
    assert.equal(sent, []);
});

test("a wrong report is bounded by the engines of its sender, and logged once in a while", async () => {
    const { shares, time, lines, registry } = createShares();
    for (let message = 0; message < 100; message += 1) {
        shares.receiveReport("b", [["x", Number.MAX_SAFE_INTEGER], ["y", -1]]);
        shares.receiveReport("unknown", [["z", 2 ** 40]]);
    }
    assert.is(shares.ledger.readUsage("x", 0), 1_000_000);
    assert.is(shares.ledger.readUsage("z", 0), 500_000);
    assert.is(shares.ledger.readUsage("y", 0), 0);
    assert.equal(lines.map(({ event, from }) => [event, from]), [["accountUseImplausible", "b"]]);
    time.now = 6000;
    shares.receiveReport("c", []);
    assert.is(lines.at(-1)?.from, "c");
    assert.match(await registry.metrics(), "radishreel_node_account_use_implausible_total 201");
});

test("metrics name a bounded number of accounts", async () => {
    const { shares, time, state, registry } = createShares();
    state.waiting = 1;
    for (let index = 0; index < 1000; index += 1) {
        time.now = index;
        shares.ledger.recordStart(index % 3 === 0 ? undefined : `account${index}`, 1000, time.now);
        shares.update();
    }
    const text = await registry.metrics();
    const labels = text.split("\n").filter(line => line.startsWith("radishreel_node_account_usage_tokens{"));
    assert.ok(labels.length === 20, `${labels.length}`);
    assert.match(text, "radishreel_node_shares_active 1");
});

/** Passes a message over the wire. */
function sendOverWire(message: unknown): PeerMessage {
    const [frame] = new FrameReader(1 << 20).receive(encodeFrame(message))._unsafeUnwrap();
    return peerMessageSchema.parse(frame);
}

test("a report that cannot be read does not close the link, which also carries admissions", () => {
    const usage: UsageReport = [["x", 1000], ["", 5]];
    assert.equal(sendOverWire({ type: "accountUse", usage }), { type: "accountUse", usage });
    for (const wrong of [undefined, 5, "x", {}, [["x", Infinity]], [["x", Number.NaN]], [[1, 1]], [["x"]]]) {
        assert.equal(sendOverWire({ type: "accountUse", usage: wrong }), { type: "accountUse", usage: [] });
    }
    assert.equal(sendOverWire({ type: "accountUse" }), { type: "accountUse", usage: [] });
});

test("an owner counts the requests that it starts by account, and knows how many wait", () => {
    const view = new FleetView();
    view.updateUpstream(createUpstream("e1@1", { name: "e1", bornAt: 1 }), 0);
    const starts: unknown[] = [];
    const readTime = (): number => 0;
    const engines = new OwnedEngines({
        vm: "a",
        view,
        orders: { send: () => Promise.resolve("unknown"), readReport: () => new Promise(() => {}) },
        log: createSilentLog(readTime),
        readTime,
        findService: () => engineService,
        mayOrder: () => true,
        readFence: () => 7,
        readOrderFence: () => 7,
        sendStatuses: () => {},
        sendReply: () => {},
        countOthers: () => 2,
        timers: { scheduleOnce: () => ({ cancel: () => {} }), scheduleEvery: () => ({ cancel: () => {} }) },
        ledger: { readUsage: () => 0, recordStart: (account, tokens) => starts.push([account, tokens]) },
    });
    engines.update(() => true);
    const request = {
        ticket: 1,
        model: "base",
        prefillTokens: 10,
        kvTokens: 120,
        outputTokens: 100,
        hasLongAnswer: false,
        runMs: 100,
        onTimeMs: 400,
        patienceMs: 2000,
        endMs: 5000,
        account: "x",
    };
    engines.receiveAdmissionMessage("b", { type: "admit", engine: "e1@1", request });
    engines.receiveAdmissionMessage("b", {
        type: "admit",
        engine: "e1@1",
        request: { ...request, ticket: 2, key: "k" },
    });
    assert.equal(starts, [["x", 1010]]);
    assert.is(engines.waitingCount, 1);
    engines.stop();
});

test.run();
