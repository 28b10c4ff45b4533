import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RetryBudget, RetryBudgets } from "../src/index.js";

const windowMs = 10_000;

/** Creates a budget that has only the credit that its requests earn. */
function createBudget(requests = 0): RetryBudget {
    const budget = new RetryBudget({ ratio: 0.2, slack: 0, windowMs }, () => 0);
    for (let now = 0; now < requests; now += 1) {
        budget.recordRequest(now);
    }
    return budget;
}

/** Creates the budgets of a process that has read the list of VMs at time 0. */
function createBudgets(vms: number, slack = 54): RetryBudgets {
    const budgets = new RetryBudgets({ ratio: 0.2, slack, windowMs, countVms: () => vms });
    budgets.recordMembersRead(0);
    return budgets;
}

/** Claims retries until one is refused. @returns The number of granted ones. */
function countGranted(budget: RetryBudget, now: number): number {
    let granted = 0;
    while (budget.claimRetry(now) !== undefined) {
        granted += 1;
    }
    return granted;
}

test("the retries of all VMs together stay within the budget in every window", () => {
    const action = fc.record({ vm: fc.nat(6), waitMs: fc.nat(300), isRequest: fc.boolean() });
    fc.assert(
        fc.property(fc.array(action, { maxLength: 400 }), actions => {
            const budgets = Array.from({ length: 7 }, () => createBudgets(7).read("s"));
            const requests: number[] = [];
            const repeats: number[] = [];
            let now = windowMs;
            for (const { vm, waitMs, isRequest } of actions) {
                now += waitMs;
                if (isRequest) {
                    budgets[vm]!.recordRequest(now);
                    requests.push(now);
                }
                else {
                    const claim = budgets[vm]!.claimRetry(now);
                    claim?.confirm(now);
                    repeats.push(...(claim === undefined ? [] : [now]));
                }
                const from = now - windowMs;
                const allowed = 0.2 * requests.filter(at => at >= from).length + 54;
                assert.ok(repeats.filter(at => at >= from).length <= allowed);
            }
        }),
        { seed: 7, numRuns: 100 },
    );
});

test("a VM has its part of the slack once in a window, and none in its first window", () => {
    const budget = createBudgets(6).read("s");
    assert.is(countGranted(budget, windowMs - 1), 0);
    const claims = Array.from({ length: 6 }, () => budget.claimRetry(windowMs));
    assert.ok(claims.every(claim => claim !== undefined));
    assert.is(budget.claimRetry(windowMs), undefined);
    claims.forEach(claim => claim.confirm(windowMs + 500));
    assert.is(countGranted(budget, windowMs * 2 + 499), 0);
    assert.is(countGranted(budget, windowMs * 2 + 500), 6);
});

test("a process that has not read the list of VMs has no part of the slack", () => {
    const budgets = new RetryBudgets({ ratio: 0.2, slack: 54, windowMs, countVms: () => 1 });
    assert.is(countGranted(budgets.read("s"), windowMs * 9), 0);
});

test("the slack is divided among four VMs at least", () => {
    assert.is(countGranted(createBudgets(1).read("s"), windowMs), 9);
});

test("requests earn credit, half of which can be saved for one window", () => {
    assert.is(countGranted(createBudget(100), 100), 9);
    assert.is(countGranted(createBudget(100), windowMs + 50), 4);
    assert.is(countGranted(createBudget(100), windowMs + 100), 0);
});

test("retries that may still arrive take the place of saved credit", () => {
    const budget = createBudget(100);
    const claims = Array.from({ length: 9 }, () => budget.claimRetry(100));
    for (let now = 5000; now < 5100; now += 1) {
        budget.recordRequest(now);
    }
    const afterFirst = windowMs + 100;
    assert.is(countGranted(budget, afterFirst), 0);
    claims.forEach(claim => claim!.confirm(afterFirst));
    for (let now = afterFirst; now < afterFirst + 100; now += 1) {
        budget.recordRequest(now);
    }
    assert.is(countGranted(budget, afterFirst + 100), 9);
});

test("a retry that was not sent is returned to the credit or the slack that it was taken from", () => {
    const budget = createBudget(100);
    const claims = Array.from({ length: 9 }, () => budget.claimRetry(100));
    assert.is(budget.claimRetry(100), undefined);
    claims[0]!.cancel();
    assert.is(countGranted(budget, 100), 1);

    const slackBudget = createBudgets(6).read("s");
    const slackClaims = Array.from({ length: 6 }, () => slackBudget.claimRetry(windowMs));
    slackClaims[0]!.cancel();
    assert.is(countGranted(slackBudget, windowMs), 1);
});

test("a fraction of credit and a fraction of slack allow one retry together", () => {
    const budget = createBudgets(60).read("s");
    for (let request = 0; request < 5; request += 1) {
        budget.recordRequest(windowMs);
    }
    assert.is(countGranted(budget, windowMs), 1);
});

test("retries of requests that have not failed leave part of the slack to those that have", () => {
    const budget = createBudgets(6).read("s");
    const all = countGranted(createBudgets(6).read("s"), windowMs);
    let optional = 0;
    while (budget.claimRetry(windowMs, 0.5) !== undefined) {
        optional += 1;
    }
    assert.is(all, 6);
    assert.is(optional, 3);
    assert.is(countGranted(budget, windowMs), 3);
});

test.run();
