import { test } from "uvu";
import * as assert from "uvu/assert";
import { DecisionLog } from "../src/decisions.js";
import { OverloadMonitor } from "../src/overload.js";

test("the work in the log lines of a VM adds up to its total work", () => {
    let now = 0;
    let wakes = 0;
    const lines: { event: string; sinceMs: number; wakes: number; work: Record<string, number>; }[] = [];
    const sink = { writableLength: 0, write: (text: string) => lines.push(JSON.parse(text) as never) > 0 };
    const monitor = new OverloadMonitor({
        log: new DecisionLog({ program: "p", vm: "v", sink, readTime: () => now }),
        readTime: () => now,
        readProcessorMs: () => 0,
        countLoopIterations: () => wakes,
        intervalMs: 250,
        onLag: () => {},
    });
    for (let i = 0; i < 80; i += 1) {
        now += i === 30 ? 450 : 250;
        wakes += 3;
        monitor.recordWork("choice");
        monitor.recordWork("bytes", 10);
        monitor.check();
    }
    assert.equal(lines.map(({ event }) => event), ["work", "pressed", "work", "work"]);
    const sum = (read: (line: typeof lines[number]) => number): number =>
        lines.reduce((all, line) => all + read(line), 0);
    const total = sum(line => line.work["choice"]!);
    assert.ok(total >= 60, `${total} of 80 checks`);
    assert.equal(sum(line => line.work["bytes"]!), 10 * total);
    assert.equal(sum(line => line.wakes), 3 * total);
});

test("an overloaded VM logs its work since the previous line, and at most one overload line in 5 s", () => {
    let now = 0;
    let processorMs = 0;
    const lines: Record<string, unknown>[] = [];
    const sink = {
        writableLength: 0,
        write: (text: string) => lines.push(JSON.parse(text) as Record<string, unknown>) > 0,
    };
    const lags: number[] = [];
    const monitor = new OverloadMonitor({
        log: new DecisionLog({ program: "p", vm: "v", sink, readTime: () => now }),
        readTime: () => now,
        readProcessorMs: () => processorMs,
        countLoopIterations: () => 0,
        intervalMs: 250,
        onLag: ms => lags.push(ms),
    });
    const advance = (ms: number): void => {
        now += ms;
        monitor.check();
    };
    for (let i = 0; i < 20; i += 1) {
        advance(250);
    }
    assert.equal(lines.map(({ event, sinceMs, work }) => ({ event, sinceMs, work })), [
        { event: "work", sinceMs: 5000, work: {} },
    ]);
    monitor.recordWork("choice");
    monitor.recordWork("choice");
    monitor.recordWork("sent news");
    processorMs = 900;
    advance(400);
    advance(400);
    assert.equal(lines.length, 2);
    const { event, lagMs, sinceMs, processorMs: workMs, work } = lines[1]!;
    assert.equal({ event, lagMs, sinceMs, workMs, work }, {
        event: "pressed",
        lagMs: 150,
        sinceMs: 400,
        workMs: 900,
        work: { choice: 2, "sent news": 1 },
    });
    assert.equal(Math.max(...lags), 150);
});

test.run();
