import { test } from "uvu";
import * as assert from "uvu/assert";
import { createFence, Owner, type OwnerCommand, type OwnerEvent } from "../src/index.js";

const leaseMs = 1000;
const reportLagMs = 100;
const engineId = "engine";
const model = "a@1";

function createReport(
    askedAt: number,
    options: { fence?: number; running?: number; models?: string[]; instance?: string; isLeaving?: boolean; } = {},
) {
    const { fence = 0, running = 0, models = [model], instance = "1", isLeaving = false } = options;
    return {
        type: "report" as const,
        engineId,
        report: {
            instance,
            isLeaving,
            fence,
            slots: 2,
            batchRoom: 8,
            adapters: models.map(name => ({ model: name, running })),
            askedAt,
        },
    };
}

/** Creates an owner that has claimed its engine at time 0. */
function createOwner() {
    const owner = new Owner({ identity: "agent", leaseMs, reportLagMs });
    const decide = (event: OwnerEvent, now: number): OwnerCommand[] => owner.decide(event, now);
    decide({ type: "own", engineId, address: "127.0.0.1:1" }, 0);
    const claim = decide(createReport(0), 0).find(command => command.type === "claim");
    assert.ok(claim?.type === "claim");
    decide({ type: "claimed", engineId, fence: claim.fence }, 0);
    return { owner, decide, fence: claim.fence };
}

function isEvicting(commands: readonly OwnerCommand[]): boolean {
    return commands.some(command => command.type === "evict");
}

function createRenewal(grantVersion: number, paying: number, unsure = false): OwnerEvent {
    const use = { engineId, model, paying, trial: 0 };
    return {
        type: "renew",
        gateway: "gateway",
        grantVersion,
        uses: paying > 0 ? [use] : [],
        unsure: unsure ? [use] : [],
    };
}

test("a new owner leases the loaded models immediately and evicts nothing for one lease duration", () => {
    const { owner, decide, fence } = createOwner();
    assert.equal(owner.listGranted().map(engine => engine.models), [[model]]);
    decide({ type: "order", action: "evict", engineId, model }, 1);
    for (let at = 100; at < leaseMs; at += 100) {
        assert.not(isEvicting(decide(createReport(at, { fence }), at)), `at ${at}`);
    }
    // Requests that started under the previous owner's lease show only in a report requested after that lease expired.
    assert.not(isEvicting(decide(createReport(leaseMs + reportLagMs - 1, { fence }), leaseMs + reportLagMs)));
    assert.ok(isEvicting(decide(createReport(leaseMs + reportLagMs, { fence }), leaseMs + reportLagMs)));
});

/** A gateway's renewal after a revocation, and whether the owner may then evict the model. */
const renewalCases: readonly { name: string; create: (version: number) => OwnerEvent; isEvicted: boolean; }[] = [
    {
        name: "has applied the grant and runs no request",
        create: version => createRenewal(version, 0),
        isEvicted: true,
    },
    {
        name: "has applied the grant and still runs a request",
        create: version => createRenewal(version, 1),
        isEvicted: false,
    },
    { name: "has not applied the grant yet", create: version => createRenewal(version - 1, 0), isEvicted: false },
    {
        name: "reports that its request may still be running",
        create: version => createRenewal(version, 0, true),
        isEvicted: false,
    },
];

for (const { name, create, isEvicted } of renewalCases) {
    test(`a revoked model is ${isEvicted ? "" : "not "}evicted when the gateway ${name}`, () => {
        const { owner, decide, fence } = createOwner();
        const start = leaseMs + reportLagMs;
        decide(createReport(start, { fence }), start);
        decide(createRenewal(owner.grantVersion, 1), start);
        assert.not(isEvicting(decide({ type: "order", action: "evict", engineId, model }, start + 1)));
        assert.equal(owner.listGranted().map(engine => engine.models), [[]]);
        assert.is(isEvicting(decide(create(owner.grantVersion), start + 2)), isEvicted);
    });
}

test("an eviction waits for a gateway whose lease expired until the engine reports no running requests", () => {
    const { owner, decide, fence } = createOwner();
    const start = leaseMs + reportLagMs;
    decide(createReport(start, { fence }), start);
    decide(createRenewal(owner.grantVersion, 1), start);
    decide({ type: "order", action: "evict", engineId, model }, start);
    const lapsed = start + leaseMs;
    assert.not(isEvicting(decide({ type: "tick" }, lapsed)));
    assert.not(isEvicting(decide(createReport(lapsed + reportLagMs, { fence, running: 1 }), lapsed + reportLagMs)));
    assert.ok(isEvicting(decide(createReport(lapsed + reportLagMs + 1, { fence }), lapsed + reportLagMs + 1)));
});

test("after an eviction with unknown outcome the model is not leased before a higher token voids the order", () => {
    const { owner, decide, fence } = createOwner();
    const start = leaseMs + reportLagMs;
    decide(createReport(start, { fence }), start);
    assert.ok(isEvicting(decide({ type: "order", action: "evict", engineId, model }, start)));
    const claim =
        decide({ type: "evictEnded", engineId, model, outcome: "unknown" }, start + 10).find(command =>
            command.type === "claim"
        )
            ?? decide({ type: "tick" }, start + leaseMs).find(command => command.type === "claim");
    assert.ok(claim?.type === "claim" && claim.fence > fence);
    decide({ type: "order", action: "load", engineId, model }, start + leaseMs + 1);
    assert.equal(owner.listGranted().map(engine => engine.models), [[]]);
    const again = decide({ type: "claimed", engineId, fence: claim.fence }, start + leaseMs + 2).find(command =>
        command.type === "evict"
    );
    assert.ok(
        again?.type === "evict" && again.fence === claim.fence,
        "the eviction is ordered again with the new token",
    );
    decide({ type: "evictEnded", engineId, model, outcome: "failed" }, start + leaseMs + 3);
});

test("a paused owner learns from a report that another owner has claimed its engine", () => {
    const { owner, decide, fence } = createOwner();
    decide(createReport(60_000, { fence: fence + 2 ** 21 }), 60_000);
    assert.equal(owner.listGranted(), []);
    assert.equal(decide({ type: "order", action: "evict", engineId, model }, 60_001), [{
        type: "refuse",
        engineId,
        model,
    }]);
});

test("after a cold start of the engine, the owner grants no leases on it and claims it again", () => {
    const { owner, decide, fence } = createOwner();
    const commands = decide(createReport(5000, { instance: "2", models: [] }), 5000);
    assert.equal(owner.listGranted(), []);
    assert.ok(commands.some(command => command.type === "claim" && command.fence > 0));
    assert.ok(fence > 0);
});

test("a report requested before a load finished does not remove the model", () => {
    const { owner, decide, fence } = createOwner();
    decide({ type: "order", action: "load", engineId, model: "b@1" }, 2000);
    decide({ type: "loadEnded", engineId, model: "b@1", outcome: "loaded" }, 2500);
    decide(createReport(2400, { fence }), 2501);
    assert.equal(owner.listGranted()[0]?.models, [model, "b@1"]);
    decide(createReport(2600, { fence }), 2601);
    assert.equal(owner.listGranted()[0]?.models, [model]);
});

test("a report requested before an eviction does not add the model again", () => {
    const { owner, decide, fence } = createOwner();
    const start = leaseMs + reportLagMs;
    decide(createReport(start, { fence }), start);
    assert.ok(isEvicting(decide({ type: "order", action: "evict", engineId, model }, start + 10)));
    decide({ type: "evictEnded", engineId, model, outcome: "done" }, start + 30);
    decide(createReport(start + 20, { fence }), start + 40);
    assert.equal(owner.listGranted()[0]?.models, []);
});

test("fencing tokens of owners that claim at the same time differ and are above the token seen from the engine", () => {
    const one = createFence(7 * 2 ** 21 + 5, "one");
    const two = createFence(7 * 2 ** 21 + 5, "two");
    assert.is.not(one, two);
    assert.ok(Math.min(one, two) >= 8 * 2 ** 21);
    assert.ok(Number.isSafeInteger(createFence(2 ** 52, "one")));
});

test("an owner that loses an engine reports its open evictions as refused", () => {
    for (const event of [{ type: "fenced", engineId }, { type: "disown", engineId }] as const) {
        const { decide } = createOwner();
        decide(createReport(10), 10);
        decide({ type: "order", action: "evict", engineId, model }, 20);
        const refusals = decide(event, 30).filter(command => command.type === "refuse");
        assert.equal(refusals, [{ type: "refuse", engineId, model }], event.type);
    }
});

test.run();
