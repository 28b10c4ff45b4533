import prand from "pure-rand";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { LeaseHolder } from "../src/leases.js";
import { type BrokenRules, type LeaseFaults, LeaseSimulation } from "./simulation.js";

const seeds = Number(process.env.RADISHREEL_SEEDS ?? 150);
const durationMs = 6000;

function createRandom(seed: number): () => number {
    const generator = prand.xoroshiro128plus(seed);
    return () => prand.unsafeUniformIntDistribution(0, 0x3fff_ffff, generator) / 0x4000_0000;
}

function runSimulation(seed: number, faults: LeaseFaults, broken: BrokenRules = {}): LeaseSimulation {
    const simulation = new LeaseSimulation(createRandom(seed), faults, broken);
    simulation.run(durationMs);
    return simulation;
}

test("no model in use is evicted under pauses, cut links and owner changes if engines refuse old tokens", () => {
    let dispatched = 0;
    let evicted = 0;
    for (let seed = 0; seed < seeds; seed++) {
        const simulation = runSimulation(seed, { ignoresFence: false, maxDelayMs: 10, lostOutcomeShare: 0.1 });
        assert.equal(simulation.unsafeEvictions, [], `seed ${seed}`);
        dispatched += simulation.dispatched;
        evicted += simulation.evicted;
    }
    assert.ok(dispatched > 20 * seeds, `${dispatched} requests ran`);
    assert.ok(evicted > 3 * seeds, `${evicted} evictions ran`);
});

test("an owner that evicts without waiting for the gateways causes evictions of models in use", () => {
    const unsafe = Array.from(
        { length: seeds },
        (_, seed) =>
            runSimulation(seed, { ignoresFence: false, maxDelayMs: 10, lostOutcomeShare: 0 }, {
                evictsImmediately: true,
            })
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

/** Readings of both clocks after a lease of 1000 ms was renewed at 0, and whether the lease is still valid. */
const clockReadings: readonly { name: string; monotonic: number; wall: number; isLeased: boolean; }[] = [
    { name: "before the end", monotonic: 999, wall: 999, isLeased: true },
    { name: "at the end", monotonic: 1000, wall: 1000, isLeased: false },
    { name: "after a suspension that stopped the monotonic clock", monotonic: 10, wall: 60_000, isLeased: false },
    { name: "after the wall clock was set back", monotonic: 10, wall: -60_000, isLeased: false },
    { name: "after a pause of the process", monotonic: 5000, wall: 5000, isLeased: false },
];

for (const { name, monotonic, wall, isLeased } of clockReadings) {
    test(`a lease ${isLeased ? "is valid" : "has expired"} ${name}`, () => {
        const holder = new LeaseHolder();
        holder.receiveGrant("agent", createGrant(1, 5, ["a@1"]), { monotonic: 0, wall: 0 });
        assert.is(holder.isLeased("engine", "a@1", { monotonic, wall }), isLeased);
    });
}

test("if two agents lease the same engine, the grant with the higher fencing token wins", () => {
    const holder = new LeaseHolder();
    const now = { monotonic: 0, wall: 0 };
    holder.receiveGrant("new", createGrant(1, 9, ["b@1"]), now);
    holder.receiveGrant("old", createGrant(7, 5, ["a@1"]), now);
    assert.not(holder.isLeased("engine", "a@1", now));
    assert.ok(holder.isLeased("engine", "b@1", now));
});

test("a grant that does not follow a renewal of this process gives no lease", () => {
    const holder = new LeaseHolder();
    assert.not(holder.receiveGrant("agent", createGrant(1, 5, ["a@1"]), undefined));
    assert.not(holder.isLeased("engine", "a@1", { monotonic: 0, wall: 0 }));
});

test.run();
