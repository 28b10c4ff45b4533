/**
 * The failure: on days of 91 VMs a fifth of the drafts (prompts of 9,000 tokens, an aim of 1 s) were late, though engines stood
 * idle and nobody waited for an adapter: half of the late ones were sent within 13 ms of their arrival, and their first event
 * came 1.6 s later in place of the 0.4 s that had been expected. All VMs hear of an engine's load at the same moment, once in
 * 1.1 s at that size; until the next time all of them send to the one that was idle then. The owner, which knows better, let
 * everything in whose adapter was loaded. Each late draft had 3 others of its adapter sent to its engine in the 1.5 s before it
 * by a third of the VMs alone; drafts in time had fewer than one.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type HerdLoad, runHerd } from "./herd.js";

/** Drafts of one busy adapter at seven tenths of what the engines that hold it can read. */
const load: HerdLoad = {
    seed: 1,
    vms: 91,
    engines: 8,
    requestsPerSecond: 24,
    promptTokens: 9000,
    newsPauseMs: 1080,
    lengthMs: 30_000,
};

test("drafts of many VMs are spread over the engines that hold their adapter", () => {
    for (const seed of [1, 2, 3]) {
        const { onTime, asks, asked } = runHerd({ ...load, seed });
        assert.ok(asked > 500);
        assert.ok(onTime > 0.95, `${onTime.toFixed(3)} on time, seed ${seed}`);
        assert.ok(asks < 3, `${asks.toFixed(2)} questions a request, seed ${seed}`);
    }
});

test("where news are quick, hardly a request asks twice", () => {
    const { onTime, asks } = runHerd({ ...load, newsPauseMs: 50, requestsPerSecond: 12 });
    assert.ok(onTime > 0.95, `${onTime.toFixed(3)} on time`);
    assert.ok(asks < 1.3, `${asks.toFixed(2)} questions a request`);
});

test.run();
