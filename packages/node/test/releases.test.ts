import type { OrderOutcome } from "@radishreel/fleet";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EarlierOrders } from "../src/ownership/earlierorders.js";
import { OrdersInFlight } from "../src/ownership/ordersinflight.js";
import { type Release, ShardReleases } from "../src/ownership/releases.js";
import { createSilentLog } from "./fixtures.js";
import { Schedule } from "./schedule.js";

interface ReleaseFixture {
    readonly schedule: Schedule;
    readonly ordersInFlight: OrdersInFlight;
    readonly releases: ShardReleases;
    /** Messages to the other VMs. */
    readonly messages: Release[];
}

/** Creates the releases of a VM whose only engine is in shard 1. */
function createFixture(reportedArrivalEnd = -Infinity): ReleaseFixture {
    const schedule = new Schedule();
    const readTime = (): number => schedule.now;
    const timers = {
        scheduleOnce: (run: () => void, waitMs: number) => {
            schedule.add(waitMs, run);
            return { cancel: () => {} };
        },
        scheduleEvery: () => ({ cancel: () => {} }),
    };
    const transit = { timers, readTime, maxTransitMs: 3000 };
    const ordersInFlight = new OrdersInFlight(transit);
    const earlierOrders = new EarlierOrders({ ...transit, leases: { firstGeneration: 1 } });
    earlierOrders.setFirstProcess();
    const messages: Release[] = [];
    const releases = new ShardReleases({
        log: createSilentLog(readTime),
        leases: { recordArrivals: () => {}, recordOwnArrivals: () => {}, readArrivalEnd: () => reportedArrivalEnd },
        holderGapMs: 3000,
        ordersInFlight,
        earlierOrders,
        readTime,
        findShard: () => 1,
        sendRelease: release => messages.push(release),
    });
    return { schedule, ordersInFlight, releases, messages };
}

/** Loses shard 1, to whose engine an order got no answer. @returns The messages to the other VMs. */
async function listMessages(released: number[], answeredAfterMs: number): Promise<Release[]> {
    const { schedule, ordersInFlight, releases, messages } = createFixture();
    const recordAnswer = ordersInFlight.record("e1", Promise.resolve<OrderOutcome>("unknown"));
    schedule.add(answeredAfterMs, recordAnswer);
    await releases.release([1], released, 4, "renewal");
    await schedule.advance(4000);
    return messages;
}

// Guards against an order of the next holder that overtakes one whose outcome the sender of the release still awaits.
test("a release is sent only once the outcome of the last order is known", async () => {
    const { schedule, ordersInFlight, releases, messages } = createFixture();
    const outcome = new Promise<OrderOutcome>(resolve => schedule.add(85, () => resolve("holds")));
    ordersInFlight.record("e1", outcome);
    schedule.add(80, () => {});
    const released = releases.release([1], [1], 4, "renewal");
    await schedule.advance(84);
    assert.equal(messages, []);
    await schedule.advance(1);
    await released;
    assert.equal(messages, [{ shards: [1], generation: 4, inTransit: [] }]);
});

// Guards against VMs of an earlier version, which read of released shards alone and order at once.
test("a shard whose order may still arrive is named as such, and released once the order is answered", async () => {
    assert.equal(await listMessages([1], 1200), [
        { shards: [], generation: 4, inTransit: [{ shard: 1, forMs: 3000 }] },
        { shards: [1], generation: 4, inTransit: [{ shard: 1, forMs: 0 }] },
    ]);
});

test("a VM hands on what it was told of orders that may still arrive", () => {
    const { releases } = createFixture(1500);
    assert.equal(releases.listAllInTransit([1]), [{ shard: 1, forMs: 1500 }]);
});

test("a shard that must not be released is not released either once its order is answered", async () => {
    assert.equal(await listMessages([], 1200), [
        { shards: [], generation: 4, inTransit: [{ shard: 1, forMs: 3000 }] },
        { shards: [], generation: 4, inTransit: [{ shard: 1, forMs: 0 }] },
    ]);
});

test.run();
