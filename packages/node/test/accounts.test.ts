import type { Account } from "@radishreel/routing";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Confirmations } from "../src/accounts/confirmations.js";
import { processTimers } from "../src/clock.js";
import { AccountWorld } from "./accountworld.js";

/** Costs of a large and of a small request, in tokens. */
const largeCost = 9300;
const smallCost = 200;

const vms = ["a1", "a2", "b1", "b2", "c1", "c2"];
const readDataCentre = (vm: string): string => vm[0]!;

function createAccount(name: string, keys: string[], perSecond = 100_000): Account {
    return { name, keys, quota: { unit: "tokens", perSecond, burst: perSecond, usualTokens: smallCost } };
}

/** Sends a request to each VM in each interval, with the given keys in turn, for some time. */
async function runRequests(world: AccountWorld, keys: readonly string[], ms: number, everyMs = 100): Promise<void> {
    const until = world.schedule.now + ms;
    for (let round = 0; world.schedule.now < until; round += 1) {
        for (const vmProcess of world.processes.values()) {
            const key = keys[round % keys.length]!;
            vmProcess.schedule(() => void vmProcess.serve(key, smallCost, round % 7 * 40));
        }
        await world.schedule.advance(everyMs);
    }
}

test("an added key is served by every VM within 0.1 s, and no request with it is refused", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1"])]);
    world.setAccounts([createAccount("one", ["k1"]), createAccount("two", ["k2"])]);
    await world.schedule.advance(100);
    await runRequests(world, ["k2"], 1000);
    world.checkKeys();
    assert.equal(world.refused, []);
});

test("a revoked key is refused by all VMs, and a waiting request with it is refused before it is sent", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1", "k2"])]);
    const vmProcess = world.processes.get("b1")!;
    void vmProcess.serve("k2", smallCost, 400);
    world.setAccounts([createAccount("one", ["k1"])]);
    await world.schedule.advance(500);
    assert.equal(world.refused.map(({ status, reason }) => [status, reason]), [[401, "withheld"]]);
    await runRequests(world, ["k2"], 1000);
    assert.equal(world.arrived, []);
    assert.ok(world.refused.every(({ status }) => status === 401));
    world.checkDenials();
});

test("a disconnected VM serves known keys for 3 s, then refuses them as not run until it is reconnected", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1"])]);
    world.closePaths(["c2"], true);
    const cutAt = world.schedule.now;
    await runRequests(world, ["k1"], 8000);
    const refusals = world.refused.filter(({ vm }) => vm === "c2");
    assert.ok(
        refusals.every(({ status, reason }) => status === 503 || reason === "withheld"),
        JSON.stringify(refusals[0]),
    );
    const first = refusals.find(({ reason }) => reason === "configurationOld")!;
    assert.ok(first.at - cutAt > 3000 && first.at - cutAt < 5000, `${first.at - cutAt} ms`);
    const lastServed = Math.max(...world.arrived.filter(({ vm }) => vm === "c2").map(({ arrivedAt }) => arrivedAt));
    assert.ok(lastServed - cutAt < 5000, `${lastServed - cutAt} ms`);
    world.openPaths();
    await world.schedule.advance(1500);
    const healedAt = world.schedule.now;
    await runRequests(world, ["k1"], 500);
    assert.ok(world.arrived.some(({ vm, sentAt }) => vm === "c2" && sentAt >= healedAt));
    world.checkKeys();
});

test("VMs that do not reach the store continue to serve with confirmations of other VMs", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1"])]);
    world.cutOff.add("c1").add("c2");
    await runRequests(world, ["k1"], 10_000);
    assert.equal(world.refused, []);
});

test("a VM that was suspended detects at once that its configuration is too old", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1"])]);
    const vmProcess = world.processes.get("b2")!;
    world.closePaths(["b2"], true);
    void vmProcess.serve("k1", smallCost, 50);
    vmProcess.pause(8000);
    world.setAccounts([createAccount("one", ["k9"])]);
    await world.schedule.advance(9000);
    assert.equal(world.arrived, []);
});

test("a disconnected VM responds 503, not 401, to a key that other VMs may know by now", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1"])]);
    world.closePaths(["c2"], true);
    world.setAccounts([createAccount("one", ["k1", "k2"])]);
    await world.schedule.advance(6500);
    void world.processes.get("c2")!.serve("k2", smallCost, 5);
    await world.schedule.advance(100);
    assert.equal(world.refused.map(({ status }) => status), [503]);
});

test("a VM queries another VM before it refuses an unknown key", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1"])]);
    world.losesBroadcasts = true;
    world.setAccounts([createAccount("one", ["k1", "k2"])]);
    await world.schedule.advance(100);
    void world.processes.get("b2")!.serve("k2", smallCost, 5);
    await world.schedule.advance(100);
    assert.is(world.arrived.length, 1);
});

/** Age of a VM's confirmation after it queried another VM at 1000 ms and received the reply at `repliedAt`. */
function readAgeAfterReply(repliedAt: number, position: number): number {
    let now = 0;
    const queries: number[] = [];
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const confirmations = new Confirmations({
        readBoot: () => now,
        timers: processTimers,
        findRouting: () => ({
            kind: "routing",
            routing: { version: 1, routes: [], services: [], limits },
            position: 7,
        }),
        listOperatorChanges: () => [],
        isNeeded: () => true,
        isReading: () => false,
        listSources: () => ["other"],
        send: (_vm, message) => {
            if (message.type === "confirmQuery") {
                queries.push(message.query);
            }
        },
    });
    now = 1000;
    confirmations.update();
    now = repliedAt;
    confirmations.receiveMessage("other", { type: "confirmation", query: queries[0]!, position, ageMs: 100 });
    return confirmations.readAgeMs();
}

test("a confirmation counts from the time at which its query was sent, however late the reply arrives", () => {
    assert.is(readAgeAfterReply(1005, 7), 105);
    assert.is(readAgeAfterReply(4000, 7), 3100);
});

test("a confirmation of a configuration that a VM lacks does not confirm the VM's older configuration", () => {
    assert.is(readAgeAfterReply(1005, 6), 105);
    assert.is(readAgeAfterReply(1005, 8), Infinity);
});

test("requests with a key that moved to another account run under the new account, even if they waited meanwhile", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1"]), createAccount("two", [])]);
    void world.processes.get("a2")!.serve("k1", smallCost, 300);
    world.setAccounts([createAccount("one", []), createAccount("two", ["k1"])]);
    await world.schedule.advance(400);
    await runRequests(world, ["k1"], 500);
    world.checkKeys();
    assert.ok(world.arrived.every(({ account }) => account === "two"));
});

test("an account's whole limit can be used through one VM alone and through all VMs together", async () => {
    for (const senders of [["a1"], vms]) {
        const world = new AccountWorld(vms, readDataCentre);
        await world.start([createAccount("one", ["k1"], 100_000)]);
        for (let step = 0; step < 200; step += 1) {
            const vmProcess = world.processes.get(senders[step % senders.length]!)!;
            // 93,000 tokens a second, in requests that are larger than a VM's share of a burst.
            void vmProcess.serve("k1", largeCost, 5);
            await world.schedule.advance(100);
        }
        await world.schedule.advance(100);
        assert.equal(world.refused, []);
        assert.is(world.arrived.length, 200);
    }
});

test("requests beyond the limit get 429, and the granted cost stays within the limit", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1"], 100_000)]);
    for (let step = 0; step < 1200; step += 1) {
        void world.processes.get(vms[step % vms.length]!)!.serve("k1", largeCost, 5);
        await world.schedule.advance(10);
    }
    world.checkQuotas(() => ({ perSecond: 100_000, burst: 100_000 }));
    const reasons = new Set(world.refused.map(({ status, reason }) => `${status} ${reason}`));
    assert.equal([...reasons], ["429 quotaSpent"]);
    const used = world.arrived.reduce((sum, { cost }) => sum + cost, 0);
    assert.ok(used > 100_000 * 12, `${used}`);
});

test("after the limit is lowered, the granted cost stays within the new limit", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1"], 400_000)]);
    const sendRequests = async (steps: number): Promise<void> => {
        for (let step = 0; step < steps; step += 1) {
            void world.processes.get(vms[step % vms.length]!)!.serve("k1", largeCost, 5);
            await world.schedule.advance(20);
        }
    };
    await sendRequests(200);
    world.setAccounts([createAccount("one", ["k1"], 50_000)]);
    await sendRequests(150);
    world.arrived.length = 0;
    await sendRequests(500);
    world.checkQuotas(() => ({ perSecond: 50_000, burst: 50_000 }));
});

test("the cost of requests that did not run is returned to the quota", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1"], 100_000)]);
    const vmProcess = world.processes.get("a1")!;
    const account = createAccount("one", ["k1"], 100_000);
    for (let round = 0; round < 100; round += 1) {
        const claim = vmProcess.guard.createClaim(account, {
            requestId: "r",
            budgetMs: undefined,
            model: undefined,
            tokens: largeCost,
            lastEventId: undefined,
        });
        const refusal = vmProcess.guard.claimQuota(claim);
        await world.schedule.advance(10);
        assert.is(await refusal, undefined, `round ${round}`);
        vmProcess.guard.releaseQuota(claim);
    }
});

test("an account at six times its usual load does not cause refusals of another account", async () => {
    const accounts = ["hot", "cold"].map(name => createAccount(name, [name], 100_000));
    const world = new AccountWorld(vms, readDataCentre);
    await world.start(accounts);
    for (let step = 0; step < 400; step += 1) {
        const vmProcess = world.processes.get(vms[step % vms.length]!)!;
        void vmProcess.serve("hot", largeCost, 5);
        if (step % 8 === 0) {
            void vmProcess.serve("cold", largeCost, 5);
        }
        await world.schedule.advance(20);
    }
    assert.equal(world.refused.filter(({ key }) => key === "cold"), []);
    assert.ok(world.refused.some(({ key }) => key === "hot"));
});

/** An event of a scenario; VMs are given by their indexes in `vms`. */
type ScenarioEvent =
    | { readonly kind: "cut"; readonly vms: readonly number[]; readonly isFromStore: boolean; }
    | { readonly kind: "heal"; }
    | { readonly kind: "turnAway"; readonly vms: readonly number[]; }
    | { readonly kind: "freeze"; readonly vm: number; readonly ms: number; }
    | { readonly kind: "restart"; readonly vms: readonly number[]; }
    | { readonly kind: "keys"; readonly keys: readonly boolean[]; };

const vmIndex = fc.integer({ min: 0, max: vms.length - 1 });
const vmIndexes = fc.uniqueArray(vmIndex, { minLength: 1, maxLength: vms.length });
const scenarioEvents: fc.Arbitrary<ScenarioEvent> = fc.oneof(
    fc.record({ kind: fc.constant("cut" as const), vms: vmIndexes, isFromStore: fc.boolean() }),
    fc.constant({ kind: "heal" as const }),
    fc.record({ kind: fc.constant("turnAway" as const), vms: vmIndexes }),
    fc.record({ kind: fc.constant("freeze" as const), vm: vmIndex, ms: fc.integer({ min: 100, max: 9000 }) }),
    fc.record({ kind: fc.constant("restart" as const), vms: vmIndexes }),
    fc.record({ kind: fc.constant("keys" as const), keys: fc.array(fc.boolean(), { minLength: 4, maxLength: 4 }) }),
);

const scenarios = fc.array(fc.tuple(fc.integer({ min: 20, max: 3000 }), scenarioEvents), {
    minLength: 1,
    maxLength: 8,
});

const allKeys = ["k0", "k1", "k2", "k3"];
const limit = { perSecond: 60_000, burst: 60_000 };

function applyEvent(world: AccountWorld, event: ScenarioEvent): void {
    const pick = (indexes: readonly number[]): string[] => indexes.map(index => vms[index]!);
    switch (event.kind) {
        case "cut":
            world.closePaths(pick(event.vms), event.isFromStore);
            return;
        case "heal":
            world.openPaths();
            return;
        case "turnAway":
            pick(event.vms).forEach(vm => world.cutOff.add(vm));
            return;
        case "freeze":
            world.processes.get(vms[event.vm]!)?.pause(event.ms);
            return;
        case "restart":
            pick(event.vms).forEach(vm => world.startVm(vm));
            return;
        case "keys": {
            // Each key belongs to one of the two accounts, or to none.
            const keys = allKeys.filter((_key, index) => event.keys[index]);
            world.setAccounts([
                createAccount("one", keys.slice(0, 2), limit.perSecond),
                createAccount("two", keys.slice(2), limit.perSecond),
            ]);
            return;
        }
    }
}

async function runScenario(scenario: readonly (readonly [number, ScenarioEvent])[]): Promise<AccountWorld> {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([
        createAccount("one", ["k0", "k1"], limit.perSecond),
        createAccount("two", ["k2", "k3"], limit.perSecond),
    ]);
    let requestCount = 0;
    const sendRequests = async (ms: number): Promise<void> => {
        for (const until = world.schedule.now + ms; world.schedule.now < until;) {
            const vmProcess = world.processes.get(vms[requestCount % vms.length]!);
            const key = allKeys[requestCount % 11 % allKeys.length]!;
            vmProcess?.schedule(() =>
                void vmProcess.serve(key, requestCount % 3 === 0 ? largeCost : smallCost, requestCount % 9 * 90)
            );
            requestCount += 1;
            await world.schedule.advance(17);
        }
    };
    for (const [waitMs, event] of scenario) {
        await sendRequests(waitMs);
        applyEvent(world, event);
    }
    await sendRequests(6000);
    return world;
}

test("under random failures no request runs with a revoked key, no valid key gets 401, and no quota is exceeded", async () => {
    await fc.assert(
        fc.asyncProperty(scenarios, async scenario => {
            const world = await runScenario(scenario);
            world.checkKeys();
            world.checkDenials();
            world.checkQuotas(() => limit);
        }),
        { numRuns: 60, seed: 7 },
    );
});

test.run();
