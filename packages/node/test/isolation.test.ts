import { test } from "uvu";
import * as assert from "uvu/assert";
import { IsolationMonitor } from "../src/knowledge/isolation.js";

function runChecks(...signs: [hasOthers: boolean, othersQuietMs: number, storeQuietMs: number][]): boolean[] {
    const watch = new IsolationMonitor();
    return signs.map(([hasOthers, othersQuietMs, storeQuietMs]) => {
        watch.update({ hasOthers, othersQuietMs, storeQuietMs, isMesh: true });
        return watch.isIsolated;
    });
}

test("a VM that hears neither of other data centres nor of the store takes itself out, and comes back at the first sign", () => {
    const cut: [boolean, number, number] = [true, 1200, 1200];
    assert.equal(runChecks([true, 50, 300], cut, [true, 1450, 1450], [true, 1700, 10]), [false, false, true, false]);
    assert.equal(runChecks(cut, cut, [true, 30, 5000]), [false, true, false]);
});

test("an outage of the store alone, a cut between VMs alone, or a single data centre take nobody out", () => {
    assert.equal(runChecks([true, 100, 5000], [true, 100, 5250]), [false, false]);
    assert.equal(runChecks([true, 5000, 100], [true, 5250, 100]), [false, false]);
    assert.equal(runChecks([false, 0, 5000], [false, 0, 5250]), [false, false]);
});

test("among many VMs, which hear of each other less often, it takes twice as long", () => {
    const watch = new IsolationMonitor();
    const signs = { hasOthers: true, storeQuietMs: 5000, isMesh: false };
    for (const othersQuietMs of [1900, 2000]) {
        watch.update({ ...signs, othersQuietMs });
        assert.not(watch.isIsolated);
    }
    watch.update({ ...signs, othersQuietMs: 2150 });
    watch.update({ ...signs, othersQuietMs: 2400 });
    assert.ok(watch.isIsolated);
});

test("a VM that was paused does not take itself out for what it has not read yet", () => {
    assert.equal(runChecks([true, 5000, 5000], [true, 5, 300]), [false, false]);
});

test.run();
