/**
 * Simulates VMs whose engines end under a fatal request. The request must be refused in time at any size, also while
 * the store is unreachable and after restarts, and hardly any other request may be refused.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type CrashTally, CrashWorld, type CrashWorldOptions } from "./crashworld.js";

/** Allowed sends of the fatal request later than 3 s after the third end. */
const allowedLateSends = 3;

/** Allowed share of harmless requests that are refused by mistake, if engines end only under the fatal request. */
const allowedMistakes = 1 / 1000;

const sizes = [
    { vms: 3, engines: 3, lengthMs: 30_000, seeds: 8 },
    { vms: 7, engines: 6, lengthMs: 30_000, seeds: 8 },
    { vms: 195, engines: 109, lengthMs: 6000, seeds: 1 },
];

const scenarios: { name: string; options: Partial<CrashWorldOptions>; }[] = [
    { name: "only the fatal request ends engines", options: {} },
    { name: "engines also end for other reasons", options: { otherEndsMs: 1500 } },
    { name: "the store is unreachable", options: { otherEndsMs: 1500, storeOutage: [0, 4000] } },
    {
        name: "all VMs are killed while the store is unreachable",
        options: { otherEndsMs: 1500, restartAt: 2500, storeOutage: [2000, 4000] },
    },
];

function runWorlds(size: typeof sizes[number], options: Partial<CrashWorldOptions>): CrashTally[] {
    const { vms, engines, lengthMs } = size;
    return Array.from(
        { length: size.seeds },
        (_, index) => new CrashWorld({ seed: index + 1, vms, engines, lengthMs, ...options }).run(),
    );
}

for (const size of sizes) {
    for (const { name, options } of scenarios) {
        test(`${size.vms} VMs, ${name}: the fatal request is refused in time`, () => {
            for (const tally of runWorlds(size, { ...options, fatalMs: 500 })) {
                assert.ok(tally.rightlyRefused > 0, JSON.stringify(tally));
                assert.ok(tally.lateSends <= allowedLateSends, JSON.stringify(tally));
            }
        });
    }

    test(`${size.vms} VMs: hardly any harmless request is refused`, () => {
        const tallies = runWorlds(size, { fatalMs: 500 });
        const harmless = tallies.reduce((sum, tally) => sum + tally.harmless, 0);
        const mistakes = tallies.reduce((sum, tally) => sum + tally.wronglyRefused, 0);
        assert.ok(mistakes <= harmless * allowedMistakes, `${mistakes} of ${harmless}`);
    });
}

test.run();
