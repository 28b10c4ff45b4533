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

test.run();
