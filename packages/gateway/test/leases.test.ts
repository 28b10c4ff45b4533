import prand from "pure-rand";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { LeaseHolder } from "../src/leases.js";
import { type BrokenRules, type LeaseFaults, LeaseWorld } from "./world.js";

const seeds = Number(process.env.RADISHREEL_SEEDS ?? 150);
const durationMs = 6000;

function createRandom(seed: number): () => number {
    const generator = prand.xoroshiro128plus(seed);
    return () => prand.unsafeUniformIntDistribution(0, 0x3fff_ffff, generator) / 0x4000_0000;
}

function runWorld(seed: number, faults: LeaseFaults, broken: BrokenRules = {}): LeaseWorld {
    const world = new LeaseWorld(createRandom(seed), faults, broken);
    world.run(durationMs);
    return world;
}

test("no model is evicted in use, whoever is paused, cut off or taken over from, at engines that refuse old tokens", () => {
    let dispatched = 0;
    let evicted = 0;
    for (let seed = 0; seed < seeds; seed++) {
        const world = runWorld(seed, { ignoresFence: false, maxDelayMs: 10, lostAnswers: 0.1 });
        assert.equal(world.unsafeEvictions, [], `seed ${seed}`);
        dispatched += world.dispatched;
        evicted += world.evicted;
    }
    assert.ok(dispatched > 20 * seeds, `${dispatched} requests ran`);
    assert.ok(evicted > 3 * seeds, `${evicted} evictions were carried out`);
});

test("an owner that evicts without waiting for the gateways is caught", () => {
    const unsafe = Array.from(
        { length: seeds },
        (_, seed) =>
            runWorld(seed, { ignoresFence: false, maxDelayMs: 10, lostAnswers: 0 }, { evictsAtOnce: true })
                .unsafeEvictions.length,
    );
    assert.ok(unsafe.some(count => count > 0));
});

function createGrant(version: number, fence: number, models: string[]) {
    const engine = {
        id: "engine",
        address: "127.0.0.1:1",
        instance: "1",
        fence,
        batchRoom: 8,
        isLeaving: false,
        models,
    };
    return { type: "grant" as const, sequence: 1, version, leaseMs: 1000, engines: [engine] };
}

/** Moments of the two clocks after a lease of 1000 ms, renewed at 0, and whether the lease still holds. */
const moments: readonly { name: string; monotonic: number; wall: number; isLeased: boolean; }[] = [
    { name: "before the end", monotonic: 999, wall: 999, isLeased: true },
    { name: "at the end", monotonic: 1000, wall: 1000, isLeased: false },
    { name: "after a suspension that stopped the monotonic clock", monotonic: 10, wall: 60_000, isLeased: false },
    { name: "after the wall clock was set back", monotonic: 10, wall: -60_000, isLeased: false },
    { name: "after a pause of the process", monotonic: 5000, wall: 5000, isLeased: false },
];

for (const { name, monotonic, wall, isLeased } of moments) {
    test(`a lease ${isLeased ? "holds" : "has lapsed"} ${name}`, () => {
        const holder = new LeaseHolder();
        holder.receiveGrant("agent", createGrant(1, 5, ["a@1"]), { monotonic: 0, wall: 0 });
        assert.is(holder.isLeased("engine", "a@1", { monotonic, wall }), isLeased);
    });
}

test("of two owners the one with the higher fencing token counts", () => {
    const holder = new LeaseHolder();
    const now = { monotonic: 0, wall: 0 };
    holder.receiveGrant("new", createGrant(1, 9, ["b@1"]), now);
    holder.receiveGrant("old", createGrant(7, 5, ["a@1"]), now);
    assert.not(holder.isLeased("engine", "a@1", now));
    assert.ok(holder.isLeased("engine", "b@1", now));
});

test("a grant that no renewal of this process led to gives no lease", () => {
    const holder = new LeaseHolder();
    assert.not(holder.receiveGrant("agent", createGrant(1, 5, ["a@1"]), undefined));
    assert.not(holder.isLeased("engine", "a@1", { monotonic: 0, wall: 0 }));
});

test.run();
