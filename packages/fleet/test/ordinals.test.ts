import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createOrdinal, FleetView, maxEra, readEra, readNumber, ShardLeases, type Upstream } from "../src/index.js";

const number = fc.nat(2 ** 31 - 1);
const era = fc.nat(maxEra);

test("ordinals are ordered by era first, and give back their era and their number", () => {
    fc.assert(
        fc.property(era, number, era, number, (firstEra, first, secondEra, second) => {
            const [left, right] = [createOrdinal(firstEra, first), createOrdinal(secondEra, second)];
            assert.equal([readEra(left), readNumber(left)], [firstEra, first]);
            const isLess = firstEra < secondEra || (firstEra === secondEra && first < second);
            assert.is(left < right, isLess);
        }),
        { seed: 47, numRuns: 500 },
    );
    assert.is(readEra(-1), 0);
    assert.is(createOrdinal(0, 7), 7);
});

test("fencing tokens rise over eras, also with the highest number of an era, and stay exact", () => {
    const createLeases = (): ShardLeases =>
        new ShardLeases({ leaseMs: 1300, safetyMarginMs: 800, holderGapMs: 3000, startedAt: 0 });
    const readFence = (generation: number): number => {
        const leases = createLeases();
        leases.setFirstProcess();
        leases.applyRenewal(generation, [0], 0, 0);
        return leases.readFence(0);
    };
    const generations = [
        createOrdinal(1, 5),
        createOrdinal(1, 6),
        createOrdinal(1, 2 ** 32 - 1),
        createOrdinal(2, 0),
        createOrdinal(maxEra, 1),
        createOrdinal(maxEra, 2 ** 32 - 1),
    ];
    const fences = generations.map(readFence);
    assert.equal([...fences].sort((left, right) => left - right), fences);
    assert.is(new Set(fences).size, fences.length);
    assert.ok(fences.every(Number.isSafeInteger));
});

test("a renewal of an earlier era is outdated, and one of a later era ends leases that may have moved", () => {
    const leases = new ShardLeases({ leaseMs: 1300, safetyMarginMs: 800, holderGapMs: 3000, startedAt: 0 });
    leases.setFirstProcess();
    leases.applyRenewal(createOrdinal(1, 9), [0], 0, 0);
    assert.is(leases.canOrder(0, 2200), false);
    leases.applyRenewal(createOrdinal(1, 9), [0], 2200, 2200);
    assert.is(leases.canOrder(0, 2200), true);
    const fence = leases.readFence(0);
    leases.applyRenewal(createOrdinal(2, 3), [0], 5000, 5000);
    assert.is(leases.canOrder(0, 5000), false);
    assert.ok(leases.readFence(0) > fence);
    assert.is(leases.applyRenewal(createOrdinal(1, 9), [0], 5100, 5100), false);
});

test("no later entry revokes that an upstream is leaving, or shortens its notice", () => {
    const view = new FleetView();
    const upstream: Upstream = {
        id: "u1",
        name: "u1",
        bornAt: 0,
        service: "s",
        address: "127.0.0.1:1",
        dataCentre: "d",
        softwareVersion: "v1",
        isLeaving: true,
        remainingMs: 1500,
        slots: 1,
        models: [],
        sequence: 0,
    };
    view.updateUpstream(upstream, 0);
    view.updateUpstream({ ...upstream, isLeaving: false, remainingMs: undefined }, 100);
    assert.is(view.isUsable("u1"), false);
    assert.is(view.findUpstream("u1")?.shutdownAt, 1500);
    assert.equal(view.listAnnouncedLeaving(), ["u1"]);
});

test.run();
