import { test } from "uvu";
import * as assert from "uvu/assert";
import { UpstreamBackoffs } from "../src/backoffs.js";

test("an upstream backs off until the latest end that it has requested", () => {
    const backoffs = new UpstreamBackoffs();
    backoffs.record("e1", 3000, 100);
    backoffs.record("e1", 500, 200);
    assert.equal([backoffs.findEnd("e1", 3099), backoffs.findEnd("e1", 3100)], [3100, undefined]);
    backoffs.record("e1", 3000, 2000);
    assert.equal([backoffs.isBackingOff("e1", 4999), backoffs.isBackingOff("e1", 5000)], [true, false]);
    assert.is(backoffs.isBackingOff("e1@2", 2000), false);
});

test("an upstream can request a new backoff after one has ended", () => {
    const backoffs = new UpstreamBackoffs();
    backoffs.record("e1", 10, 0);
    backoffs.record("e2", 1e12, 0);
    backoffs.record("e1", 10, 100);
    assert.equal([backoffs.findEnd("e1", 100), backoffs.findEnd("e2", 1e9)], [110, 1e12]);
});

test.run();
