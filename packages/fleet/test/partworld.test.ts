/** Guards against parts of prompts that crash engines one after the other, over random histories of VMs and engines. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type PartTally, PartWorld, type PartWorldOptions } from "./partworld.js";

/** Allowed sends of a fatal part later than 3 s after the fifth engine ended under it. */
const allowedLateSends = 3;

/** Smallest share of sound requests that must begin to be answered at their first attempt once the VMs know the part. */
const minBegunShare = 0.5;

/** Allowed share of sound requests that are refused by mistake, if engines end only under one part. */
const allowedMistakes = 1 / 1000;

const sizes = [
    { vms: 3, engines: 3, lengthMs: 25_000, seeds: 6 },
    { vms: 7, engines: 6, lengthMs: 25_000, seeds: 6 },
    { vms: 195, engines: 109, lengthMs: 12_000, seeds: 1 },
];

const scenarios: { name: string; options: Partial<PartWorldOptions>; }[] = [
    { name: "one fatal part", options: {} },
    { name: "two fatal parts", options: { fatalParts: 2 } },
    { name: "five fatal parts", options: { fatalParts: 5 } },
    { name: "engines also end for other reasons", options: { otherEndsMs: 1500 } },
    { name: "fatal requests come seldom", options: { fatalMs: 2500 } },
    { name: "all engines are busy", options: { requestsPerEngine: 30 } },
    { name: "the store is unreachable", options: { storeOutage: [0, 8000] } },
    {
        name: "all VMs are killed while the store is unreachable",
        options: { restartAt: 3000, storeOutage: [2800, 4500] },
    },
    { name: "all VMs are killed later", options: { fatalParts: 2, restartAt: 9000 } },
    { name: "fatal requests list parts of others", options: { listsOthers: true } },
];

function runWorlds({ seeds, ...size }: typeof sizes[number], options: Partial<PartWorldOptions>): PartTally[] {
    return Array.from({ length: seeds }, (_, index) => new PartWorld({ seed: index + 1, ...size, ...options }).run());
}

for (const size of sizes) {
    for (const { name, options } of scenarios) {
        test(`${size.vms} VMs, ${name}: fatal parts are no longer sent, and sound requests are served`, () => {
            for (const tally of runWorlds(size, options)) {
                assert.ok(tally.fatalEnds > 0, JSON.stringify(tally));
                assert.ok(tally.lateSends <= allowedLateSends, JSON.stringify(tally));
                assert.ok(tally.begunLate >= tally.soundLate * minBegunShare, JSON.stringify(tally));
            }
        });
    }

    test(`${size.vms} VMs: hardly any sound request is refused for its parts`, () => {
        const tallies = runWorlds(size, {});
        const sound = tallies.reduce((sum, tally) => sum + tally.sound, 0);
        const mistakes = tallies.reduce((sum, tally) => sum + tally.wronglyRefused, 0);
        assert.ok(mistakes <= sound * allowedMistakes, `${mistakes} of ${sound}`);
        assert.is(Math.max(...tallies.map(({ wronglyCondemned }) => wronglyCondemned)), 0);
    });
}

test.run();
