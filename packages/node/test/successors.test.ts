import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Attempt, AttemptEnd } from "../src/requests/attempt.js";
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
    isEnded = false;
    written = Promise.resolve(true);
    private resolveEnd: (end: AttemptEnd) => void = () => {};

    constructor() {
        this.end = new Promise(resolve => {
            this.resolveEnd = resolve;
        });
    }

    finish(end: AttemptEnd): void {
        this.isEnded = true;
        this.silence.end();
        this.resolveEnd(end);
    }

    endSilent(): boolean {
        const isSilent = this.silence.isSilent;
        if (isSilent) {
            this.finish({ kind: "broken", reason: "upstreamSilent", detail: "" });
        }
        return isSilent;
    }

    cancelUnwritten(): void {}

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
    chooseReady: (job: Job) => Promise<ReadyUpstream | undefined> = async () => this.createReady();
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
            retries: { claimOptional: () => this.isRetryGranted ? { cancel: () => {} } : undefined } as never,
            guard: { isSuspect: () => false },
            log: { record: () => {} } as never,
            readTime: () => performance.now(),
            startAttempt: (_job, _ready, _retry, predecessor) => {
                this.starts += 1;
                predecessor.endSilent();
                return this.successor.createRunning("b");
            },
            onReplaced: () => {},
            onSilence: outcome => this.outcomes.push(outcome),
        });
    }

    createReady(): ReadyUpstream {
        const state = { upstream: { id: "b" }, activity: { readSilenceMs: () => this.successorSilenceMs } };
        return {
            choice: { state } as unknown as ReadyUpstream["choice"],
            admission: { finish: () => this.released.push("b") } as unknown as ReadyUpstream["admission"],
        };
    }

    run(): Promise<unknown> {
        return this.successors.finish(this.job, this.attempt.createRunning("a"));
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
    assert.is(search.job.tried.has("a"), true);
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
        assert.is(search.attempt.isEnded, false);
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
        return search.createReady();
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
    assert.equal(readSilenceLimits({ ...base, expectedMs: 1000, route: createStream(200, 100) }), {
        firstMs: 4000,
        nextMs: 1500,
    });
    assert.equal(readSilenceLimits({ ...base, timeLeftMs: 2000, route: createStream(200, 100) }).firstMs, Infinity);
    assert.equal(readSilenceLimits({ ...base, mayRetry: false, route: createStream(200, 100) }), {
        firstMs: Infinity,
        nextMs: Infinity,
    });
});

test.run();
