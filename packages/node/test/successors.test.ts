import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Attempt } from "../src/requests/attempt.js";
import type { AttemptEnd } from "../src/requests/attemptend.js";
import type { Job, ReadyUpstream } from "../src/requests/job.js";
import { SilenceWatch } from "../src/requests/silence.js";
import { type RunningAttempt, Successors } from "../src/requests/successors.js";
import { readSilenceLimits } from "../src/requests/timelimit.js";
import { plainRouting } from "./changingserver.js";

const [route] = plainRouting.routes;

/** An attempt whose upstream the test controls. */
class FakeAttempt {
    readonly silence = new SilenceWatch();
    readonly end: Promise<AttemptEnd>;
    isReplaceable = true;
    isWritten = true;
    ending: "broken" | "other" | undefined;
    written = Promise.resolve(true);
    private resolveEnd: (end: AttemptEnd) => void = () => {};

    constructor() {
        this.end = new Promise(resolve => {
            this.resolveEnd = resolve;
        });
    }

    finish(end: AttemptEnd): void {
        this.ending ??= end.kind === "broken" ? "broken" : "other";
        this.silence.end();
        this.resolveEnd(end);
    }

    endReplaced(): boolean {
        if (this.ending === undefined) {
            this.finish({ kind: "broken", reason: "upstreamSilent", detail: "" });
        }
        return this.ending === "broken";
    }

    cancelSuperseded(): void {
        this.finish({ kind: "superseded", wasSent: true });
    }

    /** Makes the upstream silent. */
    async startSilence(): Promise<void> {
        this.silence.restart(0);
        await this.silence.waitForSilence();
    }

    createRunning(id: string): RunningAttempt {
        const choice = { state: { upstream: { id } } } as unknown as RunningAttempt["choice"];
        return { attempt: this as unknown as Attempt, choice, end: this.end };
    }
}

/** A request at a silent upstream, and what is asked for on its behalf. */
class FakeSearch {
    readonly attempt = new FakeAttempt();
    readonly successor = new FakeAttempt();
    readonly released: string[] = [];
    readonly outcomes: string[] = [];
    readonly job: Job;
    starts = 0;
    successorSilenceMs = 0;
    isRetryGranted = true;
    claimRetry = (): unknown => this.isRetryGranted ? { cancel: () => {} } : undefined;
    startSuccessor: (takeOver: () => boolean) => void = takeOver => void takeOver();
    chooseReady: (job: Job) => Promise<ReadyUpstream | undefined> = async ({ claimant }) => {
        const ready = this.createReady("b", this.successorSilenceMs);
        return claimant.mayChoose?.(ready.choice.state) === true ? ready : undefined;
    };
    private readonly successors: Successors;

    constructor() {
        const caller = { hasLeft: false, left: new Promise<undefined>(() => {}) };
        this.job = {
            caller,
            claimant: caller,
            demand: {},
            route: { ...route!, kind: "safe", maxAttempts: 2 },
            tried: new Map(),
            progress: {},
            runs: 0,
            sends: 0,
        } as unknown as Job;
        this.successors = new Successors({
            chooser: { chooseReady: job => this.chooseReady(job) },
            retries: { mayClaimOptional: () => this.isRetryGranted, claimOptional: () => this.claimRetry() } as never,
            guard: { isSuspect: () => false },
            log: { record: () => {}, recordImportant: () => {} } as never,
            readTime: () => performance.now(),
            startAttempt: (_job, _ready, _retry, takeOver) => {
                this.starts += 1;
                this.startSuccessor(takeOver);
                return this.successor.createRunning("b");
            },
            onReplaced: () => {},
            onSilence: outcome => this.outcomes.push(outcome),
        });
    }

    createReady(id: string, silenceMs: number): ReadyUpstream {
        const state = { upstream: { id }, activity: { readSilenceMs: () => silenceMs } };
        return {
            choice: { state } as unknown as ReadyUpstream["choice"],
            admission: { finish: () => this.released.push(id) } as unknown as ReadyUpstream["admission"],
        };
    }

    run(): Promise<unknown> {
        return this.successors.waitForEnd(this.job, this.attempt.createRunning("a"));
    }

    /** Waits until the search has had the time for some turns. */
    async waitForTurns(): Promise<void> {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
}

const complete: AttemptEnd = { kind: "complete", status: 200 };

test("a silent attempt is replaced once another upstream has admitted the request", async () => {
    const search = new FakeSearch();
    const run = search.run();
    await search.attempt.startSilence();
    await search.attempt.end;
    search.successor.finish(complete);
    assert.equal((await run as { end: AttemptEnd; }).end, complete);
    assert.equal(search.outcomes, ["replaced"]);
});

test("a silent attempt goes on when no upstream, no retry or only a silent upstream is to be had", async () => {
    const setups: ((search: FakeSearch) => void)[] = [
        search => search.chooseReady = async () => undefined,
        search => search.isRetryGranted = false,
        search => search.successorSilenceMs = 1000,
        search => search.attempt.isReplaceable = false,
        search => search.job.runs = 1,
    ];
    for (const setup of setups) {
        const search = new FakeSearch();
        setup(search);
        const run = search.run();
        await search.attempt.startSilence();
        await search.waitForTurns();
        assert.is(search.starts, 0);
        assert.is(search.attempt.ending, undefined);
        search.attempt.silence.restart(60_000);
        await search.waitForTurns();
        search.attempt.finish(complete);
        await run;
        assert.equal(search.outcomes, ["recovered"]);
        assert.is(search.job.tried.has("a"), false);
        assert.is(search.job.claimant, search.job.caller);
    }
});

test("the search for another upstream ends, and what it holds is released, when the silent one goes on", async () => {
    const search = new FakeSearch();
    let hasEnded = false;
    search.chooseReady = async job => {
        await job.claimant.left;
        hasEnded = job.claimant.hasLeft;
        return search.createReady("b", 0);
    };
    const run = search.run();
    await search.attempt.startSilence();
    await search.waitForTurns();
    search.attempt.silence.restart(60_000);
    await search.waitForTurns();
    assert.is(hasEnded, true);
    assert.is(search.starts, 0);
    assert.equal(search.released, ["b"]);
    search.attempt.finish(complete);
    await run;
});

test("a request whose attempt broke during the search stays excluded from that upstream", async () => {
    const search = new FakeSearch();
    const { job, attempt } = search;
    let endSearch: () => void = () => {};
    search.chooseReady = () => new Promise(resolve => endSearch = () => resolve(undefined));
    const run = search.run();
    await attempt.startSilence();
    await search.waitForTurns();
    // `AttemptResults` excludes the upstream in the step in which the attempt ends.
    job.tried.set("a", { costMs: Infinity, until: Infinity, hasDeclined: false });
    attempt.finish({ kind: "broken", reason: "connectionLost", detail: "reset" });
    await search.waitForTurns();
    endSearch();
    await run;
    assert.is(job.tried.has("a"), true);
});

test("another upstream is chosen if the first choice for a silent attempt is silent itself", async () => {
    const search = new FakeSearch();
    const silences = { a: 0, b: 1000, c: 0 };
    search.chooseReady = async ({ claimant }) =>
        Object.entries(silences).map(([id, silenceMs]) => search.createReady(id, silenceMs))
            .find(({ choice }) => claimant.mayChoose?.(choice.state) === true);
    const run = search.run();
    await search.attempt.startSilence();
    await search.waitForTurns();
    const { starts } = search;
    search.successor.finish(complete);
    await run;
    assert.is(starts, 1);
    assert.is(search.attempt.ending, "broken");
});

test("a request is not sent again without a claimed retry, whatever the budget allowed before", async () => {
    const search = new FakeSearch();
    search.claimRetry = () => undefined;
    const run = search.run();
    await search.attempt.startSilence();
    await search.waitForTurns();
    search.attempt.finish(complete);
    await run;
    assert.is(search.starts, 0);
    assert.equal(search.released, ["b"]);
});

test("an error in the search for a successor leaves the silent attempt to its end", async () => {
    const search = new FakeSearch();
    search.startSuccessor = () => {
        throw new TypeError("Invalid URL");
    };
    const run = search.run();
    void run.catch(() => {});
    await search.attempt.startSilence();
    await search.waitForTurns();
    search.attempt.finish(complete);
    let error: unknown;
    await run.catch((reason: unknown) => error = reason);
    assert.is(error, undefined);
    assert.is(search.job.claimant, search.job.caller);
    assert.equal(search.released, ["b"]);
});

test("a successor that connects goes on when the silent attempt breaks", async () => {
    const search = new FakeSearch();
    const { attempt, successor } = search;
    let takeOver: () => boolean = () => false;
    successor.written = new Promise(() => {});
    search.startSuccessor = start => takeOver = start;
    const run = search.run();
    await attempt.startSilence();
    await search.waitForTurns();
    assert.is(search.starts, 1);
    attempt.finish({ kind: "broken", reason: "connectionLost", detail: "reset" });
    await search.waitForTurns();
    assert.is(successor.ending, undefined);
    assert.is(takeOver(), true);
    successor.finish(complete);
    assert.equal((await run as { end: AttemptEnd; }).end, complete);
});

test("a silent attempt goes on when its successor is rejected, or when it goes on itself before that", async () => {
    for (const isRejected of [true, false]) {
        const search = new FakeSearch();
        const { attempt, successor } = search;
        successor.isWritten = isRejected;
        search.startSuccessor = () => {};
        const run = search.run();
        await attempt.startSilence();
        await search.waitForTurns();
        assert.is(search.starts, 1);
        assert.is(attempt.ending, undefined);
        if (isRejected) {
            successor.finish({ kind: "notRun", wasSent: true, isMisdirected: false, detail: "" });
        }
        attempt.silence.restart(60_000);
        await search.waitForTurns();
        assert.is((await successor.end).kind, isRejected ? "notRun" : "superseded");
        attempt.finish(complete);
        assert.equal((await run as { end: AttemptEnd; }).end, complete);
    }
});

test("a stream that goes on after its successor was written is taken over within 0.4 s", async () => {
    const search = new FakeSearch();
    Object.assign(search.job, { route: { ...search.job.route, kind: "stream", isResumable: true } });
    search.startSuccessor = () => {};
    const run = search.run();
    await search.attempt.startSilence();
    await search.waitForTurns();
    search.attempt.silence.restart(60_000);
    await new Promise(resolve => setTimeout(resolve, 360));
    assert.is(search.attempt.ending, "broken");
    search.successor.finish(complete);
    assert.equal((await run as { end: AttemptEnd; }).end, complete);
});

test("a stream runs at two engines for 0.4 s at most, a plain request until one of them responds", async () => {
    for (const kind of ["stream", "safe"] as const) {
        const search = new FakeSearch();
        Object.assign(search.job, {
            caller: { ...search.job.caller, hasResponseHead: true },
            route: { ...search.job.route, kind, isResumable: true },
        });
        search.startSuccessor = () => {};
        const run = search.run();
        await search.attempt.startSilence();
        await new Promise(resolve => setTimeout(resolve, 380));
        assert.is(search.attempt.ending, kind === "stream" ? "broken" : undefined);
        search.attempt.finish(complete);
        search.successor.finish(complete);
        await run;
    }
});

test("a return that an owner reserves for a search is cancelled when the silent attempt goes on", async () => {
    const search = new FakeSearch();
    const { job, attempt } = search;
    let hasReturn = false;
    search.chooseReady = async () => {
        if (!hasReturn) {
            hasReturn = true;
            const cancel = (): void => void (hasReturn = false);
            job.reservedReturn = { engine: "b", returnAt: 1000, isRepeated: false, cancel };
        }
        return undefined;
    };
    const run = search.run();
    await attempt.startSilence();
    await search.waitForTurns();
    attempt.silence.restart(60_000);
    await search.waitForTurns();
    const isHeld = hasReturn;
    attempt.finish(complete);
    await run;
    assert.is(isHeld, false);
});

test("data that arrived while the process stood still end no wait for them", async () => {
    const watch = new SilenceWatch();
    let wasSilent = false;
    void watch.waitForSilence().then(isSilent => wasSilent = isSilent);
    watch.restart(5);
    // Both timers are due after the loop, and data are read after timers, before immediates.
    const data = new Promise(resolve => setTimeout(resolve, 6));
    for (const until = performance.now() + 20; performance.now() < until;) {
        // The process stands still.
    }
    await data;
    watch.restart(60_000);
    await new Promise(resolve => setTimeout(resolve, 10));
    watch.end();
    await new Promise(resolve => setImmediate(resolve));
    assert.is(wasSilent, false);
});

test("no stream is silent for too long within 1.5 s, or within half of the time for which its caller waits", () => {
    const base = { expectedMs: 100, timeLeftMs: 15_000, mayRetry: true };
    const createStream = (aimMs: number, gapAimMs: number) => ({ ...route!, kind: "stream" as const, aimMs, gapAimMs });
    assert.equal(readSilenceLimits({ ...base, route: createStream(1000, 400) }), { firstMs: 2000, nextMs: 2000 });
    assert.equal(readSilenceLimits({ ...base, route: createStream(200, 100) }), { firstMs: 1500, nextMs: 1500 });
    assert.equal(readSilenceLimits({ ...base, expectedMs: 1000, route: createStream(1000, 400) }), {
        firstMs: 3000,
        nextMs: 2000,
    });
    assert.equal(readSilenceLimits({ ...base, timeLeftMs: 2000, route: createStream(200, 100) }).firstMs, Infinity);
    assert.equal(readSilenceLimits({ ...base, mayRetry: false, route: createStream(200, 100) }), {
        firstMs: Infinity,
        nextMs: Infinity,
    });
});

test("another upstream is looked for before the caller of a stream disconnects, however long a response should take", () => {
    const callerLimitMs = 2000;
    for (const expectedMs of [100, 600, 1000]) {
        const { firstMs } = readSilenceLimits({
            route: { ...route!, kind: "stream", aimMs: 200, gapAimMs: 100 },
            expectedMs,
            timeLeftMs: 15_000,
            mayRetry: true,
        });
        assert.ok(firstMs < callerLimitMs, `${firstMs} ms for an expected ${expectedMs} ms`);
    }
});

test("no upstream is searched for while the budget allows no retry", async () => {
    const search = new FakeSearch();
    search.isRetryGranted = false;
    let searches = 0;
    search.chooseReady = async () => {
        searches += 1;
        return undefined;
    };
    const run = search.run();
    await search.attempt.startSilence();
    await search.waitForTurns();
    search.attempt.finish(complete);
    await run;
    assert.is(searches, 0);
});

test("a search changes nothing of what is known about its request", async () => {
    const search = new FakeSearch();
    const before = { moves: 1, redirects: 2, expectedAt: 3 };
    Object.assign(search.job, before);
    search.chooseReady = async job => {
        Object.assign(job, { moves: 4, redirects: 5, expectedAt: 6 });
        return undefined;
    };
    const run = search.run();
    await search.attempt.startSilence();
    await search.waitForTurns();
    search.attempt.finish(complete);
    await run;
    const { moves, redirects, expectedAt } = search.job;
    assert.equal({ moves, redirects, expectedAt }, before);
});

test("a silent attempt that goes on is kept if its successor, though written, is rejected after that", async () => {
    const search = new FakeSearch();
    search.startSuccessor = () => {};
    const run = search.run();
    await search.attempt.startSilence();
    await search.waitForTurns();
    search.attempt.silence.restart(Infinity);
    await search.waitForTurns();
    search.successor.finish({ kind: "notRun", wasSent: true, isMisdirected: false, detail: "" });
    await search.waitForTurns();
    search.attempt.finish(complete);
    assert.equal((await run as { end: AttemptEnd; }).end, complete);
});

test.run();
