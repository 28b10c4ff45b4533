import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    type AccountClass,
    type DispatchCommand,
    Dispatcher,
    type DispatcherOptions,
    type DispatchEvent,
    type DispatchRequest,
} from "../src/index.js";

function createRequest(id: string, options: Partial<DispatchRequest> = {}): DispatchRequest {
    return {
        id,
        model: "a@1",
        account: "one",
        accountClass: "paying",
        weight: 1,
        arrivedAt: 0,
        deadlineAt: 10_000,
        ...options,
    };
}

function createLease(
    id: string,
    models: readonly string[],
    options: { batchRoom?: number; isLeaving?: boolean; othersPaying?: number; instance?: string; } = {},
): DispatchEvent {
    const { batchRoom = 2, isLeaving = false, othersPaying = 0, instance = "1" } = options;
    return { type: "engine", engine: { id, instance, batchRoom, isLeaving, models, othersPaying, othersTrial: 0 } };
}

function listDispatched(commands: readonly DispatchCommand[]): string[] {
    return commands.filter(command => command.type === "dispatch").map(command => command.request.id);
}

/** Creates a dispatcher with a lease of `a@1` on one engine. */
function createDispatcher(options: DispatcherOptions = {}, batchRoom = 2): Dispatcher {
    const dispatcher = new Dispatcher(options);
    dispatcher.decide(createLease("engine", ["a@1"], { batchRoom }), 0);
    return dispatcher;
}

test("a request is dispatched immediately to an engine that has room and a lease of its model", () => {
    const dispatcher = createDispatcher();
    assert.equal(listDispatched(dispatcher.decide({ type: "arrive", request: createRequest("1") }, 0)), ["1"]);
});

test("a request waits while its model is not leased and is dispatched when it becomes leased", () => {
    const dispatcher = createDispatcher();
    assert.equal(dispatcher.decide({ type: "arrive", request: createRequest("1", { model: "b@1" }) }, 0), []);
    assert.equal(dispatcher.readDemand(100)[0], {
        model: "b@1",
        paying: { count: 1, ageMs: 100 },
        trial: { count: 0, ageMs: 0 },
        payingArrivals: 1,
        trialArrivals: 0,
    });
    const [command] = dispatcher.decide(createLease("engine", ["a@1", "b@1"]), 500);
    assert.ok(command?.type === "dispatch" && command.stallMs === 500);
});

test("when batch room becomes free, a paying request is dispatched before a trial request that arrived earlier", () => {
    const dispatcher = createDispatcher({}, 1);
    dispatcher.decide({ type: "arrive", request: createRequest("running") }, 0);
    dispatcher.decide(
        { type: "arrive", request: createRequest("trial", { accountClass: "trial", account: "t" }) },
        1,
    );
    dispatcher.decide({ type: "arrive", request: createRequest("paying") }, 2);
    const commands = dispatcher.decide(
        { type: "ended", requestId: "running", engineId: "engine", outcome: "complete" },
        3,
    );
    assert.equal(listDispatched(commands), ["paying"]);
});

test("a paying request is dispatched to an engine that is full of trial requests", () => {
    const dispatcher = createDispatcher({}, 2);
    for (const id of ["1", "2", "3"]) {
        dispatcher.decide({ type: "arrive", request: createRequest(id, { accountClass: "trial", account: "t" }) }, 0);
    }
    assert.equal(listDispatched(dispatcher.decide({ type: "arrive", request: createRequest("paying") }, 1)), [
        "paying",
    ]);
});

test("a burst of one client account does not starve another account of the same class", () => {
    const dispatcher = createDispatcher({}, 1);
    dispatcher.decide({ type: "arrive", request: createRequest("running", { account: "burst" }) }, 0);
    for (let index = 0; index < 20; index++) {
        dispatcher.decide({
            type: "arrive",
            request: createRequest(`burst-${index}`, { account: "burst", arrivedAt: 1 }),
        }, 1);
    }
    dispatcher.decide({ type: "arrive", request: createRequest("rival", { account: "rival", arrivedAt: 2 }) }, 2);
    const order: string[] = [];
    let running = "running";
    for (let index = 0; index < 3; index++) {
        const [next] = listDispatched(
            dispatcher.decide({ type: "ended", requestId: running, engineId: "engine", outcome: "complete" }, 3),
        );
        order.push(next!);
        running = next!;
    }
    assert.ok(order.slice(0, 2).includes("rival"), order.join(" "));
});

test("a request that cannot meet its deadline is refused immediately, with a Retry-After", () => {
    const dispatcher = createDispatcher();
    dispatcher.decide({ type: "outlook", outlook: { payingWaitMs: 20_000, trialWaitMs: 20_000, loadMs: 500 } }, 0);
    const [command] = dispatcher.decide({ type: "arrive", request: createRequest("1", { model: "cold@1" }) }, 0);
    assert.ok(command?.type === "refuse");
    assert.equal([command.verdict.reason, command.verdict.retryAfterSeconds], ["deadlineUnreachable", 20]);
});

test("a request whose load can no longer finish in time is refused at that time, not at its deadline", () => {
    const dispatcher = createDispatcher();
    dispatcher.decide({ type: "outlook", outlook: { payingWaitMs: 0, trialWaitMs: 0, loadMs: 500 } }, 0);
    dispatcher.decide({ type: "arrive", request: createRequest("1", { model: "cold@1", deadlineAt: 2000 }) }, 0);
    assert.is(dispatcher.findNextWake(0), 1500);
    assert.equal(dispatcher.decide({ type: "tick" }, 1499), []);
    const [command] = dispatcher.decide({ type: "tick" }, 1500);
    assert.ok(command?.type === "refuse" && command.verdict.reason === "deadlinePassed");
});

test("a request waits until its deadline while its model is loading", () => {
    const dispatcher = createDispatcher();
    dispatcher.decide({ type: "arrive", request: createRequest("1", { model: "cold@1", deadlineAt: 2000 }) }, 0);
    dispatcher.decide(
        { type: "outlook", outlook: { payingWaitMs: 0, trialWaitMs: 0, loadMs: 500, loading: "cold@1" } },
        0,
    );
    assert.equal(dispatcher.decide({ type: "tick" }, 1999), []);
    assert.is(dispatcher.decide({ type: "tick" }, 2000)[0]?.type, "refuse");
});

test("a leaving engine gets no new requests, and the demand for its models is reported", () => {
    const dispatcher = createDispatcher();
    dispatcher.decide(createLease("engine", ["a@1"], { isLeaving: true }), 1);
    assert.equal(dispatcher.decide({ type: "arrive", request: createRequest("1") }, 2), []);
    assert.is(dispatcher.readDemand(3, true)[0]?.paying.count, 1);
});

/** Reasons for which an attempt was not run and is retried. */
for (const reason of ["connectFailed", "upstreamRefused", "leaseLapsed"] as const) {
    test(`an attempt that was not run because of "${reason}" is retried on another engine`, () => {
        const dispatcher = createDispatcher();
        dispatcher.decide(createLease("other", ["a@1"]), 0);
        const [first] = dispatcher.decide({ type: "arrive", request: createRequest("1") }, 0);
        assert.ok(first?.type === "dispatch");
        const commands = dispatcher.decide({
            type: "ended",
            requestId: "1",
            engineId: first.engineId,
            outcome: "notRun",
            reason,
        }, 1);
        const second = commands.find(command => command.type === "dispatch");
        assert.ok(second?.type === "dispatch" && second.engineId !== first.engineId);
    });
}

test("an attempt that may have run is not retried", () => {
    const dispatcher = createDispatcher();
    dispatcher.decide(createLease("other", ["a@1"]), 0);
    const [first] = dispatcher.decide({ type: "arrive", request: createRequest("1") }, 0);
    assert.ok(first?.type === "dispatch");
    assert.equal(
        dispatcher.decide({ type: "ended", requestId: "1", engineId: first.engineId, outcome: "mayHaveRun" }, 1),
        [],
    );
});

test("the retry budget limits the attempts on an engine that refuses every request", () => {
    const dispatcher = createDispatcher();
    let dispatches = 0;
    let refusals = 0;
    let now = 0;
    for (let index = 0; index < 200; index++) {
        let commands = dispatcher.decide({
            type: "arrive",
            request: createRequest(String(index), { arrivedAt: now, deadlineAt: now + 100 }),
        }, now);
        for (;;) {
            refusals += commands.filter(command => command.type === "refuse").length;
            const dispatch = commands.find(command => command.type === "dispatch");
            if (dispatch === undefined) {
                break;
            }
            dispatches++;
            commands = dispatcher.decide({
                type: "ended",
                requestId: dispatch.request.id,
                engineId: "engine",
                outcome: "notRun",
                reason: "connectFailed",
            }, now);
        }
        now += 200;
        refusals += dispatcher.decide({ type: "tick" }, now).filter(command => command.type === "refuse").length;
    }
    assert.is(refusals, 200);
    assert.ok(dispatches < 230, `${dispatches} dispatches`);
});

test("an engine that fails five times in a row is paused, then probed with one request", () => {
    const dispatcher = createDispatcher({}, 8);
    for (let index = 0; index < 5; index++) {
        dispatcher.decide({ type: "arrive", request: createRequest(`f${index}`) }, 0);
        dispatcher.decide({
            type: "ended",
            requestId: `f${index}`,
            engineId: "engine",
            outcome: "mayHaveRun",
            reason: "upstreamFailed",
        }, 0);
    }
    for (const id of ["1", "2"]) {
        assert.equal(dispatcher.decide({ type: "arrive", request: createRequest(id) }, 1), []);
    }
    assert.equal(listDispatched(dispatcher.decide({ type: "tick" }, 1001)), ["1"]);
    assert.equal(
        listDispatched(
            dispatcher.decide({ type: "ended", requestId: "1", engineId: "engine", outcome: "complete" }, 1002),
        ),
        ["2"],
    );
});

test("an engine after a cold start gets only part of its batch room", () => {
    const dispatcher = createDispatcher({}, 8);
    dispatcher.decide(createLease("engine", ["a@1"], { batchRoom: 8, instance: "2" }), 1);
    const dispatched = Array.from(
        { length: 8 },
        (_, index) => dispatcher.decide({ type: "arrive", request: createRequest(String(index)) }, 2),
    ).flatMap(listDispatched);
    assert.equal(dispatched, ["0", "1"]);
});

test("a high stall weight chooses the emptier engine, a low one the fuller engine", () => {
    const choose = (stallWeight: number): string | undefined => {
        const dispatcher = new Dispatcher({ stallWeight });
        dispatcher.decide(createLease("empty", ["a@1"], { batchRoom: 8 }), 0);
        dispatcher.decide(createLease("busy", ["a@1"], { batchRoom: 8, othersPaying: 4 }), 0);
        const [command] = dispatcher.decide({ type: "arrive", request: createRequest("1") }, 0);
        return command?.type === "dispatch" ? command.engineId : undefined;
    };
    assert.is(choose(0.9), "empty");
    assert.is(choose(0.1), "busy");
});

test("a request is dispatched to the engine that has its prompt's prefix cached", () => {
    const dispatcher = new Dispatcher({ stallWeight: 0.9 });
    dispatcher.decide(createLease("empty", ["a@1"], { batchRoom: 8 }), 0);
    dispatcher.decide(createLease("busy", ["a@1"], { batchRoom: 8, othersPaying: 2 }), 0);
    dispatcher.decide({ type: "prefix", engineId: "busy", prefix: "p", isCached: true }, 0);
    const [command] = dispatcher.decide({ type: "arrive", request: createRequest("1", { prefix: "p" }) }, 0);
    assert.ok(command?.type === "dispatch" && command.engineId === "busy");
});

interface Step {
    readonly kind: "arrive" | "end" | "fail" | "cancel" | "lease" | "gone" | "tick";
    readonly pick: number;
    readonly model: string;
    readonly accountClass: AccountClass;
    readonly engine: string;
    readonly models: string[];
}

const modelNames = ["a@1", "b@1", "c@1"];
const stepArbitrary: fc.Arbitrary<Step> = fc.record({
    kind: fc.constantFrom(
        "arrive",
        "arrive",
        "arrive",
        "end",
        "end",
        "fail",
        "cancel",
        "lease",
        "lease",
        "gone",
        "tick",
    ),
    pick: fc.nat(50),
    model: fc.constantFrom(...modelNames),
    accountClass: fc.constantFrom<AccountClass>("paying", "trial"),
    engine: fc.constantFrom("x", "y"),
    models: fc.subarray(modelNames),
});

/** Reference model of the dispatcher: the waiting, running and finished requests, and the leased models per engine. */
class ExpectedState {
    readonly waiting = new Map<string, DispatchRequest>();
    readonly running = new Map<string, { request: DispatchRequest; engineId: string; }>();
    readonly finished = new Set<string>();
    readonly leases = new Map<string, Set<string>>();

    receive(commands: readonly DispatchCommand[]): void {
        for (const command of commands) {
            if (command.type === "dispatch") {
                const { request, engineId } = command;
                assert.ok(this.waiting.delete(request.id), `${request.id} is dispatched without waiting`);
                assert.ok(this.leases.get(engineId)?.has(request.model), `${request.id} is dispatched without a lease`);
                this.running.set(request.id, { request, engineId });
            }
            if (command.type === "refuse") {
                assert.ok(this.waiting.delete(command.request.id), `${command.request.id} is refused without waiting`);
                this.finished.add(command.request.id);
            }
        }
    }

    /** Checks that no trial request was dispatched while a paying request could have used its room. */
    check(commands: readonly DispatchCommand[]): void {
        const trials = commands.filter(command =>
            command.type === "dispatch" && command.request.accountClass === "trial"
        );
        for (const trial of trials) {
            const engineId = trial.type === "dispatch" ? trial.engineId : "";
            const leasedModels = this.leases.get(engineId) ?? new Set();
            const overtaken = [...this.waiting.values()].find(request =>
                request.accountClass === "paying" && leasedModels.has(request.model)
            );
            assert.is(overtaken, undefined, "a trial request was dispatched before a paying one");
        }
    }
}

test("in random event sequences, no request is lost, finished twice or dispatched without a lease of its model", () => {
    fc.assert(
        fc.property(fc.array(stepArbitrary, { maxLength: 120 }), steps => {
            const dispatcher = new Dispatcher({ breakerFailures: 1000, retryShare: 1 });
            const expected = new ExpectedState();
            let now = 0;
            let count = 0;
            let hasFailed = false;
            const run = (event: DispatchEvent): void => {
                const commands = dispatcher.decide(event, now);
                expected.receive(commands);
                // ExpectedState does not model that an engine that refuses a model is not chosen before its next grant.
                if (!hasFailed) {
                    expected.check(commands);
                }
            };
            for (const { kind, pick, model, accountClass, engine, models } of steps) {
                now += 50;
                const running = [...expected.running.values()][pick % Math.max(1, expected.running.size)];
                switch (kind) {
                    case "arrive": {
                        const request = createRequest(String(++count), {
                            model,
                            accountClass,
                            account: `account-${pick % 3}`,
                            arrivedAt: now,
                            deadlineAt: now + 1000,
                        });
                        expected.waiting.set(request.id, request);
                        run({ type: "arrive", request });
                        break;
                    }
                    case "end":
                    case "fail":
                        hasFailed ||= kind === "fail";
                        if (running !== undefined) {
                            const { request, engineId } = running;
                            expected.running.delete(request.id);
                            if (kind === "end") {
                                expected.finished.add(request.id);
                            }
                            else {
                                expected.waiting.set(request.id, request);
                            }
                            run({
                                type: "ended",
                                requestId: request.id,
                                engineId,
                                outcome: kind === "end" ? "complete" : "notRun",
                                reason: "leaseLapsed",
                            });
                        }
                        break;
                    case "cancel": {
                        const [id] = [...expected.waiting.keys()];
                        if (id !== undefined) {
                            expected.waiting.delete(id);
                            expected.finished.add(id);
                            run({ type: "cancel", requestId: id });
                        }
                        break;
                    }
                    case "lease":
                        expected.leases.set(engine, new Set(models));
                        run(createLease(engine, models, { batchRoom: 3 }));
                        break;
                    case "gone":
                        expected.leases.delete(engine);
                        run({ type: "engineGone", engineId: engine });
                        break;
                    case "tick":
                        run({ type: "tick" });
                }
                assert.is(
                    expected.waiting.size + expected.running.size + expected.finished.size,
                    count,
                    "a request was lost",
                );
                assert.is(dispatcher.openRequests, expected.waiting.size + expected.running.size);
            }
            now += 5000;
            run({ type: "tick" });
            assert.is(expected.waiting.size, 0, "a request waits beyond its deadline");
        }),
        { seed: 17, numRuns: 1500 },
    );
});

test.run();
