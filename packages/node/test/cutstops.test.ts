import { test } from "uvu";
import * as assert from "uvu/assert";
import type { World } from "./shardgroup.js";
import { createWorld } from "./shardworlds.js";

const vms = ["a", "b", "c", "d", "e"];

/** Stops the holder as planned, kills it during its stop, and starts it again. */
async function createCutStop(stopMs: number, downMs: number): Promise<World> {
    const world = await createWorld(vms);
    world.lostOrderMs = Infinity;
    world.chooseTransitMs = vm => vm === "a" ? 2950 : 3;
    await world.schedule.advance(400);
    world.stop("a");
    await world.schedule.advance(stopMs);
    world.kill("a");
    world.chooseTransitMs = () => 3;
    await world.schedule.advance(downMs);
    world.start("a");
    await world.schedule.advance(9000);
    assert.is(world.listHolders(0, world.schedule.now - 500).length, 1);
    return world;
}

const cutStops = [0, 20, 60, 100, 150, 400, 800].flatMap(stopMs => [50, 300].map(downMs => ({ stopMs, downMs })));

// Guards against an entry that says that the process left as planned, although it was killed before its release.
test("late orders of a process that was killed in a planned stop have no lower token than those before them", async () => {
    for (const { stopMs, downMs } of cutStops) {
        const { arrived } = await createCutStop(stopMs, downMs);
        for (const engine of new Set(arrived.map(order => order.engine))) {
            const fences = arrived.filter(order => order.engine === engine).map(({ fence }) => fence);
            assert.equal(fences, [...fences].sort((left, right) => left - right));
        }
    }
});

// Guards against turns at one engine: the next process keeps the holder gap from its start, not from late arrivals.
test("a VM that was killed in a planned stop keeps the holder gap after the arrival of its last order", async () => {
    for (const { stopMs, downMs } of cutStops) {
        const world = await createCutStop(stopMs, downMs);
        world.checkOrders();
    }
});

test.run();
