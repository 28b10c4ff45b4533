import { FleetView, PauseThreshold, PrefixCache } from "@radishreel/fleet";
import type { Route } from "@radishreel/routing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type AdmissionMessage, Admissions } from "../src/requests/admissions.js";
import type { CallerExchange } from "../src/requests/caller.js";
import { UpstreamChooser, type UpstreamChooserOptions } from "../src/requests/chooser.js";
import { createJob, type Job } from "../src/requests/job.js";
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
    aimMs: 500,
    gapAimMs: 300,
    priority: 0,
    maxAttempts: 1,
    isResumable: false,
};

/** Creates a chooser with engines that one other VM owns. The test replies for that VM in `onMessage`. */
function createChooser(
    engines: string[],
    onMessage: (message: AdmissionMessage, admissions: Admissions) => void,
    readBoot?: () => number,
    versions?: UpstreamChooserOptions["versions"],
) {
    const readTime = () => performance.now();
    const view = new FleetView();
    for (const id of engines) {
        view.updateUpstream(createUpstream(id), readTime());
        view.updateStatus("owner", createEngineStatus(id), readTime());
    }
    const messages: AdmissionMessage[] = [];
    const counts = { choices: 0 };
    const admissions: Admissions = new Admissions({
        readTime,
        send: (_vm, message) => {
            messages.push(message);
            onMessage(message, admissions);
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
        log: createSilentLog(readTime),
        readTime,
        readBoot,
        versions,
        isLinked: () => true,
        sendPreparation: () => {},
        onChoice: () => {
            counts.choices += 1;
        },
        onRedirect: () => {},
    });
    return { chooser, messages, view, counts };
}

function createRequest(timeMs: number): Job {
    const caller = { hasLeft: false, left: new Promise<undefined>(() => {}) } as CallerExchange;
    const model = { model: "base", adapter: "a1", promptTokens: 100, outputTokens: 10, parts: [] };
    const startedAt = performance.now();
    return createJob({
        caller,
        demand: { requestId: "q", budgetMs: timeMs, model, lastEventId: undefined },
        route,
        service: engineService,
        body: undefined,
        digest: createDigest(),
        startedAt,
        deadlineAt: startedAt + timeMs,
    });
}

test("a request whose owner always replies immediately that it owns nothing leaves the event loop free", async () => {
    const { chooser } = createChooser(["e1", "e2"], (message, admissions) => {
        if (message.type === "admit") {
            admissions.receiveReply("owner", { kind: "notOwned", ticket: message.request.ticket });
        }
    });
    let turns = 0;
    const timer = setInterval(() => turns += 1, 5);
    const ready = await chooser.chooseReady(createRequest(400));
    clearInterval(timer);
    assert.is(ready, undefined);
    assert.ok(turns > 0);
});

test("a stream that has begun is sent only to its software version, and refused at once without an upstream of it", async () => {
    const { chooser, view } = createChooser(["e1", "e2", "e3"], (message, admissions) => {
        if (message.type === "admit") {
            admissions.receiveReply("owner", { kind: "admitted", ticket: message.request.ticket, version: 3 });
        }
    });
    view.updateUpstream({ ...createUpstream("e2"), softwareVersion: "v1.1" }, performance.now());
    for (const [softwareVersion, engine] of [["v1", "e1"], ["v1.1", "e2"]] as const) {
        const job = { ...createRequest(6000), origin: { service: "llm", softwareVersion } };
        view.addOwnLoad({ upstream: engine, backlogTokens: 50_000, kvTokens: 0, hasLongAnswer: false }, 0);
        view.addOwnLoad({ upstream: "e3", backlogTokens: 90_000, kvTokens: 0, hasLongAnswer: false }, 0);
        assert.is((await chooser.chooseReady(job))?.choice.state.upstream.id, engine);
    }
    const gone = { ...createRequest(6000), origin: { service: "llm", softwareVersion: "v2" } };
    let hasEnded = false;
    void chooser.chooseReady(gone).then(ready => hasEnded = ready === undefined);
    await new Promise(resolve => setImmediate(resolve));
    assert.is(hasEnded, true);
    assert.is(chooser.hasEndedStream(gone), true);
});

test("a stream begins at a version with several upstreams rather than at one with a single one", async () => {
    const versions = { mayBegin: () => true, hasSeveral: () => true };
    for (const single of ["e1", "e2", "e3"]) {
        const { chooser, view } = createChooser(
            ["e1", "e2", "e3"],
            (message, admissions) => {
                if (message.type === "admit") {
                    admissions.receiveReply("owner", { kind: "admitted", ticket: message.request.ticket, version: 3 });
                }
            },
            undefined,
            versions,
        );
        view.updateUpstream({ ...createUpstream(single), softwareVersion: "v1.1" }, performance.now());
        for (const engine of ["e1", "e2", "e3"].filter(id => id !== single)) {
            view.addOwnLoad({ upstream: engine, backlogTokens: 2000, kvTokens: 0, hasLongAnswer: false }, 0);
        }
        const ready = await chooser.chooseReady(createRequest(6000));
        assert.is.not(ready?.choice.state.upstream.id, single);
    }
});

test("a waiting request compares engines once for a burst of engine status messages", async () => {
    const { chooser, view, counts } = createChooser(["e1"], (message, admissions) => {
        if (message.type === "admit") {
            admissions.receiveReply("owner", { kind: "admitted", ticket: message.request.ticket, version: 3 });
        }
    });
    view.removeVm("owner");
    const ready = chooser.chooseReady(createRequest(6000));
    for (let update = 0; update < 30; update += 1) {
        chooser.receiveEngineStatus();
        // All promise callbacks run before the next message, but no timer does.
        for (let step = 0; step < 20; step += 1) {
            await Promise.resolve();
        }
    }
    assert.is(counts.choices, 1);
    view.updateStatus("owner", createEngineStatus("e1"), performance.now());
    chooser.receiveEngineStatus();
    assert.is((await ready)?.choice.version, 3);
    assert.is(counts.choices, 2);
});

test("a request that one engine declines is admitted by another; it is refused once the best has declined", async () => {
    const requests: string[] = [];
    const { chooser } = createChooser(["e1", "e2"], (message, admissions) => {
        if (message.type !== "admit") {
            return;
        }
        requests.push(message.engine);
        const { ticket } = message.request;
        admissions.receiveReply(
            "owner",
            requests.length === 1
                ? { kind: "declined", ticket, expectedMs: 9000 }
                : { kind: "admitted", ticket, version: 3 },
        );
    });
    const ready = await chooser.chooseReady(createRequest(6000));
    assert.is(requests.length, 2);
    assert.is.not(requests[0], requests[1]);
    assert.is(ready?.choice.version, 3);
    const declined: string[] = [];
    const full = createChooser(["e1", "e2"], (message, admissions) => {
        if (message.type === "admit") {
            declined.push(message.engine);
            const { ticket } = message.request;
            admissions.receiveReply("owner", { kind: "declined", ticket, expectedMs: 9000 });
        }
    });
    const job = createRequest(6000);
    assert.is(await full.chooser.chooseReady(job), undefined);
    assert.equal(declined.sort(), ["e1", "e2"]);
    assert.ok(job.expectedAt! - job.startedAt > 8000);
});

test("a request whose engine is busier than expected is redirected, but accepts any load after four times", async () => {
    const requests: { engine: string; expectedQueueMs: number | undefined; }[] = [];
    const load = { active: 9, backlogTokens: 90_000, kvTokens: 90_000, longAnswers: 0, largestPrompt: 9000 };
    const { chooser, view } = createChooser(["e1", "e2"], (message, admissions) => {
        if (message.type !== "admit") {
            return;
        }
        const { ticket, expectedQueueMs } = message.request;
        requests.push({ engine: message.engine, expectedQueueMs });
        admissions.receiveReply(
            "owner",
            expectedQueueMs === undefined
                ? { kind: "admitted", ticket, version: 3 }
                : { kind: "busier", ticket, load, version: 3, isComing: false },
        );
    });
    const ready = await chooser.chooseReady(createRequest(6000));
    assert.is(ready?.choice.version, 3);
    assert.is(requests.length, 5);
    assert.equal(new Set(requests.slice(0, 2).map(({ engine }) => engine)), new Set(["e1", "e2"]));
    assert.equal(requests.map(({ expectedQueueMs }) => expectedQueueMs !== undefined), [true, true, true, true, false]);
    assert.equal(view.findUpstream("e1")?.status?.held, { "base/a1": 3 });
    assert.is(view.readLoad("e2").backlogTokens, 90_000);
});

test("a request that needs a load asks for the newest version, not for one that would start too late", async () => {
    const { chooser, messages, view } = createChooser(["e1"], (message, admissions) => {
        if (message.type === "admit") {
            admissions.receiveReply("owner", { kind: "admitted", ticket: message.request.ticket, version: 2 });
        }
    });
    const status = view.findUpstream("e1")!.status!;
    const load = { ...status.load, backlogTokens: 120_000 };
    view.updateStatus("owner", { ...status, revision: 2, held: { "base/a1": 1 }, load }, performance.now());
    view.versions.update("base/a1", 2, performance.now());
    await chooser.chooseReady(createRequest(6000));
    assert.equal(messages.flatMap(message => message.type === "admit" ? [message.request.version] : []), [2]);
});

test("a request whose owner does not reply is sent without admission to an engine with the adapter", async () => {
    const { chooser, messages, view } = createChooser(["e1"], () => {});
    const status = view.findUpstream("e1")!.status!;
    view.updateStatus("owner", { ...status, revision: 2, held: { "base/a1": 4 } }, performance.now());
    const ready = await chooser.chooseReady(createRequest(6000));
    assert.is(ready?.choice.version, 4);
    assert.equal(messages.map(message => message.type), ["admit", "ended"]);
});

test("a VM that was suspended counts the time of its suspension when it checks versions", async () => {
    let bootAheadMs = 0;
    const versions: (number | undefined)[] = [];
    const { chooser, view } = createChooser(["e1"], (message, admissions) => {
        if (message.type === "admit") {
            versions.push(message.request.version);
            admissions.receiveReply("owner", { kind: "declined", ticket: message.request.ticket, expectedMs: 9000 });
        }
    }, () => performance.now() + bootAheadMs);
    const status = view.findUpstream("e1")!.status!;
    view.updateStatus("owner", { ...status, revision: 2, canOrder: false, held: { "base/a1": 1 } }, performance.now());
    view.versions.update("base/a1", 2, performance.now());
    await chooser.chooseReady(createRequest(100));
    assert.equal(versions, [undefined]);
    bootAheadMs = 10_000;
    // The owner may not send orders, so only a loaded version can be chosen.
    assert.is(await chooser.chooseReady(createRequest(100)), undefined);
    assert.equal(versions, [undefined]);
    view.updateStatus("owner", { ...status, revision: 3, held: { "base/a1": 1 } }, performance.now());
    await chooser.chooseReady(createRequest(100));
    assert.equal(versions, [undefined, 2]);
});

test("an admission with a version that this VM knows to have expired is not used", async () => {
    const named: number[] = [];
    const { chooser, view } = createChooser(["e1"], (message, admissions) => {
        if (message.type === "admit") {
            const version = Math.min(2, named.length + 1);
            named.push(version);
            admissions.receiveReply("owner", { kind: "admitted", ticket: message.request.ticket, version });
        }
    });
    view.versions.update("base/a1", 2, -Infinity);
    const ready = await chooser.chooseReady(createRequest(6000));
    assert.is(ready?.choice.version, 2);
    assert.equal(named, [1, 2]);
});

test.run();
