import { test } from "uvu";
import * as assert from "uvu/assert";
import { type LimitChange, UpstreamLimits } from "../src/index.js";

const readRate = (limits: UpstreamLimits): number | undefined => limits.find("e1")?.perSecond;

/** Receives the response to a request that was written after all earlier statements. */
function receiveNewest(limits: UpstreamLimits, perSecond: number | undefined, now = 0): LimitChange | undefined {
    return limits.recordResponse("e1", perSecond, limits.countStatements("e1"), now);
}

test("a limit is in force from the first response that names it until a newer response names none", () => {
    const limits = new UpstreamLimits();
    assert.equal(receiveNewest(limits, 2, 100), { upstream: "e1", perSecond: 2, revision: 1 });
    assert.equal([limits.find("e1"), limits.count], [{ perSecond: 2, since: 100 }, 1]);
    assert.is(receiveNewest(limits, 2, 200), undefined);
    assert.is(limits.find("e1")?.since, 100);
    assert.equal(receiveNewest(limits, undefined, 300), { upstream: "e1", perSecond: undefined, revision: 2 });
    assert.equal([readRate(limits), limits.count], [undefined, 0]);
});

test("a response to a request that was written before the limit was last named neither ends nor raises it", () => {
    const limits = new UpstreamLimits();
    const before = limits.countStatements("e1");
    receiveNewest(limits, 2);
    assert.is(limits.recordResponse("e1", undefined, before, 0), undefined);
    assert.is(limits.recordResponse("e1", 5, before, 0), undefined);
    const between = limits.countStatements("e1");
    receiveNewest(limits, 2);
    assert.is(limits.recordResponse("e1", undefined, between, 0), undefined);
    assert.is(readRate(limits), 2);
});

test("a lower limit is accepted from a response to an earlier request", () => {
    const limits = new UpstreamLimits();
    const before = limits.countStatements("e1");
    receiveNewest(limits, 2);
    assert.is(limits.recordResponse("e1", 1, before, 0)?.revision, 2);
    assert.is(readRate(limits), 1);
});

test("a limit is raised while responses that name the higher limit overlap", () => {
    const limits = new UpstreamLimits();
    receiveNewest(limits, 2);
    const written = [0, 1, 2].map(() => limits.countStatements("e1"));
    for (const statements of written) {
        limits.recordResponse("e1", 5, statements, 0);
    }
    assert.is(readRate(limits), 5);
});

test("changes that other VMs announce are applied in the order of their revisions", () => {
    const limits = new UpstreamLimits();
    assert.is(limits.apply({ upstream: "e1", perSecond: 3, revision: 4 }, 0), true);
    assert.is(limits.apply({ upstream: "e1", perSecond: undefined, revision: 3 }, 0), false);
    assert.is(limits.apply({ upstream: "e1", perSecond: 3, revision: 4 }, 0), false);
    assert.is(limits.apply({ upstream: "e1", perSecond: undefined, revision: 5 }, 0), true);
    assert.is(limits.apply({ upstream: "e1", perSecond: 3, revision: 4 }, 0), false);
    assert.is(readRate(limits), undefined);
});

test("of two changes with the same revision all VMs keep the lower limit", () => {
    const changes: LimitChange[] = [undefined, 5, 2].map(perSecond => ({ upstream: "e1", perSecond, revision: 1 }));
    for (const order of [[0, 1, 2], [2, 1, 0], [1, 2, 0]]) {
        const limits = new UpstreamLimits();
        order.forEach(index => limits.apply(changes[index]!, 0));
        assert.is(readRate(limits), 2);
    }
});

test("a limit that another VM announces is not ended by a response to a request that was written before", () => {
    const limits = new UpstreamLimits();
    const before = limits.countStatements("e1");
    limits.apply({ upstream: "e1", perSecond: 1, revision: 1 }, 0);
    assert.is(limits.recordResponse("e1", undefined, before, 0), undefined);
    assert.is(readRate(limits), 1);
});

test("ends of limits are listed too, and a restarted upstream has no limit", () => {
    const limits = new UpstreamLimits();
    receiveNewest(limits, 1);
    receiveNewest(limits, undefined);
    assert.equal(limits.list(), [{ upstream: "e1", perSecond: undefined, revision: 2 }]);
    receiveNewest(limits, 1);
    assert.is(limits.find("e1@2"), undefined);
});

test("the expected wait ends with the limit", () => {
    const limits = new UpstreamLimits();
    receiveNewest(limits, 1);
    limits.recordGrantExpected("e1", 500);
    assert.equal([limits.readWaitMs("e1", 200), limits.readWaitMs("e1", 600)], [300, 0]);
    limits.recordUndecided("e1", 300);
    assert.equal([limits.isUndecided("e1", 299), limits.isUndecided("e1", 300)], [true, false]);
    receiveNewest(limits, undefined);
    assert.is(limits.readWaitMs("e1", 200), 0);
});

test.run();
