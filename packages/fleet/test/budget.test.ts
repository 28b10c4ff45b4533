import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RetryBudget } from "../src/index.js";

const windowMs = 10_000;

test("the retries of all VMs together stay within the budget in every window", () => {
    const action = fc.record({ vm: fc.nat(6), waitMs: fc.nat(300), isRequest: fc.boolean() });
    fc.assert(
        fc.property(fc.array(action, { maxLength: 400 }), actions => {
            const budgets = Array.from({ length: 7 }, () => new RetryBudget({ ratio: 0.2, slack: 54, windowMs }));
            const requests: number[] = [];
            const repeats: number[] = [];
            let now = 0;
            for (const { vm, waitMs, isRequest } of actions) {
                now += waitMs;
                if (isRequest) {
                    budgets[vm]!.recordRequest(now);
                    requests.push(now);
                }
                else if (budgets[vm]!.claimRetry(now, 7)) {
                    repeats.push(now);
                }
                const from = now - windowMs;
                const allowed = 0.2 * requests.filter(at => at >= from).length + 54;
                assert.ok(repeats.filter(at => at >= from).length <= allowed);
            }
        }),
        { seed: 7, numRuns: 100 },
    );
});

test("a single VM gets the whole slack, and its requests increase its budget", () => {
    const budget = new RetryBudget({ ratio: 0.2, slack: 2, windowMs });
    assert.equal([1, 2, 3].map(now => budget.claimRetry(now, 1)), [true, true, false]);
    for (let now = 10; now < 30; now++) {
        budget.recordRequest(now);
    }
    assert.equal([31, 32, 33, 34].map(now => budget.claimRetry(now, 1)), [true, true, true, false]);
});

test.run();
