/**
 * Guards against requests that are sent to an engine after the store has acknowledged that it is leaving; 2 s are
 * allowed.
 *
 * The failure: a request waits in the queue of an engine that must load the adapter. The engine announces that it is
 * leaving, and all VMs learn it 0.17 s later, but the owner continues the load, admits the request 2.3 s after the
 * announcement, and the request's VM sends it. Whether an engine is leaving was checked only when it was chosen, not by
 * the owner, nor after the admission, nor when the request was written.
 */
import { type AdmissionReply, FleetView, PauseThreshold, PrefixCache, type Upstream } from "@radishreel/fleet";
import type { Route } from "@radishreel/routing";
import { ok } from "neverthrow";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { OwnedEngines } from "../src/ownership/engines.js";
import type { ClusterChange } from "../src/ports.js";
import { type AdmissionMessage, Admissions } from "../src/requests/admissions.js";
import type { CallerExchange } from "../src/requests/caller.js";
import { UpstreamChooser } from "../src/requests/chooser.js";
import { createJob, type Job } from "../src/requests/job.js";
import { serveWhileChanging } from "./changingserver.js";
import {
    createDigest,
    createEngineStatus,
    createLimiter,
    createSilentLog,
    createUpstream,
    engineService,
} from "./fixtures.js";

const route: Route = {
    name: "r",
    host: "h",
    pathPrefix: "/",
    kind: "stream",
    targets: [{ service: "llm", weight: 1 }],
    timeoutMs: 6000,
    aimMs: 1500,
    gapAimMs: 300,
    priority: 0,
    maxAttempts: 1,
    isResumable: false,
};

const readSteady = () => performance.now();

/** Creates a request that needs an adapter which no engine holds. */
function createRequest(): Job {
    const caller = { hasLeft: false, left: new Promise<undefined>(() => {}) } as CallerExchange;
    const model = { model: "base", adapter: "a1", promptTokens: 100, outputTokens: 10, parts: [] };
    const startedAt = readSteady();
    return createJob({
        caller,
        demand: { requestId: "q", budgetMs: undefined, model, lastEventId: undefined },
        route,
        service: engineService,
        body: undefined,
        digest: createDigest(),
        startedAt,
        deadlineAt: startedAt + route.timeoutMs,
    });
}

/** Starts a request that waits for admission at engine e1; engine e2, which is added later, admits immediately. */
function createWaiting() {
    const view = new FleetView();
    const addEngine = (id: string): void => {
        view.updateUpstream(createUpstream(id), readSteady());
        view.updateStatus("owner", createEngineStatus(id), readSteady());
    };
    addEngine("e1");
    const sent: AdmissionMessage[] = [];
    const admissions: Admissions = new Admissions({
        readTime: readSteady,
        send: (_vm, message) => {
            sent.push(message);
            if (message.type === "admit") {
                const { ticket } = message.request;
                admissions.receiveReply(
                    "owner",
                    message.engine === "e1"
                        ? { kind: "queued", ticket, expectedMs: 200 }
                        : { kind: "admitted", ticket, version: 1 },
                );
            }
            return true;
        },
    });
    const chooser = new UpstreamChooser({
        dataCentre: "z",
        view,
        admissions,
        limiter: createLimiter(view),
        prefixCache: new PrefixCache(),
        longPromptThreshold: new PauseThreshold(),
        log: createSilentLog(readSteady),
        readTime: readSteady,
        isLinked: () => true,
        sendPreparation: () => {},
        onChoice: () => {},
        onRedirect: () => {},
    });
    const ready = chooser.chooseReady(createRequest());
    const admit = sent.find(message => message.type === "admit")!;
    // From now on engine e2 can take the request; `leave` announces that e1 is leaving.
    addEngine("e2");
    const leave = (): void => view.updateUpstream(createUpstream("e1", { isLeaving: true }), readSteady());
    return { view, admissions, sent, ready, ticket: admit.request.ticket, leave };
}

test("a request that is admitted at an engine which is leaving by then goes to another engine", async () => {
    const { admissions, sent, ready, ticket, leave } = createWaiting();
    leave();
    // The owner of e1 does not know yet that e1 is leaving.
    admissions.receiveReply("owner", { kind: "admitted", ticket, version: 1 });
    assert.is((await ready)?.choice.state.upstream.id, "e2");
    assert.ok(sent.some(message => message.type === "ended" && message.ticket === ticket));
});

test("a request that is admitted at an engine which is deregistered by then goes to another engine", async () => {
    const { view, admissions, ready, ticket } = createWaiting();
    view.removeUpstream("e1");
    admissions.receiveReply("owner", { kind: "admitted", ticket, version: 1 });
    assert.is((await ready)?.choice.state.upstream.id, "e2");
});

test("a request that waits at a leaving engine goes to another engine without a reply of the owner", async () => {
    const { sent, ready, ticket, leave } = createWaiting();
    leave();
    assert.is((await ready)?.choice.state.upstream.id, "e2");
    assert.ok(sent.some(message => message.type === "ended" && message.ticket === ticket));
});

/** Creates the owner of engine e1. The test decides when the engine's report arrives. */
function createOwner() {
    const view = new FleetView();
    view.updateUpstream(createUpstream("e1"), 0);
    const replies: AdmissionReply[] = [];
    const orders: string[] = [];
    let sendReport: () => void = () => {};
    const engines = new OwnedEngines({
        vm: "a",
        view,
        orders: {
            send: (_upstream, order) => {
                orders.push(`${order.action} ${order.adapter}`);
                return Promise.resolve("accepted");
            },
            readReport: () =>
                new Promise(resolve => {
                    const models = [{ name: "base", version: 1, adapters: [] }];
                    sendReport = () => resolve(ok({ sequence: 0, isBusy: false, coming: [], models }));
                }),
        },
        log: createSilentLog(() => 0),
        readTime: () => 0,
        findService: () => engineService,
        mayOrder: () => true,
        readFence: () => 7,
        readOrderFence: () => 7,
        sendStatuses: () => {},
        sendReply: (_vm, reply) => replies.push(reply),
        countOthers: () => 2,
    });
    engines.update(() => true);
    return {
        view,
        engines,
        replies,
        orders,
        ask: (ticket: number) => {
            const times = { runMs: 100, onTimeMs: 400, patienceMs: 4000, endMs: 9000 };
            const request = { ticket, model: "base", key: "base/a1", prefillTokens: 10, kvTokens: 20, ...times };
            engines.receiveAdmissionMessage("b", {
                type: "admit",
                engine: "e1",
                request: { ...request, hasLongAnswer: false },
            });
        },
        report: async () => {
            sendReport();
            await new Promise(resolve => setImmediate(resolve));
        },
    };
}

test("the owner of a leaving engine declines waiting and new requests and sends no more orders", async () => {
    const { view, engines, replies, orders, ask, report } = createOwner();
    ask(1);
    view.updateUpstream(createUpstream("e1", { isLeaving: true }), 0);
    engines.update(() => true);
    ask(2);
    // A VM that does not know yet that e1 is leaving requests a newer version there.
    engines.prepareAdapter("e1", { key: "base/a2", version: 2, runMs: 0, onTimeMs: 0 });
    await report();
    engines.stop();
    assert.equal(replies.map(({ kind, ticket }) => [kind, ticket]), [["queued", 1], ["declined", 1], ["declined", 2]]);
    assert.equal(orders, []);
});

test("the owner of an engine that is not leaving orders the load for a waiting request", async () => {
    const { engines, replies, orders, ask, report } = createOwner();
    ask(1);
    await report();
    engines.stop();
    assert.equal(replies.map(({ kind }) => kind), ["queued", "declined"]);
    assert.equal(orders, ["load a1"]);
});

/** Changes that a VM may learn about an upstream while it opens a connection to it. */
const changes: Record<string, (upstream: Upstream) => ClusterChange> = {
    leaves: upstream => ({ kind: "upstream", upstream: { ...upstream, isLeaving: true }, position: 9 }),
    "is gone": upstream => ({ kind: "upstreamGone", name: upstream.name, position: 9 }),
};

for (const [what, createChange] of Object.entries(changes)) {
    test(`nothing is written to an upstream that ${what} before its connection is open`, async () => {
        const { status, text, reached, first } = await serveWhileChanging({ createChange });
        assert.equal([status, text], [200, "whole"]);
        assert.equal(reached, ["s1", "s2"].filter(id => id !== first));
    });
}

test.run();
