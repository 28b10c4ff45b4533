import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Timers } from "../src/clock.js";
import { type BrokenRun, CrashMonitor, type UpstreamEnd } from "../src/crashes/monitor.js";
import { checkListening, DirectConnector, type ProbeResult } from "../src/paths/index.js";
import { createDigest, createUpstream } from "./fixtures.js";

/** Creates a monitor whose timers and probe results are controlled by the test. */
function createMonitor(results: ProbeResult[]) {
    const scheduled: { run: () => void; waitMs: number; }[] = [];
    const ends: UpstreamEnd[] = [];
    const probedAddresses: string[] = [];
    const timers: Timers = {
        scheduleOnce: (run, waitMs) => {
            scheduled.push({ run, waitMs });
            return { cancel: () => {} };
        },
        scheduleEvery: () => ({ cancel: () => {} }),
    };
    let now = 0;
    const monitor = new CrashMonitor({
        readTime: () => now,
        onEnd: end => ends.push({ upstream: end.upstream, runs: [...end.runs] }),
        probe: async ({ address }) => {
            probedAddresses.push(address);
            return results.shift() ?? "silent";
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
    return { monitor, ends, probedAddresses, runTimers, setTime };
}

function createRun(path: string, answeringMs?: number): BrokenRun {
    return { requestId: path, digest: createDigest(path), parts: [], answeringMs, sentMs: 100 };
}

const upstream = createUpstream("e1", { address: "10.0.0.1:1" });

test("an upstream that refuses one probe after two runs broke is reported as ended with both runs", async () => {
    const { monitor, ends, probedAddresses, runTimers } = createMonitor(["refused"]);
    void monitor.recordBrokenRun(upstream, createRun("/a"));
    const settled = monitor.recordBrokenRun(upstream, createRun("/b"));
    await runTimers();
    await settled;
    assert.equal(probedAddresses, ["10.0.0.1:1"]);
    assert.equal(ends.map(end => end.runs.map(run => run.requestId)), [["/a", "/b"]]);
});

test("a run whose break is recorded after its upstream's end is reported too", async () => {
    const { monitor, ends, runTimers } = createMonitor(["refused"]);
    void monitor.recordBrokenRun(upstream, createRun("/a"));
    await runTimers();
    void monitor.recordBrokenRun(upstream, createRun("/b"));
    assert.equal(ends.map(end => end.runs.map(run => run.requestId)), [["/a"], ["/b"]]);
});

test("an upstream that accepts the probe is not reported as ended, and is probed again at the next break", async () => {
    const { monitor, ends, runTimers } = createMonitor(["open", "refused"]);
    void monitor.recordBrokenRun(upstream, createRun("/a"));
    await runTimers();
    assert.equal(ends, []);
    void monitor.recordBrokenRun(upstream, createRun("/b"));
    await runTimers();
    assert.equal(ends.map(end => end.runs.map(run => run.requestId)), [["/b"]]);
});

test("an upstream that does not respond is reported as ended once another process uses its address", async () => {
    const { monitor, ends, runTimers } = createMonitor(["silent", "silent", "silent"]);
    const settled = monitor.recordBrokenRun(upstream, createRun("/a"));
    await runTimers();
    // Callers do not wait for the later probes.
    await settled;
    await runTimers();
    await runTimers();
    monitor.receiveEntry(createUpstream("e2", { address: "10.0.0.2:1" }));
    monitor.receiveEntry(upstream);
    assert.equal(ends, []);
    monitor.receiveEntry(createUpstream("e3", { address: "10.0.0.1:1" }));
    assert.is(ends.length, 1);
});

test("runs ended in a silence of an upstream that accepts connections do not count when it restarts later", async () => {
    for (const results of [["open"], ["silent", "open"]] as const) {
        const { monitor, ends, runTimers } = createMonitor([...results]);
        void monitor.recordBrokenRun(upstream, { ...createRun("/a"), isSilent: true });
        void monitor.recordBrokenRun(upstream, createRun("/b"));
        await runTimers();
        await runTimers();
        monitor.receiveEntry(createUpstream("e3", { address: "10.0.0.1:1" }));
        assert.equal(ends.map(end => end.runs.map(run => run.requestId)), [["/b"]]);
    }
});

test("a run ended in a silence counts if its upstream refuses the probe", async () => {
    const { monitor, ends, runTimers } = createMonitor(["silent", "refused"]);
    void monitor.recordBrokenRun(upstream, { ...createRun("/a"), isSilent: true });
    await runTimers();
    await runTimers();
    assert.equal(ends.map(end => end.runs.map(run => run.requestId)), [["/a"]]);
});

test("an upstream whose end is not detected in time is no longer watched", async () => {
    const { monitor, ends, setTime } = createMonitor([]);
    void monitor.recordBrokenRun(upstream, createRun("/a"));
    setTime(10_001);
    monitor.expireOld();
    monitor.receiveEntry(createUpstream("e3", { address: "10.0.0.1:1" }));
    assert.equal(ends, []);
});

test("a run that received events for 200 ms does not count as the cause of its upstream's end", async () => {
    const { monitor, ends, runTimers } = createMonitor(["refused"]);
    void monitor.recordBrokenRun(upstream, createRun("/long", 200));
    void monitor.recordBrokenRun(upstream, createRun("/short", 199));
    await runTimers();
    assert.equal(ends.map(end => end.runs.map(run => run.requestId)), [["/short"]]);
});

test("an upstream without a listener is reported as ended, an upstream with a listener is not", async () => {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const ends: string[] = [];
    const connector = new DirectConnector();
    const monitor = new CrashMonitor({
        readTime: () => 0,
        onEnd: end => ends.push(end.upstream.id),
        probe: upstream => checkListening(connector, upstream),
    });
    await monitor.recordBrokenRun(createUpstream("listening", { address }), createRun("/a"));
    assert.equal(ends, []);
    await new Promise<void>(resolve => server.close(() => resolve()));
    await monitor.recordBrokenRun(createUpstream("gone", { address }), createRun("/a"));
    assert.equal(ends, ["gone"]);
});

test.run();
