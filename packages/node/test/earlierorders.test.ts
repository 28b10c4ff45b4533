import { test } from "uvu";
import * as assert from "uvu/assert";
import { processTimers } from "../src/clock.js";
import { EarlierOrders } from "../src/ownership/earlierorders.js";
import { World } from "./shardgroup.js";
import { createWorld } from "./shardworlds.js";

const vms = ["a", "b", "c", "d", "e"];

/** Kills the holder, whose last orders are under way for long, and starts it again in its generation. */
async function createRestart(downMs: number): Promise<World> {
    const world = await createWorld(vms);
    world.lostOrderMs = Infinity;
    world.chooseTransitMs = vm => vm === "a" ? 2950 : 3;
    await world.schedule.advance(400);
    world.kill("a");
    world.chooseTransitMs = () => 3;
    await world.schedule.advance(downMs);
    world.start("a");
    return world;
}

async function checkNextHolder(world: World, holder: string): Promise<void> {
    await world.schedule.advance(9000);
    assert.equal(world.listHolders(0, world.schedule.now - 500), [holder]);
    world.checkOrders();
}

// Guards against a lower token after a higher one: the process after a kill released shards without a word of the orders
// of its predecessor.
test("late orders of a killed process do not arrive after those of the holder after its restarted VM", async () => {
    for (const downMs of [50, 200, 350, 500, 650]) {
        for (let heldMs = 300; heldMs <= 2300; heldMs += 250) {
            const world = await createRestart(downMs);
            await world.schedule.advance(heldMs);
            world.planAssignment(() => "b");
            await checkNextHolder(world, "b");
        }
    }
});

test("late orders of a process before an entry that was lost do not arrive after those of the next holder", async () => {
    for (let heldMs = 50; heldMs <= 850; heldMs += 100) {
        const world = await createWorld(vms);
        // A VM with shards renews so often that it learns at once of another one.
        world.planAssignment(shard => shard === 0 ? "a" : "b");
        await world.schedule.advance(6000);
        world.lostOrderMs = Infinity;
        world.chooseTransitMs = vm => vm === "a" ? 2950 : 3;
        await world.schedule.advance(400);
        world.kill("a");
        world.entries.delete("a");
        world.chooseTransitMs = () => 3;
        world.start("a");
        await world.schedule.advance(heldMs);
        world.planAssignment(() => "b");
        await checkNextHolder(world, "b");
    }
});

// Guards against a release after the word of a peer, whose sender does not know its successor from the store.
test("a restarted VM that learns from a peer of its loss reports the orders of its earlier process", async () => {
    for (let heldMs = 900; heldMs <= 1500; heldMs += 100) {
        const world = await createRestart(50);
        await world.schedule.advance(heldMs);
        world.cutOff.add("a");
        world.planAssignment(() => "b");
        await checkNextHolder(world, "b");
    }
});

test("a restarted VM that stops reports the orders of its earlier process", async () => {
    for (let heldMs = 900; heldMs <= 1900; heldMs += 100) {
        const world = await createRestart(50);
        await world.schedule.advance(heldMs);
        world.stop("a");
        await world.schedule.advance(9000);
        world.checkOrders();
    }
});

test("a restarted VM that hands its shards over names the orders of its earlier process", async () => {
    for (let heldMs = 1900; heldMs <= 2400; heldMs += 100) {
        const world = await createRestart(50);
        await world.schedule.advance(50);
        // In its first generation a restarted VM has no token left for a handover.
        world.planAssignment(() => "a");
        await world.schedule.advance(1300);
        world.startOutage();
        await world.schedule.advance(heldMs - 1350);
        world.stop("a");
        await checkNextHolder(world, "b");
    }
});

// Guards against sound engines that wait for orders that nobody can have given.
test("the next holder does not wait for an earlier process where the first one of a VM loses a shard", async () => {
    const world = new World(vms);
    vms.forEach(vm => world.start(vm));
    await world.schedule.advance(100);
    world.planAssignment(() => "a");
    await world.schedule.advance(2300);
    assert.equal(world.listHolders(0), ["a"]);
    world.planAssignment(() => "b");
    await world.schedule.advance(600);
    assert.equal(world.listHolders(0), ["a", "b"]);
});

test("the next holder does not wait for an earlier process that did not hold the shard", async () => {
    const world = await createWorld(vms);
    const owners = ["a", "b", "c", "c"];
    world.planAssignment(shard => owners[shard]);
    await world.schedule.advance(6000);
    world.kill("a");
    await world.schedule.advance(50);
    const startedAt = world.schedule.now;
    world.start("a");
    await world.schedule.advance(30);
    world.planAssignment(shard => ["a", "a", "c", "c"][shard]);
    await world.schedule.advance(400);
    world.planAssignment(shard => ["a", "c", "c", "c"][shard]);
    await world.schedule.advance(3000);
    const first = world.arrived.find(({ engine, holder }) => engine === world.findEngine(1) && holder === "c")!;
    assert.ok(first.at < startedAt + 2950, `${first.at - startedAt} ms`);
    world.checkOrders();
});

function createEarlierOrders(readTime: () => number): EarlierOrders {
    return new EarlierOrders({ timers: processTimers, readTime, maxTransitMs: 3000, leases: { firstGeneration: 4 } });
}

test("no shard is waited for once the last order of the earlier process must have arrived", () => {
    let now = 100;
    const orders = createEarlierOrders(() => now);
    now = 3099;
    assert.is(orders.findLastArrival(1), 3100);
    now = 3100;
    assert.is(orders.findLastArrival(1), undefined);
});

test("shards that the earlier process did not hold in the generation of the start are not waited for", () => {
    const orders = createEarlierOrders(() => 100);
    orders.setRecordedGeneration(4, { 1: 64 });
    assert.equal([orders.findLastArrival(1), orders.findLastArrival(2)], [3100, undefined]);
});

test("all shards are waited for if the leases of the earlier process are unknown", () => {
    const withoutEntry = createEarlierOrders(() => 100);
    const withoutFences = createEarlierOrders(() => 100);
    withoutFences.setRecordedGeneration(4, undefined);
    const ofOldGeneration = createEarlierOrders(() => 100);
    ofOldGeneration.setRecordedGeneration(3, { 1: 48 });
    for (const orders of [withoutEntry, withoutFences, ofOldGeneration]) {
        assert.equal([orders.findLastArrival(1), orders.findLastArrival(2)], [3100, 3100]);
    }
});

test.run();
