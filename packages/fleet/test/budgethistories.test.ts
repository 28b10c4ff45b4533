import { test } from "uvu";
import * as assert from "uvu/assert";
import { findLargestExcess, runHistory } from "./budgetworld.js";

test("processes that are killed and start again do not spend the retry budget of a window twice", () => {
    for (let seed = 1; seed <= 200; seed += 1) {
        const vms = 3 + seed % 10;
        const rate = [10, 40, 120][seed % 3]!;
        const excess = findLargestExcess(runHistory({ seed, vms, rate, lengthMs: 40_000 }));
        assert.ok(excess <= 0, `seed ${seed}: ${excess.toFixed(1)} retries too many`);
    }
});

test("the retry budget holds over 195 VMs", () => {
    const excess = findLargestExcess(runHistory({ seed: 1, vms: 195, rate: 680, lengthMs: 30_000 }));
    assert.ok(excess <= 0, `${excess.toFixed(1)} retries too many`);
});

test("the retry budget holds if many retries arrive seconds after they were sent", () => {
    for (let seed = 1; seed <= 60; seed += 1) {
        const options = { seed, vms: 3 + seed % 10, rate: [10, 40, 120][seed % 3]!, lengthMs: 40_000 };
        const excess = findLargestExcess(runHistory({ ...options, lateShare: 0.3 }));
        assert.ok(excess <= 0, `seed ${seed}: ${excess.toFixed(1)} retries too many`);
    }
});

test.run();
