import { FleetView, PauseThreshold, PrefixCache } from "@radishreel/fleet";
import type { Route } from "@radishreel/routing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type AdmissionMessage, Admissions } from "../src/requests/admissions.js";
import type { CallerExchange } from "../src/requests/caller.js";
import { UpstreamChooser } from "../src/requests/chooser.js";
import { createJob } from "../src/requests/job.js";
import { serveWhileChanging } from "./changingserver.js";
import {
    createDigest,
    createEngineStatus,
    createLimiter,
    createSilentLog,
    createUpstream,
    engineService,
} from "./fixtures.js";

const readSteady = () => performance.now();

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

test("nothing is written to an upstream that requests backoff before its connection is open", async () => {
    const { status, reached, first } = await serveWhileChanging({
        onOpening: (view, upstream) => view.backoffs.record(upstream, 60_000, readSteady()),
    });
    assert.is(status, 200);
    assert.equal(reached, ["s1", "s2"].filter(id => id !== first));
});

/** Starts a request that waits at engine e1, whose owner expects to admit it after 200 ms. Engine e2 is added later. */
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
    const startedAt = readSteady();
    const ready = chooser.chooseReady(createJob({
        caller: { hasLeft: false, left: new Promise<undefined>(() => {}) } as CallerExchange,
        demand: {
            requestId: "q",
            budgetMs: undefined,
            model: { model: "base", adapter: "a1", promptTokens: 100, outputTokens: 10, parts: [] },
            lastEventId: undefined,
        },
        route,
        service: engineService,
        body: undefined,
        digest: createDigest(),
        startedAt,
        deadlineAt: startedAt + route.timeoutMs,
    }));
    const admit = sent.find(message => message.type === "admit")!;
    return { view, admissions, ready, ticket: admit.request.ticket, addEngine };
}

test("a request that is admitted at an engine which backs off from its VM by then goes to another engine", async () => {
    const { view, admissions, ready, ticket, addEngine } = createWaiting();
    view.backoffs.record("e1", 60_000, readSteady());
    addEngine("e2");
    admissions.receiveReply("owner", { kind: "admitted", ticket, version: 1 });
    assert.is((await ready)?.choice.state.upstream.id, "e2");
});

test("a request that waits at an engine whose backoff exceeds the expected wait goes to another engine", async () => {
    const { view, ready, addEngine } = createWaiting();
    view.backoffs.record("e1", 60_000, readSteady());
    addEngine("e2");
    assert.is((await ready)?.choice.state.upstream.id, "e2");
});

test("an engine that backs off from one VM stays usable and is chosen again when the backoff ends", async () => {
    const view = new FleetView();
    view.updateUpstream(createUpstream("e1"), 0);
    view.backoffs.record("e1", 3000, 0);
    assert.equal([view.isUsable("e1"), view.listUsable("llm").length], [true, 1]);
    assert.equal([2999, 3000].map(now => view.listAvailable("llm", now).length), [0, 1]);
    assert.is(view.findUpstream("e1")!.health.readFailureShare(3000), 0);
});

test.run();
