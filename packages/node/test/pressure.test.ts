import { test } from "uvu";
import * as assert from "uvu/assert";
import { DecisionLog } from "../src/decisions.js";
import { PressureWatch } from "../src/pressure.js";

test("a VM that does not keep up tells what it did since it last told, and no more than once in 5 s", () => {
    let now = 0;
    let processorMs = 0;
    const lines: Record<string, unknown>[] = [];
    const sink = {
        writableLength: 0,
        write: (text: string) => lines.push(JSON.parse(text) as Record<string, unknown>) > 0,
    };
    const lags: number[] = [];
    const watch = new PressureWatch({
        log: new DecisionLog({ program: "p", vm: "v", sink, readTime: () => now }),
        readTime: () => now,
        readProcessorMs: () => processorMs,
        intervalMs: 250,
        onLag: ms => lags.push(ms),
    });
    const advance = (ms: number): void => {
        now += ms;
        watch.check();
    };
    for (let i = 0; i < 20; i += 1) {
        advance(250);
    }
    assert.equal(lines, []);
    watch.recordWork("choice");
    watch.recordWork("choice");
    watch.recordWork("sent news");
    processorMs = 900;
    advance(400);
    advance(400);
    assert.equal(lines.length, 1);
    const { event, lagMs, sinceMs, processorMs: told, work } = lines[0]!;
    assert.equal({ event, lagMs, sinceMs, told, work }, {
        event: "pressed",
        lagMs: 150,
        sinceMs: 5400,
        told: 900,
        work: { choice: 2, "sent news": 1 },
    });
    assert.equal(Math.max(...lags), 150);
});

test.run();
