import { test } from "uvu";
import * as assert from "uvu/assert";
import { StreamHistoryReader } from "../src/streams/history.js";
import { createRandom } from "./random.js";
import { type SimulatedStream, startWorld, type StreamWorld } from "./streamworld.js";

/** Random histories for each number of VMs. `RADISHREEL_STREAM_SEEDS` sets another number, for long runs by hand. */
const seeds = Number(process.env.RADISHREEL_STREAM_SEEDS ?? 12);
const firstSeed = Number(process.env.RADISHREEL_STREAM_SEED ?? 1);

/** Share of resumed streams that go on at VMs in touch. */
const minShare = 0.95;

const twoVersions = ["v1", "v1", "v1.1", "v1.1"];

for (const count of [1, 3, 7, 195]) {
    test(`resumed streams go on among ${count} VMs`, async () => {
        const world = await startWorld(count, twoVersions, createRandom(count));
        const streams = world.beginStreams(100);
        await world.schedule.advance(50);
        assert.is(await world.measureResumed(streams), 1);
        world.checkStreams();
    });
}

for (const count of [7, 60]) {
    for (const versions of [["v1", "v1"], twoVersions]) {
        const which = `${count} VMs and ${new Set(versions).size} versions`;

        test(`resumed streams go on after half of the VMs were killed, ${which}`, async () => {
            const world = await startWorld(count, versions, createRandom(count));
            const streams = world.beginStreams(200);
            await world.schedule.advance(5);
            world.vms.filter((_vm, index) => index % 2 === 0).forEach(vm => world.kill(vm));
            assert.ok(await world.measureResumed(streams) >= minShare);
            world.checkStreams();
        });

        test(`resumed streams go on after all VMs were killed, ${which}`, async () => {
            const world = await startWorld(count, versions, createRandom(count));
            const streams: SimulatedStream[] = [];
            for (let batch = 0; batch < 40; batch++) {
                streams.push(...world.beginStreams(10));
                await world.schedule.advance(50);
            }
            world.vms.forEach(vm => world.kill(vm));
            await world.schedule.advance(1500);
            world.vms.forEach(vm => world.startVm(vm));
            await world.schedule.advance(300);
            assert.ok(await world.measureResumed(streams) >= minShare);
            world.checkStreams();
        });

        test(`resumed streams go on while the VMs restart in turn, ${which}`, async () => {
            const world = await startWorld(count, versions, createRandom(count));
            const streams = world.beginStreams(200);
            await world.schedule.advance(5);
            for (const vm of world.vms) {
                world.kill(vm);
                await world.schedule.advance(20);
                world.startVm(vm);
                await world.schedule.advance(20);
            }
            assert.ok(await world.measureResumed(streams) >= minShare);
            world.checkStreams();
        });

        test(`resumed streams go on while no VM reaches the store, ${which}`, async () => {
            const world = await startWorld(count, versions, createRandom(count));
            world.vms.forEach(vm => world.store.cutOffVms.add(vm));
            await world.schedule.advance(3000);
            const streams = world.beginStreams(200);
            await world.schedule.advance(5);
            const ends = await Promise.all([
                ...streams.map(stream =>
                    world.resumeStream(stream, world.choose([...world.processes.values()])!, stream.id)
                ),
                world.schedule.advance(2000),
            ]);
            assert.ok(ends.filter(end => end === "resumed").length / streams.length >= minShare);
            world.checkStreams();
        });
    }
}

test("streams without a record are refused while two versions serve, and go on while one does", async () => {
    for (const [versions, expected] of [[["v1", "v1"], "resumed"], [twoVersions, "refused"]] as const) {
        const world = await startWorld(7, versions, createRandom(1));
        const [stream] = world.beginStreams(1);
        await world.schedule.advance(5);
        for (const resumes of [undefined, "unknown"]) {
            const end = world.resumeStream(stream!, world.processes.get("vm003")!, resumes);
            await world.schedule.advance(1000);
            assert.is(await end, expected);
        }
    }
});

test("a VM that has read nothing of a new version does not take a stream for one of the old version", async () => {
    const world = await startWorld(3, ["v1", "v1"], createRandom(1));
    world.store.cutOffVms.add("vm000");
    world.closePathsOf(["vm000"]);
    world.addWorker("v1.1");
    await world.schedule.advance(1000);
    const streams = Array.from({ length: 20 }, () => world.beginStream(world.processes.get("vm001")!)!);
    assert.ok(streams.some(({ versions }) => versions.has("v1.1")));
    const ends = streams.map(stream => world.resumeStream(stream, world.processes.get("vm000")!, stream.id));
    await world.schedule.advance(3000);
    assert.equal(new Set(await Promise.all(ends)), new Set(["refused"]));
});

test("a VM that does not know a new VM does not take a stream of that VM for one of the old version", async () => {
    for (const isCutOff of [true, false]) {
        const world = await startWorld(4, ["v1", "v1"], createRandom(1), 1);
        world.closePathBetween("vm000", "vm003");
        if (isCutOff) {
            world.store.cutOffVms.add("vm000");
        }
        world.addWorker("v2");
        world.startVm("vm003");
        const added = world.processes.get("vm003")!;
        for (let ms = 0; ms < 100 && !added.listWorkers().some(({ version }) => version === "v2"); ms++) {
            await world.schedule.advance(1);
        }
        const streams = Array.from({ length: 20 }, () => world.beginStream(added)!);
        assert.ok(streams.some(({ versions }) => versions.has("v2")));
        // The records are on their way when the new VM ends.
        world.kill("vm003");
        const vm = world.processes.get("vm000")!;
        const ends = streams.map(stream => world.resumeStream(stream, vm, undefined));
        await world.schedule.advance(3000);
        assert.equal([...new Set(await Promise.all(ends))], ["refused"], `cut off: ${isCutOff}`);
        world.checkStreams();
    }
});

test("VMs that take over the records of streams from killed ones receive all of them", async () => {
    const world = await startWorld(60, twoVersions, createRandom(1));
    world.vms.forEach(vm => world.store.cutOffVms.add(vm));
    const holders = world.listStreamHolders();
    const others = world.vms.filter(vm => !holders.includes(vm));
    const streams = others.slice(0, 20).map(vm => world.beginStream(world.processes.get(vm)!)!);
    await world.schedule.advance(10);
    holders.forEach(vm => world.kill(vm));
    await world.schedule.advance(500);
    others.slice(0, 20).forEach(vm => world.kill(vm));
    world.store.cutOffVms.clear();
    world.store.records.splice(0);
    assert.ok(await world.measureResumed(streams) >= minShare);
    world.checkStreams();
});

test("records that the store refused are written once it accepts them", async () => {
    const world = await startWorld(7, twoVersions, createRandom(1));
    world.store.isReadOnly = true;
    const streams = world.beginStreams(50);
    await world.schedule.advance(500);
    world.store.isReadOnly = false;
    await world.schedule.advance(300);
    world.vms.forEach(vm => world.kill(vm));
    world.vms.forEach(vm => world.startVm(vm));
    await world.schedule.advance(300);
    assert.is(await world.measureResumed(streams), 1);
    world.checkStreams();
});

test("a VM that takes over the writing of records writes those that the VM before it could not", async () => {
    const world = await startWorld(3, twoVersions, createRandom(1));
    world.store.cutOffVms.add("vm000");
    const streams = Array.from({ length: 20 }, () => world.beginStream(world.processes.get("vm001")!)!);
    await world.schedule.advance(300);
    world.kill("vm000");
    await world.schedule.advance(300);
    world.vms.forEach(vm => world.kill(vm));
    world.store.cutOffVms.clear();
    world.vms.forEach(vm => world.startVm(vm));
    await world.schedule.advance(300);
    assert.is(await world.measureResumed(streams), 1);
    world.checkStreams();
});

test("no stream begins at a version that the store holds no claim of", async () => {
    const world = await startWorld(3, ["v1", "v1"], createRandom(1));
    world.store.isReadOnly = true;
    world.addWorker("v1.1");
    world.addWorker("v1.1");
    await world.schedule.advance(1000);
    const vm = world.processes.get("vm000")!;
    world.closePathsOf(["vm000"]);
    const streams = Array.from({ length: 20 }, () => world.beginStream(vm)!);
    world.kill("vm000");
    assert.is(await world.measureResumed(streams), 1);
    world.checkStreams();
});

test("a restarted VM that has not read the claims of its earlier process vouches for no version", async () => {
    const world = await startWorld(3, ["v1", "v1"], createRandom(1));
    world.store.cutOffVms.add("vm001").add("vm002");
    world.closePathsOf(["vm000"]);
    world.addWorker("v1.1");
    await world.schedule.advance(1000);
    const streams = Array.from({ length: 20 }, () => world.beginStream(world.processes.get("vm000")!)!);
    world.kill("vm000");
    world.store.cutOffVms.add("vm000");
    world.openPaths();
    world.startVm("vm000");
    await world.schedule.advance(1000);
    const ends = streams.map(stream => world.resumeStream(stream, world.processes.get("vm001")!, stream.id));
    await world.schedule.advance(3000);
    assert.equal(new Set(await Promise.all(ends)), new Set(["refused"]));
});

test("a request does not use a read of the store that began before it", async () => {
    const answers: ((claims: { s: string[]; }[]) => void)[] = [];
    const reader = new StreamHistoryReader({
        readClaims: () => new Promise(resolve => answers.push(resolve)),
        readStreams: () => Promise.resolve([]),
    });
    const first = reader.read();
    await new Promise(resolve => setImmediate(resolve));
    const second = reader.read();
    const third = reader.read();
    answers[0]!([{ s: ["v1"] }]);
    assert.equal((await first)?.claims, [{ s: ["v1"] }]);
    await new Promise(resolve => setImmediate(resolve));
    answers[1]!([{ s: ["v1", "v2"] }]);
    assert.equal((await second)?.claims, [{ s: ["v1", "v2"] }]);
    assert.is(await third, await second);
    assert.is(answers.length, 2);
});

test("two streams with the same identifier do not go on at each other's version", async () => {
    const world = await startWorld(3, twoVersions, createRandom(1));
    const [first, second] = [...world.processes.values()].map(({ streams }) => streams.directory);
    first!.recordBegin("shared", { service: "s", softwareVersion: "v1" }, 1000);
    second!.recordBegin("shared", { service: "s", softwareVersion: "v1.1" }, 1000);
    await world.schedule.advance(10);
    for (const vm of world.processes.values()) {
        const stream = world.beginStream(vm)!;
        const end = world.resumeStream(stream, vm, "shared");
        await world.schedule.advance(1000);
        assert.is(await end, "refused");
    }
});

/** Lets callers begin and resume streams while VMs, links, the store and workers fail at random. */
async function runHistory(world: StreamWorld, random: () => number): Promise<void> {
    const versions = ["v1", "v1.1", "v2"];
    const steps: (() => void)[] = [
        () => world.kill(world.choose(world.vms)!),
        () => world.vms.filter(() => random() < 0.5).forEach(vm => world.kill(vm)),
        () => world.vms.forEach(vm => world.kill(vm)),
        () => world.vms.filter(vm => !world.processes.has(vm)).forEach(vm => world.startVm(vm)),
        () => world.vms.filter(vm => !world.processes.has(vm)).forEach(vm => world.startVm(vm)),
        () => world.closePathsOf(world.vms.filter(() => random() < 0.3)),
        () => world.closePathBetween(world.vms[0]!, world.vms.at(-1)!),
        () => world.openPaths(),
        () => world.vms.filter(() => random() < 0.4).forEach(vm => world.store.cutOffVms.add(vm)),
        () => world.store.cutOffVms.clear(),
        () => world.store.cutOffVms.clear(),
        () => void world.addWorker(world.choose(versions)!),
        () => world.workers.length > 1 && world.removeWorker(world.choose(world.workers)!),
        () => world.processes.get(world.choose(world.vms)!)?.pause(random() * 3000),
    ];
    for (let step = 0; step < 40; step++) {
        world.choose(steps)!();
        const vms = [...world.processes.values()];
        for (let count = 0; count < 6 && vms.length > 0; count++) {
            world.beginStream(world.choose(vms)!);
            const stream = world.choose(world.streams.slice(-30));
            const resumes = random() < 0.1 ? undefined : stream?.id;
            if (stream !== undefined) {
                void world.resumeStream(stream, world.choose(vms)!, resumes);
            }
            await world.schedule.advance(random() * 200);
        }
        await world.schedule.advance(random() < 0.2 ? 3000 : random() * 400);
    }
    await world.schedule.advance(3000);
}

for (const count of [3, 7, 20]) {
    test(`no stream goes on at another version in random histories of ${count} VMs`, async () => {
        for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
            const random = createRandom(seed * 1000 + count);
            const world = await startWorld(count, ["v1", "v1"], random, 1);
            await runHistory(world, random);
            try {
                world.checkStreams();
            }
            catch (error) {
                throw new Error(`seed ${seed}: ${(error as Error).message}`);
            }
        }
    });
}

test.run();
