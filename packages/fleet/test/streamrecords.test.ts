import { test } from "uvu";
import * as assert from "uvu/assert";
import { StreamRecords } from "../src/index.js";

const first = { service: "s", softwareVersion: "v1" };
const second = { service: "s", softwareVersion: "v2" };

test("a record tells its origin until it expires", () => {
    const records = new StreamRecords();
    assert.is(records.merge({ stream: "a", origin: first, lifeMs: 100 }, 0), true);
    assert.is(records.merge({ stream: "a", origin: first, lifeMs: 50 }, 10), false);
    assert.equal(records.find("a", 60), { stream: "a", origin: first, lifeMs: 40 });
    assert.is(records.find("a", 100), undefined);
    assert.equal(records.list(100), []);
    records.expireOld(100);
    assert.is(records.count, 0);
});

test("records of two origins under one identifier tell none, whatever comes after them", () => {
    const records = new StreamRecords();
    records.merge({ stream: "a", origin: first, lifeMs: 100 }, 0);
    assert.is(records.merge({ stream: "a", origin: second, lifeMs: 100 }, 0), true);
    assert.is(records.merge({ stream: "a", origin: first, lifeMs: 100 }, 0), false);
    assert.is(records.find("a", 0)?.origin, undefined);
    assert.ok(records.find("a", 0) !== undefined);
});

test("the oldest record yields when there are too many", () => {
    const records = new StreamRecords(2);
    for (const stream of ["a", "b", "c"]) {
        records.merge({ stream, origin: first, lifeMs: 100 }, 0);
    }
    assert.equal(records.list(0).map(({ stream }) => stream), ["b", "c"]);
});

test("records that were learned since a time are listed", () => {
    const records = new StreamRecords();
    records.merge({ stream: "a", origin: first, lifeMs: 100 }, 0);
    records.merge({ stream: "b", origin: first, lifeMs: 100 }, 10);
    records.merge({ stream: "a", origin: first, lifeMs: 100 }, 20);
    assert.equal(records.list(20, 10).map(({ stream }) => stream), ["b"]);
});

test.run();
