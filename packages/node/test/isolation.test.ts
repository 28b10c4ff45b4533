import { test } from "uvu";
import * as assert from "uvu/assert";
import { IsolationMonitor } from "../src/knowledge/isolation.js";

function runChecks(...signals: [hasOthers: boolean, othersQuietMs: number, storeQuietMs: number][]): boolean[] {
    const monitor = new IsolationMonitor();
    return signals.map(([hasOthers, othersQuietMs, storeQuietMs]) => {
        monitor.update({ hasOthers, othersQuietMs, storeQuietMs, isMesh: true });
        return monitor.isIsolated;
    });
}

test("a VM that loses contact with other data centres and with the store is isolated until the first contact", () => {
    const silent: [boolean, number, number] = [true, 1200, 1200];
    assert.equal(runChecks([true, 50, 300], silent, [true, 1450, 1450], [true, 1700, 10]), [false, false, true, false]);
    assert.equal(runChecks(silent, silent, [true, 30, 5000]), [false, true, false]);
});

test("a VM is not isolated by silence of only the store, of only the other VMs, or in a single data centre", () => {
    assert.equal(runChecks([true, 100, 5000], [true, 100, 5250]), [false, false]);
    assert.equal(runChecks([true, 5000, 100], [true, 5250, 100]), [false, false]);
    assert.equal(runChecks([false, 0, 5000], [false, 0, 5250]), [false, false]);
});

test("a VM among many, whose heartbeats are less frequent, is isolated after twice as long a silence", () => {
    const monitor = new IsolationMonitor();
    const signals = { hasOthers: true, storeQuietMs: 5000, isMesh: false };
    for (const othersQuietMs of [1900, 2000]) {
        monitor.update({ ...signals, othersQuietMs });
        assert.not(monitor.isIsolated);
    }
    monitor.update({ ...signals, othersQuietMs: 2150 });
    monitor.update({ ...signals, othersQuietMs: 2400 });
    assert.ok(monitor.isIsolated);
});

test("a VM that was paused is not isolated by the first check, before it reads the frames that have arrived", () => {
    assert.equal(runChecks([true, 5000, 5000], [true, 5, 300]), [false, false]);
});

test.run();
