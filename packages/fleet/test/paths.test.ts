import { test } from "uvu";
import * as assert from "uvu/assert";
import { DirectPaths, Relays } from "../src/index.js";

test("an upstream is tried directly first, and beside a tunnel once in each pause after a failure", () => {
    const paths = new DirectPaths();
    assert.equal(paths.choose("u", 0), { triesDirect: true, tunnelDelayMs: 100 });
    paths.recordFailed("u", "refused", 0);
    assert.equal(paths.choose("u", 199), { triesDirect: false, tunnelDelayMs: 0 });
    assert.equal(paths.choose("u", 200), { triesDirect: true, tunnelDelayMs: 0 });
    assert.equal(paths.choose("u", 201), { triesDirect: false, tunnelDelayMs: 0 });
});

test("pauses between direct attempts grow to 0.8 s, and end with the first success", () => {
    const paths = new DirectPaths();
    for (let now = 0; now < 5; now += 1) {
        paths.recordFailed("u", "silent", now);
    }
    assert.is(paths.choose("u", 803).triesDirect, false);
    assert.is(paths.choose("u", 804).triesDirect, true);
    paths.recordOpened("u");
    assert.is(paths.findFailure("u"), undefined);
    assert.equal(paths.choose("u", 805), { triesDirect: true, tunnelDelayMs: 100 });
});

test("relays of the own data centre come first, then those that carry less", () => {
    const relays = new Relays("a");
    const candidates = ["a1", "b1", "a2", "b2"].map(vm => ({ vm, dataCentre: vm[0] }));
    relays.recordOpened("a1");
    relays.recordOpened("b1");
    assert.equal(relays.rank(candidates, "u", 0), ["a2", "a1", "b2", "b1"]);
    relays.recordClosed("a1");
    assert.equal(relays.rank(candidates, "u", 0), ["a1", "a2", "b2", "b1"]);
});

test("a relay that could not connect is skipped for a second", () => {
    const relays = new Relays("a");
    const candidates = [{ vm: "a1", dataCentre: "a" }];
    relays.recordFailed("a1", 0);
    assert.equal(relays.rank(candidates, "u", 999), []);
    assert.equal(relays.rank(candidates, "u", 1000), ["a1"]);
});

test("a relay that has not reached one upstream is skipped for a second for that upstream only", () => {
    const relays = new Relays("a");
    const candidates = ["a1", "a2"].map(vm => ({ vm, dataCentre: "a" }));
    relays.recordUnreached("a1", "silent", 0);
    relays.recordUnreached("a2", "silent", 0);
    assert.equal(relays.rank(candidates, "silent", 999), []);
    assert.equal(relays.rank(candidates, "other", 1), ["a1", "a2"]);
    assert.equal(relays.rank(candidates, "silent", 1000), ["a1", "a2"]);
});

test.run();
