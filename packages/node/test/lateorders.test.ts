import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRandom } from "./random.js";
import { createHandover, createWorld } from "./shardworlds.js";

// Guards against turns at one engine: a shard changes its holder while orders of the one before are under way.
test("orders that arrive seconds after they were sent do not arrive after those of the next holder", async () => {
    for (let seed = 1; seed <= 12; seed++) {
        const choose = createRandom(seed);
        const world = await createWorld(["a", "b", "c"]);
        world.lostOrderMs = Infinity;
        world.chooseTransitMs = vm => vm === "a" ? 300 + choose() * 1700 : 3;
        for (let deal = 0; deal < 8; deal++) {
            await world.schedule.advance(100 + choose() * 2400);
            const holder = world.vms[Math.floor(choose() * 3)];
            world.planAssignment(() => holder);
        }
        await world.schedule.advance(8000);
        world.checkOrders();
    }
});

// Guards against an order to a handed-over shard that arrives after those of the VM to which the store assigns it.
test("late orders to handed-over shards do not arrive after those of the next holder", async () => {
    for (let seed = 1; seed <= 8; seed++) {
        const choose = createRandom(seed);
        const world = await createHandover();
        world.lostOrderMs = Infinity;
        world.chooseTransitMs = vm => vm === "b" ? 2000 + choose() * 900 : 3;
        await world.schedule.advance(1000 + choose() * 400);
        world.endOutage(true);
        world.planAssignment(() => "c");
        await world.schedule.advance(8000);
        world.checkOrders();
    }
});

// Guards against a receiver of a handover that gives orders while one of the sender, which has a lower token, may still
// arrive.
test("a VM that takes over shards waits for the orders of their sender that may still arrive", async () => {
    for (let seed = 1; seed <= 8; seed++) {
        const choose = createRandom(seed);
        const world = await createWorld(["a", "b", "c", "d", "e"]);
        world.lostOrderMs = Infinity;
        world.startOutage();
        await world.schedule.advance(2000);
        world.chooseTransitMs = vm => vm === "a" ? 1500 + choose() * 1300 : 3;
        await world.schedule.advance(400 + choose() * 400);
        world.stop("a");
        await world.schedule.advance(8000);
        assert.equal(world.listHolders(0, world.schedule.now - 2000), ["b"]);
        world.checkOrders();
    }
});

// Guards against an order of a VM that lost its handed-over shards to the restart of their sender. No assignment shows
// this loss, so that only the VM itself can report the order to the VM to which the store assigns the shards meanwhile.
test("late orders to shards whose handover has ended do not arrive after those of the next holder", async () => {
    for (let offsetMs = 0; offsetMs < 1200; offsetMs += 200) {
        for (const isRestartedCutOff of [false, true]) {
            const world = await createHandover();
            world.lostOrderMs = Infinity;
            world.chooseTransitMs = vm => vm === "b" ? 2950 : 3;
            await world.schedule.advance(1000 + offsetMs);
            world.kill("a");
            world.endOutage(true);
            if (isRestartedCutOff) {
                // The restarted VM never holds the shards, and reports nothing of its earlier process either.
                world.cutOff.add("a");
            }
            world.start("a");
            await world.schedule.advance(50);
            world.planAssignment(() => "c");
            world.cutOff.delete("a");
            await world.schedule.advance(8000);
            assert.equal(world.listHolders(0, world.schedule.now - 2000), ["c"]);
            world.checkOrders();
        }
    }
});

// Guards against turns at one engine: a VM that finds no entry of its own counts as one that never gave orders.
test("a VM that restarts without its entry keeps the holder gap after its earlier orders", async () => {
    for (let downMs = 50; downMs < 700; downMs += 100) {
        const world = await createWorld(["a", "b", "c"]);
        world.planAssignment(() => "b");
        await world.schedule.advance(500);
        world.kill("a");
        world.entries.delete("a");
        await world.schedule.advance(downMs);
        world.start("a");
        await world.schedule.advance(50);
        world.planAssignment(() => "a");
        await world.schedule.advance(8000);
        assert.equal(world.listHolders(0, world.schedule.now - 500), ["a"]);
        world.checkOrders();
    }
});

// Guards against a holder gap that counts from the loss of the shard, although the last order arrives 2 s later.
test("a VM that gets a shard back keeps the holder gap after the arrival of its last order", async () => {
    const world = await createWorld(["a", "b"]);
    world.lostOrderMs = Infinity;
    world.chooseTransitMs = vm => vm === "a" ? 2000 : 3;
    await world.schedule.advance(1000);
    world.planAssignment(() => "b");
    await world.schedule.advance(4200);
    assert.equal(world.listHolders(0, world.schedule.now - 300), ["b"]);
    world.chooseTransitMs = () => 3;
    world.planAssignment(() => "a");
    await world.schedule.advance(8000);
    assert.equal(world.listHolders(0, world.schedule.now - 500), ["a"]);
    world.checkOrders();
});

// Guards against a lower token after a higher one at one engine: a killed VM reports no order under way, and restarts
// while the generation of its last orders is still in force.
test("late orders of a killed process have no lower token than those of the next process of its VM", async () => {
    for (let downMs = 50; downMs < 700; downMs += 100) {
        const choose = createRandom(downMs);
        const world = await createWorld(["a", "b", "c"]);
        world.lostOrderMs = Infinity;
        world.chooseTransitMs = vm => vm === "a" ? 300 + choose() * 1700 : 3;
        await world.schedule.advance(1000);
        world.kill("a");
        world.chooseTransitMs = () => 3;
        await world.schedule.advance(downMs);
        world.start("a");
        await world.schedule.advance(6000);
        assert.equal(world.listHolders(0, world.schedule.now - 500), ["a"]);
        world.planAssignment(() => "b");
        await world.schedule.advance(6000);
        assert.equal(world.listHolders(0, world.schedule.now - 500), ["b"]);
        world.checkOrders();
    }
});

// Guards against turns at one engine: a process that starts counts the orders of the one before as over too early.
test("a killed VM that gets its shards back keeps the holder gap after the arrival of its earlier late orders", async () => {
    for (let downMs = 50; downMs < 700; downMs += 100) {
        const world = await createWorld(["a", "b", "c"]);
        world.lostOrderMs = Infinity;
        world.chooseTransitMs = vm => vm === "a" ? 1200 : 3;
        await world.schedule.advance(1000);
        world.planAssignment(() => "b");
        await world.schedule.advance(100);
        world.kill("a");
        world.chooseTransitMs = () => 3;
        await world.schedule.advance(downMs);
        world.start("a");
        await world.schedule.advance(2700);
        assert.equal(world.listHolders(0, world.schedule.now - 300), ["b"]);
        world.planAssignment(() => "a");
        await world.schedule.advance(8000);
        assert.equal(world.listHolders(0, world.schedule.now - 500), ["a"]);
        world.checkOrders();
    }
});

// Guards against VMs of an earlier version in a rolling upgrade: they read which shards are released, not which orders
// may still arrive.
test("VMs that read no reports of late orders do not order before these have arrived", async () => {
    for (let seed = 1; seed <= 12; seed++) {
        const choose = createRandom(seed);
        const world = await createWorld(["a", "b", "c"]);
        for (const { ownership } of world.processes.values()) {
            const recordRelease = ownership.recordRelease.bind(ownership);
            ownership.recordRelease = (vm, { shards, generation }) => recordRelease(vm, { shards, generation });
        }
        world.lostOrderMs = Infinity;
        world.chooseTransitMs = vm => vm === "a" ? 300 + choose() * 1700 : 3;
        for (let deal = 0; deal < 8; deal++) {
            await world.schedule.advance(100 + choose() * 2400);
            const holder = world.vms[Math.floor(choose() * 3)];
            world.planAssignment(() => holder);
        }
        await world.schedule.advance(8000);
        world.checkOrders();
    }
});

test.run();
