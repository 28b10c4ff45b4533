import * as assert from "uvu/assert";
import { World } from "./shardgroup.js";

/** Creates VMs that have run for a while, with all shards assigned to the first VM. */
export async function createWorld(vms: readonly string[], standbys: readonly string[] = []): Promise<World> {
    const world = new World(vms);
    standbys.forEach(vm => world.standbys.add(vm));
    for (const vm of vms) {
        world.start(vm);
    }
    await world.schedule.advance(1000);
    world.planAssignment(() => vms[0]);
    await world.schedule.advance(7000);
    assert.equal(world.listHolders(0, 5000), [vms[0]]);
    return world;
}

/** Stops the holder during an outage of the store, so that the second VM takes over its shards. */
export async function createHandover(): Promise<World> {
    const world = await createWorld(["a", "b", "c", "d", "e"]);
    world.startOutage();
    await world.schedule.advance(2500);
    world.stop("a");
    await world.schedule.advance(600);
    assert.equal(world.listHolders(0, world.schedule.now - 100), ["b"]);
    return world;
}
