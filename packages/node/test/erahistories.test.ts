import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type EraEntry, type EraStep, EraWorld } from "./eraworld.js";

/** Number of histories per test. `RADISHREEL_HISTORIES` and `RADISHREEL_HISTORY_SEED` set other numbers and seeds. */
const runs = Number(process.env.RADISHREEL_HISTORIES ?? 150);
/** VMs of the largest fleet with random histories. `RADISHREEL_HISTORY_VMS` sets another number. */
const largestFleet = Number(process.env.RADISHREEL_HISTORY_VMS ?? 60);
const seed = Number(process.env.RADISHREEL_HISTORY_SEED ?? 1);

const vm = fc.nat(199);
const ms = fc.integer({ min: 1, max: 24 }).map(quarters => quarters * 250);
const upstream = fc.nat(7);
const restore = fc.record({
    kind: fc.constant("restore" as const),
    ageMs: fc.nat(10_000),
    downMs: fc.nat(3000),
    isPartial: fc.boolean(),
});
const write = fc.oneof(
    fc.record({ kind: fc.constantFrom("config" as const, "startUpstream" as const) }),
    fc.record({ kind: fc.constant("version" as const), key: fc.nat(1) }),
    fc.record({
        kind: fc.constantFrom("leave" as const, "deregister" as const, "crash" as const, "restartUpstream" as const),
        upstream,
    }),
);
const disruption = fc.oneof(
    fc.record({
        kind: fc.constantFrom("cut" as const, "freeze" as const, "kill" as const, "turnAway" as const),
        vm,
        ms,
    }),
    fc.record({ kind: fc.constant("lateReplies" as const), ms }),
    fc.record({ kind: fc.constant("killAll" as const) }),
);
const step: fc.Arbitrary<EraStep> = fc.oneof(
    { weight: 4, arbitrary: write },
    { weight: 2, arbitrary: restore },
    { weight: 2, arbitrary: disruption },
);
const waitMs = fc.integer({ min: 0, max: 3000 });
const histories = fc.array(fc.record({ step, waitMs }), { minLength: 4, maxLength: 24 });

function runHistory(vmCount: number, salt: number, entries: readonly EraEntry[]): EraWorld {
    const world = new EraWorld(vmCount, salt);
    world.runHistory(entries);
    return world;
}

test("over random histories with restored copies of the store no VM goes back, and all VMs know what is written", () => {
    fc.assert(
        fc.property(fc.integer({ min: 3, max: 9 }), fc.nat(), histories, (vmCount, salt, entries) => {
            runHistory(vmCount, salt, entries);
        }),
        { seed, numRuns: runs, includeErrorInReport: true },
    );
});

test("over random histories of larger fleets the same holds", () => {
    const entries = fc.array(fc.record({ step, waitMs }), { minLength: 3, maxLength: 6 });
    fc.assert(
        fc.property(fc.integer({ min: 20, max: largestFleet }), fc.nat(), entries, (vmCount, salt, steps) => {
            runHistory(vmCount, salt, steps);
        }),
        { seed, numRuns: Math.ceil(runs / 50), endOnFailure: true, includeErrorInReport: true },
    );
});

test("the VMs of a fleet read a restored store at fewer than 10 reads per VM and second", () => {
    const vmCount = 60;
    const world = runHistory(vmCount, 1, [
        { step: { kind: "config" }, waitMs: 1000 },
        { step: { kind: "restore", ageMs: 3000, downMs: 1500, isPartial: false }, waitMs: 4000 },
    ]);
    // 195 VMs share 2000 reads per second.
    assert.ok(world.mostReadsPerSecond < vmCount * 10, `${world.mostReadsPerSecond} reads`);
});

test.run();
