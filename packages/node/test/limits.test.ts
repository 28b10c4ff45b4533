import { test } from "uvu";
import * as assert from "uvu/assert";
import { serveWhileChanging } from "./changingserver.js";
import { LimitWorld, listVms, startLimit } from "./limitworld.js";
import { createRandom } from "./random.js";

test("nothing is written to an upstream that names a limit before its connection is open", async () => {
    const { status, reached, first } = await serveWhileChanging({
        onOpening: (view, upstream) => view.limits.apply({ upstream, perSecond: 0.1, revision: 1 }, performance.now()),
    });
    assert.is(status, 200);
    assert.equal(reached, ["s1", "s2"].filter(id => id !== first));
});

test("VMs that are cut off keep the limit together with the others", async () => {
    const vms = listVms(7);
    const world = new LimitWorld(vms);
    await startLimit(world, 2, vms);
    world.closePathsOf(["v0", "v1"]);
    await world.runRequests(vms, 40, 30_000, createRandom(3));
    world.openPaths();
    await world.runRequests(vms, 40, 10_000, createRandom(4));
    world.checkArrivals();
});

test("a VM that is suspended does not send later what it was granted before", async () => {
    const vms = listVms(3);
    const world = new LimitWorld(vms);
    await startLimit(world, 20, vms);
    for (let round = 0; round < 10; round += 1) {
        world.processes.get(vms[round % 3]!)?.pause(2000);
        await world.runRequests(vms, 60, 3000, createRandom(round));
    }
    world.checkArrivals();
});

test("an upstream gets all requests again once a response names no limit", async () => {
    const vms = listVms(7);
    const world = new LimitWorld(vms);
    await startLimit(world, 1, vms);
    world.setLimit(undefined);
    await world.runRequests(vms, 20, 4000, createRandom(5));
    const from = world.schedule.now;
    await world.runRequests(vms, 20, 4000, createRandom(6));
    assert.ok(world.countArrivals(from, from + 4000) > 60);
});

test.run();
