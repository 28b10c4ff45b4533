import type { Account } from "@radishreel/routing";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Confirmations } from "../src/accounts/confirmations.js";
import { processTimers } from "../src/clock.js";
import { AccountWorld } from "./accountworld.js";

/** Tokens of a large request, and of a small one. */
const largeCost = 9300;
const smallCost = 200;

const vms = ["a1", "a2", "b1", "b2", "c1", "c2"];
const readDataCentre = (vm: string): string => vm[0]!;

function createAccount(name: string, keys: string[], perSecond = 100_000): Account {
    return { name, keys, quota: { unit: "tokens", perSecond, burst: perSecond, usualTokens: smallCost } };
}

/** Each VM gets a request with each of these keys at this pace, for some time. */
async function runRequests(world: AccountWorld, keys: readonly string[], ms: number, everyMs = 100): Promise<void> {
    const until = world.schedule.now + ms;
    for (let turn = 0; world.schedule.now < until; turn += 1) {
        for (const life of world.lives.values()) {
            const key = keys[turn % keys.length]!;
            life.schedule(() => void life.serve(key, smallCost, turn % 7 * 40));
        }
        await world.schedule.advance(everyMs);
    }
}

test("a key that was added is served by every VM within some 0.1 s, and nobody is denied for it", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1"])]);
    world.setAccounts([createAccount("one", ["k1"]), createAccount("two", ["k2"])]);
    await world.schedule.advance(100);
    await runRequests(world, ["k2"], 1000);
    world.checkKeys();
    assert.equal(world.refused, []);
});

test("a key that was withdrawn is refused by all VMs, and a request that waits is refused when it is to be sent", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1", "k2"])]);
    const life = world.lives.get("b1")!;
    void life.serve("k2", smallCost, 400);
    world.setAccounts([createAccount("one", ["k1"])]);
    await world.schedule.advance(500);
    assert.equal(world.refused.map(({ status, reason }) => [status, reason]), [[401, "withheld"]]);
    await runRequests(world, ["k2"], 1000);
    assert.equal(world.arrived, []);
    assert.ok(world.refused.every(({ status }) => status === 401));
    world.checkDenials();
});

test("a VM that is cut off serves known keys for 3 s, refuses them as not run after that, and serves again at once", async () => {
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

test("a VM that the store turns away goes on with what others confirm", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1"])]);
    world.cutOff.add("c1").add("c2");
    await runRequests(world, ["k1"], 10_000);
    assert.equal(world.refused, []);
});

test("a VM that stood still knows at once that what it knows is old", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1"])]);
    const life = world.lives.get("b2")!;
    world.closePaths(["b2"], true);
    void life.serve("k1", smallCost, 50);
    life.pause(8000);
    world.setAccounts([createAccount("one", ["k9"])]);
    await world.schedule.advance(9000);
    assert.equal(world.arrived, []);
});

test("a VM that hears nothing denies no key that others may know by now", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1"])]);
    world.closePaths(["c2"], true);
    world.setAccounts([createAccount("one", ["k1", "k2"])]);
    await world.schedule.advance(6500);
    void world.lives.get("c2")!.serve("k2", smallCost, 5);
    await world.schedule.advance(100);
    assert.equal(world.refused.map(({ status }) => status), [503]);
});

test("a VM asks another one before it denies a key", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1"])]);
    world.losesBroadcasts = true;
    world.setAccounts([createAccount("one", ["k1", "k2"])]);
    await world.schedule.advance(100);
    void world.lives.get("b2")!.serve("k2", smallCost, 5);
    await world.schedule.advance(100);
    assert.is(world.arrived.length, 1);
});

/** What one VM knows that has asked another one at 1000 ms and is answered at `answeredAt`. */
function readAnsweredAge(answeredAt: number, position: number): number {
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
    now = answeredAt;
    confirmations.receiveMessage("other", { type: "confirmation", query: queries[0]!, position, ageMs: 100 });
    return confirmations.readAgeMs();
}

test("an answer counts from when the question was sent, however long it was on its way", () => {
    assert.is(readAnsweredAge(1005, 7), 105);
    assert.is(readAnsweredAge(4000, 7), 3100);
});

test("a VM that lacks a configuration takes no word that its own is the newest", () => {
    assert.is(readAnsweredAge(1005, 6), 105);
    assert.is(readAnsweredAge(1005, 8), Infinity);
});

test("a key that moves to another account is served for that one, also where it waits meanwhile", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1"]), createAccount("two", [])]);
    void world.lives.get("a2")!.serve("k1", smallCost, 300);
    world.setAccounts([createAccount("one", []), createAccount("two", ["k1"])]);
    await world.schedule.advance(400);
    await runRequests(world, ["k1"], 500);
    world.checkKeys();
    assert.ok(world.arrived.every(({ account }) => account === "two"));
});

test("one VM alone may use all of an account's limit, and so may all of them together", async () => {
    for (const senders of [["a1"], vms]) {
        const world = new AccountWorld(vms, readDataCentre);
        await world.start([createAccount("one", ["k1"], 100_000)]);
        for (let step = 0; step < 200; step += 1) {
            const life = world.lives.get(senders[step % senders.length]!)!;
            // 93,000 tokens a second, in requests that are larger than a VM's share of a burst.
            void life.serve("k1", largeCost, 5);
            await world.schedule.advance(100);
        }
        await world.schedule.advance(100);
        assert.equal(world.refused, []);
        assert.is(world.arrived.length, 200);
    }
});

test("beyond the limit callers are told when their tokens are there, and all that is granted stays within it", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1"], 100_000)]);
    for (let step = 0; step < 1200; step += 1) {
        void world.lives.get(vms[step % vms.length]!)!.serve("k1", largeCost, 5);
        await world.schedule.advance(10);
    }
    world.checkQuotas(() => ({ perSecond: 100_000, burst: 100_000 }));
    const reasons = new Set(world.refused.map(({ status, reason }) => `${status} ${reason}`));
    assert.equal([...reasons], ["429 quotaSpent"]);
    const used = world.arrived.reduce((sum, { cost }) => sum + cost, 0);
    assert.ok(used > 100_000 * 12, `${used}`);
});

test("after the limit is lowered no more than the new one is granted", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1"], 400_000)]);
    const play = async (steps: number): Promise<void> => {
        for (let step = 0; step < steps; step += 1) {
            void world.lives.get(vms[step % vms.length]!)!.serve("k1", largeCost, 5);
            await world.schedule.advance(20);
        }
    };
    await play(200);
    world.setAccounts([createAccount("one", ["k1"], 50_000)]);
    await play(150);
    world.arrived.length = 0;
    await play(500);
    world.checkQuotas(() => ({ perSecond: 50_000, burst: 50_000 }));
});

test("requests that have not run are given back", async () => {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([createAccount("one", ["k1"], 100_000)]);
    const life = world.lives.get("a1")!;
    const account = createAccount("one", ["k1"], 100_000);
    for (let turn = 0; turn < 100; turn += 1) {
        const claim = life.guard.createClaim(account, {
            requestId: "r",
            budgetMs: undefined,
            model: undefined,
            tokens: largeCost,
            lastEventId: undefined,
        });
        const refusal = life.guard.claimQuota(claim);
        await world.schedule.advance(10);
        assert.is(await refusal, undefined, `turn ${turn}`);
        life.guard.releaseQuota(claim);
    }
});

test("an account at six times its usual costs no other account anything", async () => {
    const accounts = ["hot", "cold"].map(name => createAccount(name, [name], 100_000));
    const world = new AccountWorld(vms, readDataCentre);
    await world.start(accounts);
    for (let step = 0; step < 400; step += 1) {
        const life = world.lives.get(vms[step % vms.length]!)!;
        void life.serve("hot", largeCost, 5);
        if (step % 8 === 0) {
            void life.serve("cold", largeCost, 5);
        }
        await world.schedule.advance(20);
    }
    assert.equal(world.refused.filter(({ key }) => key === "cold"), []);
    assert.ok(world.refused.some(({ key }) => key === "hot"));
});

/** What may happen, at a moment, to VMs named by their places in the list. */
type Trouble =
    | { readonly kind: "cut"; readonly vms: readonly number[]; readonly isFromStore: boolean; }
    | { readonly kind: "heal"; }
    | { readonly kind: "turnAway"; readonly vms: readonly number[]; }
    | { readonly kind: "freeze"; readonly vm: number; readonly ms: number; }
    | { readonly kind: "restart"; readonly vms: readonly number[]; }
    | { readonly kind: "keys"; readonly keys: readonly boolean[]; };

const vmIndex = fc.integer({ min: 0, max: vms.length - 1 });
const vmIndexes = fc.uniqueArray(vmIndex, { minLength: 1, maxLength: vms.length });
const troubles: fc.Arbitrary<Trouble> = fc.oneof(
    fc.record({ kind: fc.constant("cut" as const), vms: vmIndexes, isFromStore: fc.boolean() }),
    fc.constant({ kind: "heal" as const }),
    fc.record({ kind: fc.constant("turnAway" as const), vms: vmIndexes }),
    fc.record({ kind: fc.constant("freeze" as const), vm: vmIndex, ms: fc.integer({ min: 100, max: 9000 }) }),
    fc.record({ kind: fc.constant("restart" as const), vms: vmIndexes }),
    fc.record({ kind: fc.constant("keys" as const), keys: fc.array(fc.boolean(), { minLength: 4, maxLength: 4 }) }),
);

const histories = fc.array(fc.tuple(fc.integer({ min: 20, max: 3000 }), troubles), { minLength: 1, maxLength: 8 });

const allKeys = ["k0", "k1", "k2", "k3"];
const limit = { perSecond: 60_000, burst: 60_000 };

function applyTrouble(world: AccountWorld, trouble: Trouble): void {
    const pick = (indexes: readonly number[]): string[] => indexes.map(index => vms[index]!);
    switch (trouble.kind) {
        case "cut":
            world.closePaths(pick(trouble.vms), trouble.isFromStore);
            return;
        case "heal":
            world.openPaths();
            return;
        case "turnAway":
            pick(trouble.vms).forEach(vm => world.cutOff.add(vm));
            return;
        case "freeze":
            world.lives.get(vms[trouble.vm]!)?.pause(trouble.ms);
            return;
        case "restart":
            pick(trouble.vms).forEach(vm => world.startVm(vm));
            return;
        case "keys": {
            // Each key is held by one account or the other, or by none.
            const keys = allKeys.filter((_key, index) => trouble.keys[index]);
            world.setAccounts([
                createAccount("one", keys.slice(0, 2), limit.perSecond),
                createAccount("two", keys.slice(2), limit.perSecond),
            ]);
            return;
        }
    }
}

async function runHistory(history: readonly (readonly [number, Trouble])[]): Promise<AccountWorld> {
    const world = new AccountWorld(vms, readDataCentre);
    await world.start([
        createAccount("one", ["k0", "k1"], limit.perSecond),
        createAccount("two", ["k2", "k3"], limit.perSecond),
    ]);
    let turn = 0;
    const play = async (ms: number): Promise<void> => {
        for (const until = world.schedule.now + ms; world.schedule.now < until;) {
            const life = world.lives.get(vms[turn % vms.length]!);
            const key = allKeys[turn % 11 % allKeys.length]!;
            life?.schedule(() => void life.serve(key, turn % 3 === 0 ? largeCost : smallCost, turn % 9 * 90));
            turn += 1;
            await world.schedule.advance(17);
        }
    };
    for (const [waitMs, trouble] of history) {
        await play(waitMs);
        applyTrouble(world, trouble);
    }
    await play(6000);
    return world;
}

test("whatever happens to VMs and links, no withdrawn key runs, nobody is denied falsely and no quota is exceeded", async () => {
    await fc.assert(
        fc.asyncProperty(histories, async history => {
            const world = await runHistory(history);
            world.checkKeys();
            world.checkDenials();
            world.checkQuotas(() => limit);
        }),
        { numRuns: 60, seed: 7 },
    );
});

test.run();
