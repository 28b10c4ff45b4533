import { type CrashReport, FleetView } from "@radishreel/fleet";
import type { Route, Service } from "@radishreel/routing";
import { setTimeout as wait } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { IncarnationCheck, IncarnationResult } from "../src/crashes/incarnations.js";
import { DecisionLog } from "../src/decisions.js";
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

/** Checks the end of a response of an upstream whose checks have these results. @returns Whether it is doubted. */
function checkEnd(view: FleetView, checkRunning: IncarnationCheck["checkRunning"]): Promise<boolean> {
    return createCrashGuard({ view, incarnations: { checkRunning } }).checkEnded(
        createUpstream("u"),
        createRequest(),
    );
}

test("the log tells why the end of a response that its connection ends was believed or in doubt", async () => {
    const lines: { event: string; request?: string; result?: string; }[] = [];
    const sink = {
        writableLength: 0,
        write: (line: string) => lines.push(JSON.parse(line) as typeof lines[number]) > 0,
    };
    const log = new DecisionLog({ program: "p", vm: "v", sink, readTime: () => 0 });
    const request = createRequest();
    const results = ["same", "other", "unproven", "silent", "refused"] as const;
    for (const result of results) {
        const incarnations = { checkRunning: async () => result };
        await createCrashGuard({ log, view: createView("u"), incarnations }).checkEnded(createUpstream("u"), request);
    }
    assert.equal(
        lines.map(({ event, request, result }) => [event, request, result]),
        results.map(result => [
            result === "same" ? "endConfirmed" : "endDoubted",
            request.demand.requestId,
            result,
        ]),
    );
});

test("an upstream that is not shown to run may have ended, one that is shown to run late has not", async () => {
    const results = {
        refused: async () => "refused",
        silent: async () => "silent",
        other: async () => "other",
        unproven: async () => "unproven",
        never: () => new Promise(() => {}),
        late: async () => wait(1100, "same"),
    } as const;
    const checks = Object.entries(results).map(async ([name, check]) => [
        name,
        await checkEnd(createView("u"), check as () => Promise<IncarnationResult>),
    ]);
    const expected = { refused: true, silent: true, other: true, unproven: true, never: true, late: false };
    assert.equal(Object.fromEntries(await Promise.all(checks)), expected);
});

for (const kind of ["announced", "registered as leaving", "removed"]) {
    for (const last of ["refused", "other", "unproven"] as const) {
        test(`a leaving upstream (${kind}) that is "${last}" at the second check has ended`, async () => {
            const view = kind === "removed" ? new FleetView() : createView("u", kind === "registered as leaving");
            if (kind === "announced") {
                view.recordLeaving("u", 0);
            }
            const results: IncarnationResult[] = ["same", last];
            assert.is(await checkEnd(view, async () => results.shift()!), true);
        });
    }
}

test("a leaving upstream that runs on has not ended, and others are checked once", async () => {
    for (const isLeaving of [true, false]) {
        let checks = 0;
        const isDoubted = await checkEnd(createView("u", isLeaving), async () => {
            checks += 1;
            return "same";
        });
        assert.is(isDoubted, false);
        assert.is(checks, isLeaving ? 2 : 1);
    }
});

test.run();
