import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Popularity, StoreShare, WaitRank } from "../src/index.js";

const models = ["a", "b", "c", "d", "e"];

test("WaitRank finds a model with the same total wait as a scan over all models", () => {
    const step = fc.record({
        model: fc.constantFrom(...models),
        count: fc.nat(4),
        age: fc.nat(1000),
        ineligible: fc.subarray(models),
    });
    fc.assert(
        fc.property(fc.array(step, { maxLength: 40 }), steps => {
            const rank = new WaitRank();
            const naive = new Map<string, { count: number; startSum: number; }>();
            let now = 0;
            for (const { model, count, age, ineligible } of steps) {
                now += 10;
                const startSum = count * now - age;
                rank.setWaiting(model, count, startSum);
                naive.delete(model);
                if (count > 0) {
                    naive.set(model, { count, startSum });
                }
                const totals = [...naive].filter(([name]) => !ineligible.includes(name)).map(([, entry]) =>
                    entry.count * now - entry.startSum
                );
                const best = rank.findBest(now, name => !ineligible.includes(name));
                assert.is(
                    best === undefined ? -1 : rank.readTotal(best, now),
                    totals.length === 0 ? -1 : Math.max(...totals),
                );
            }
        }),
        { seed: 7, numRuns: 300 },
    );
});

test("a decayed count halves with each half-life, and the order of models does not change without arrivals", () => {
    const popularity = new Popularity({ halfLifeMs: 1000 });
    popularity.recordArrivals("old", 8, 0);
    popularity.recordArrivals("new", 3, 1000);
    assert.ok(Math.abs(popularity.readCount("old", 1000) - 4) < 1e-9);
    assert.ok(popularity.readScore("old") > popularity.readScore("new"));
    assert.ok(popularity.readCount("old", 9000) > popularity.readCount("new", 9000));
    popularity.expire(60_000);
    assert.is(popularity.size, 0);
});

/** Last report of the other of two data centres with equal shares, and the load rate permitted to this one. */
const shareCases: readonly { name: string; isWanting: boolean; receivedAt: number; rate: number; }[] = [
    { name: "uses its share", isWanting: true, receivedAt: 0, rate: 1 },
    { name: "lends its share", isWanting: false, receivedAt: 0, rate: 2 },
    { name: "lent its share but sends no more messages", isWanting: false, receivedAt: -10_000, rate: 1 },
];

for (const { name, isWanting, receivedAt, rate } of shareCases) {
    test(`${rate} loads per second may start when the other data centre ${name}`, () => {
        const share = new StoreShare({ dataCentre: "here", loadsPerSecond: 2, weights: {} });
        share.addDataCentre("there");
        share.receive("there", isWanting, receivedAt);
        assert.is(share.readLoadRate(100), rate);
    });
}

test("a data centre that has never sent a message counts as using its share", () => {
    const share = new StoreShare({ dataCentre: "here", loadsPerSecond: 3, weights: { there: 2 } });
    share.addDataCentre("there");
    assert.is(share.readLoadRate(0), 1);
});

test.run();
