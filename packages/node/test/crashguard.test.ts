import { type CrashReport, FleetView } from "@radishreel/fleet";
import type { Route, Service } from "@radishreel/routing";
import { setTimeout as wait } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DecisionLog } from "../src/decisions.js";
import type { ProbeResult } from "../src/paths/index.js";
import type { CallerExchange } from "../src/requests/caller.js";
import { createJob, type Job } from "../src/requests/job.js";
import { createCrashGuard, createDigest, createUpstream } from "./fixtures.js";

let nextRequest = 1;

/** Creates a view that knows one upstream. */
function createView(id: string, isLeaving = false): FleetView {
    const view = new FleetView();
    view.updateUpstream(createUpstream(id, { isLeaving }), 0);
    return view;
}

/** Creates a request whose prompt has these parts and one of its own. */
function createRequest(...parts: string[]): Job {
    nextRequest += 1;
    const promptParts = [...parts, `own${nextRequest}`].map(id => ({ id, tokens: 1 }));
    return createJob({
        caller: { hasLeft: false } as CallerExchange,
        demand: {
            requestId: String(nextRequest),
            budgetMs: undefined,
            lastEventId: undefined,
            model: { model: "base", adapter: undefined, promptTokens: 9, outputTokens: 9, parts: promptParts },
        },
        route: {} as Route,
        service: {} as Service,
        body: undefined,
        digest: createDigest(`/${nextRequest}`),
        startedAt: performance.now(),
        deadlineAt: performance.now() + 60_000,
    });
}

/** Creates the report of an upstream that ended under prompts with these parts. */
function createReport(upstream: string, at: number, ...prompts: string[][]): CrashReport {
    return { name: upstream, crashes: [{ upstream, at, requests: [], prompts }], clearances: [] };
}

test("a waiting request with a condemned part may run no more, and one without may", () => {
    const guard = createCrashGuard();
    const [fatal, sound] = [createRequest("s", "f"), createRequest("s")];
    assert.is(guard.isRefused(fatal), false);
    guard.recordAnswer(createRequest("s"));
    guard.receiveReports(["a", "b", "c", "d"].map(upstream => createReport(upstream, Date.now(), ["f"])));
    assert.is(guard.isRefused(fatal), true);
    assert.is(guard.isRefused(sound), false);
    assert.is(guard.findRefusal(fatal)?.status, 503);
    fatal.runs = 1;
    assert.is(guard.findRefusal(fatal)?.status, 502);
});

test("a request with a part that was never answered is suspect once two ends count against the part", () => {
    const guard = createCrashGuard();
    guard.receiveReports([createReport("a", Date.now(), ["f"], ["s"])]);
    assert.is(guard.isSuspect(createRequest("f")), false);
    guard.receiveReports([createReport("b", Date.now(), ["f"], ["s"])]);
    guard.recordAnswer(createRequest("s"));
    assert.is(guard.isSuspect(createRequest("f")), true);
    assert.is(guard.isSuspect(createRequest("s")), false);
});

test("a complete response clears the parts of its prompt, unless only the close of its connection marked its end", async () => {
    for (const isCloseDelimited of [true, false]) {
        const guard = createCrashGuard();
        guard.receiveReports(["a", "b"].map(upstream => createReport(upstream, Date.now(), ["f"])));
        const end = { kind: "complete", status: 200, isCloseDelimited } as const;
        await guard.recordEnd(createRequest("f"), createUpstream("e"), end, { sentAt: 0, answeringMs: 10 });
        assert.is(guard.isSuspect(createRequest("f")), isCloseDelimited);
    }
});

test("parts whose refusal has ended without a verdict run one request at a time", async () => {
    const guard = createCrashGuard({
        send: (vm, message) => {
            if (message.type === "claimPermit" || message.type === "permitAnswer" || message.type === "releasePermit") {
                guard.receiveMessage(vm, message);
            }
            return true;
        },
    });
    const endedAt = Date.now() - 60_000;
    guard.receiveReports([
        createReport("z", endedAt, ["f"]),
        ...["a", "b", "c", "d", "e", "h"].map(upstream => createReport(upstream, endedAt, ["f"], ["g"])),
    ]);
    const [first, second] = [createRequest("g"), createRequest("x", "g")];
    assert.is(guard.isRefused(first), false);
    assert.is(guard.isAwaitingPermit(first), true);
    await guard.waitForPermit(first);
    assert.is(guard.isAwaitingPermit(first), false);
    let hasPermit = false;
    const waiting = guard.waitForPermit(second).then(() => {
        hasPermit = true;
    });
    await new Promise(resolve => setImmediate(resolve));
    assert.is(hasPermit, false);
    guard.recordAnswer(first);
    guard.endPermit(first);
    await waiting;
    assert.is(guard.isAwaitingPermit(second), false);
    assert.is(guard.isAwaitingPermit(createRequest("g")), false);
});

test("the log tells why the end of a response that its connection ends was believed or in doubt", async () => {
    const lines: { event: string; request?: string; result?: string; }[] = [];
    const sink = {
        writableLength: 0,
        write: (line: string) => lines.push(JSON.parse(line) as typeof lines[number]) > 0,
    };
    const log = new DecisionLog({ program: "p", vm: "v", sink, readTime: () => 0 });
    for (const result of ["open", "silent", "refused"] as const) {
        const guard = createCrashGuard({ log, view: createView("u"), probe: async () => result });
        await guard.checkEnded(createUpstream("u"), { requestId: "r1" });
    }
    assert.equal(lines.map(({ event, request, result }) => [event, request, result]), [
        ["endConfirmed", "r1", "open"],
        ["endDoubted", "r1", "silent"],
        ["endDoubted", "r1", "refused"],
    ]);
});

test("an upstream that nobody can connect to may have ended, one that accepts a connection late has not", async () => {
    const results = {
        refused: async () => "refused",
        silent: async () => "silent",
        never: () => new Promise(() => {}),
        late: async () => wait(100, "open"),
    } as const;
    const checks = Object.entries(results).map(async ([name, probe]) => [
        name,
        await createCrashGuard({ view: createView("u"), probe: probe as () => Promise<ProbeResult> })
            .checkEnded(createUpstream("u"), { requestId: "r1" }),
    ]);
    const expected = { refused: true, silent: true, never: true, late: false };
    assert.equal(Object.fromEntries(await Promise.all(checks)), expected);
});

for (const kind of ["announced", "registered as leaving", "removed"]) {
    test(`a leaving upstream (${kind}) whose port closes after its connections has ended`, async () => {
        const view = kind === "removed" ? new FleetView() : createView("u", kind === "registered as leaving");
        if (kind === "announced") {
            view.recordLeaving("u", 0);
        }
        const results: ProbeResult[] = ["open", "refused"];
        const guard = createCrashGuard({ view, probe: async () => results.shift()! });
        assert.is(await guard.checkEnded(createUpstream("u"), { requestId: "r1" }), true);
    });
}

test("a leaving upstream that goes on accepting connections has not ended, and others are probed once", async () => {
    for (const isLeaving of [true, false]) {
        let probes = 0;
        const probe = async (): Promise<ProbeResult> => {
            probes += 1;
            return "open";
        };
        const guard = createCrashGuard({ view: createView("u", isLeaving), probe });
        assert.is(await guard.checkEnded(createUpstream("u"), { requestId: "r1" }), false);
        assert.is(probes, isLeaving ? 2 : 1);
    }
});

test.run();
