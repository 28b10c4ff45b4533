import { test } from "uvu";
import * as assert from "uvu/assert";
import { UpstreamRests } from "../src/rests.js";

test("an upstream rests until the latest end that it has asked for", () => {
    const rests = new UpstreamRests();
    rests.record("e1", 3000, 100);
    rests.record("e1", 500, 200);
    assert.equal([rests.findEnd("e1", 3099), rests.findEnd("e1", 3100)], [3100, undefined]);
    rests.record("e1", 3000, 2000);
    assert.equal([rests.isResting("e1", 4999), rests.isResting("e1", 5000)], [true, false]);
    assert.is(rests.isResting("e1@2", 2000), false);
});

test("a rest that has ended is asked for anew", () => {
    const rests = new UpstreamRests();
    rests.record("e1", 10, 0);
    rests.record("e2", 1e12, 0);
    rests.record("e1", 10, 100);
    assert.equal([rests.findEnd("e1", 100), rests.findEnd("e2", 1e9)], [110, 1e12]);
});

test.run();
