import type { OrderOutcome } from "@radishreel/fleet";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { OrdersInFlight } from "../src/ownership/ordersinflight.js";
import { type Release, ShardReleases } from "../src/ownership/releases.js";
import { createSilentLog } from "./fixtures.js";
import { Schedule } from "./schedule.js";

/** Loses shard 1, to whose engine an order got no answer. @returns The messages to the other VMs. */
async function listMessages(released: number[], answeredAfterMs: number): Promise<Release[]> {
    const schedule = new Schedule();
    const readTime = (): number => schedule.now;
    const timers = {
        scheduleOnce: (run: () => void, waitMs: number) => {
            schedule.add(waitMs, run);
            return { cancel: () => {} };
        },
        scheduleEvery: () => ({ cancel: () => {} }),
    };
    const ordersInFlight = new OrdersInFlight({ timers, readTime, maxTransitMs: 3000 });
    const messages: Release[] = [];
    const releases = new ShardReleases({
        log: createSilentLog(readTime),
        leases: { recordArrivals: () => {}, recordOwnArrivals: () => {}, readArrivalEnd: () => -Infinity },
        holderGapMs: 3000,
        ordersInFlight,
        readTime,
        findShard: () => 1,
        sendRelease: release => messages.push(release),
    });
    const recordAnswer = ordersInFlight.record("e1", Promise.resolve<OrderOutcome>("unknown"));
    schedule.add(answeredAfterMs, recordAnswer);
    await releases.release([1], released, 4, "renewal");
    await schedule.advance(4000);
    return messages;
}

test("a release names the order that may still arrive, and another one follows once it is answered", async () => {
    assert.equal(await listMessages([1], 1200), [
        { shards: [1], generation: 4, inTransit: [{ shard: 1, forMs: 3000 }] },
        { shards: [1], generation: 4, inTransit: [{ shard: 1, forMs: 0 }] },
    ]);
});

test("a shard that must not be released is not released either once its order is answered", async () => {
    assert.equal(await listMessages([], 1200), [
        { shards: [], generation: 4, inTransit: [{ shard: 1, forMs: 3000 }] },
        { shards: [], generation: 4, inTransit: [{ shard: 1, forMs: 0 }] },
    ]);
});

test.run();
