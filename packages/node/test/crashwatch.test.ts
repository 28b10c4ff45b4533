import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Timers } from "../src/clock.js";
import { type BrokenRun, CrashMonitor, type ProbeResult, type UpstreamEnd } from "../src/crashes/watch.js";
import { createDigest, createUpstream } from "./fixtures.js";

/** A watch whose timers run when the test says so, and whose probes are answered as the test says. */
function createWatch(answers: ProbeResult[]) {
    const scheduled: { run: () => void; waitMs: number; }[] = [];
    const ends: UpstreamEnd[] = [];
    const asked: string[] = [];
    const timers: Timers = {
        scheduleOnce: (run, waitMs) => {
            scheduled.push({ run, waitMs });
            return { cancel: () => {} };
        },
        scheduleEvery: () => ({ cancel: () => {} }),
    };
    let now = 0;
    const watch = new CrashMonitor({
        readTime: () => now,
        onEnd: end => ends.push({ upstream: end.upstream, runs: [...end.runs] }),
        probe: async address => {
            asked.push(address);
            return answers.shift() ?? "silent";
        },
        timers,
    });
    const runTimers = async (): Promise<void> => {
        for (const { run } of scheduled.splice(0)) {
            run();
        }
        await new Promise(resolve => setImmediate(resolve));
    };
    const setTime = (at: number): void => {
        now = at;
    };
    return { watch, ends, asked, runTimers, setTime };
}

function createRun(path: string, answeringMs?: number): BrokenRun {
    return { requestId: path, digest: createDigest(path), answeringMs, sentMs: 100 };
}

const upstream = createUpstream("e1", { address: "10.0.0.1:1" });

test("an upstream that refuses connections after runs broke there has ended, with all of them, by one probe", async () => {
    const { watch, ends, asked, runTimers } = createWatch(["refused"]);
    void watch.recordBrokenRun(upstream, createRun("/a"));
    const settled = watch.recordBrokenRun(upstream, createRun("/b"));
    await runTimers();
    await settled;
    assert.equal(asked, ["10.0.0.1:1"]);
    assert.equal(ends.map(end => end.runs.map(run => run.requestId)), [["/a", "/b"]]);
});

test("a run whose break is noticed after its upstream's end counts too", async () => {
    const { watch, ends, runTimers } = createWatch(["refused"]);
    void watch.recordBrokenRun(upstream, createRun("/a"));
    await runTimers();
    void watch.recordBrokenRun(upstream, createRun("/b"));
    assert.equal(ends.map(end => end.runs.map(run => run.requestId)), [["/a"], ["/b"]]);
});

test("an upstream that still listens has only lost a connection, and may end at the next break", async () => {
    const { watch, ends, runTimers } = createWatch(["open", "refused"]);
    void watch.recordBrokenRun(upstream, createRun("/a"));
    await runTimers();
    assert.equal(ends, []);
    void watch.recordBrokenRun(upstream, createRun("/b"));
    await runTimers();
    assert.equal(ends.map(end => end.runs.map(run => run.requestId)), [["/b"]]);
});

test("an upstream that does not answer has ended once another process has its address", async () => {
    const { watch, ends, runTimers } = createWatch(["silent", "silent", "silent"]);
    const settled = watch.recordBrokenRun(upstream, createRun("/a"));
    await runTimers();
    // Nobody waits for what only time can tell.
    await settled;
    await runTimers();
    await runTimers();
    watch.receiveEntry(createUpstream("e2", { address: "10.0.0.2:1" }));
    watch.receiveEntry(upstream);
    assert.equal(ends, []);
    watch.receiveEntry(createUpstream("e3", { address: "10.0.0.1:1" }));
    assert.is(ends.length, 1);
});

test("an upstream of which nothing is heard for long is forgotten", async () => {
    const { watch, ends, setTime } = createWatch([]);
    void watch.recordBrokenRun(upstream, createRun("/a"));
    setTime(10_001);
    watch.expireOld();
    watch.receiveEntry(createUpstream("e3", { address: "10.0.0.1:1" }));
    assert.equal(ends, []);
});

test("a run that had been answered for some time is not what ended its upstream", async () => {
    const { watch, ends, runTimers } = createWatch(["refused"]);
    void watch.recordBrokenRun(upstream, createRun("/long", 200));
    void watch.recordBrokenRun(upstream, createRun("/short", 199));
    await runTimers();
    assert.equal(ends.map(end => end.runs.map(run => run.requestId)), [["/short"]]);
});

test("a port without a listener refuses, one with a listener does not", async () => {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const ends: string[] = [];
    const watch = new CrashMonitor({ readTime: () => 0, onEnd: end => ends.push(end.upstream.id) });
    await watch.recordBrokenRun(createUpstream("listening", { address }), createRun("/a"));
    assert.equal(ends, []);
    await new Promise<void>(resolve => server.close(() => resolve()));
    await watch.recordBrokenRun(createUpstream("gone", { address }), createRun("/a"));
    assert.equal(ends, ["gone"]);
});

test.run();
