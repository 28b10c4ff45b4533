import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { shardCount, World } from "./group.js";

// Users saw two VMs act as the holder that gives orders to one engine, and nothing more is known of it. Each story below is one
// way to that, with the order of events and the cause; the tokens and times are those of the test when it failed, or of a
// played day where it says so.

/** VMs that have run for a while, all shards dealt to the first one. */
async function createWorld(vms: readonly string[]): Promise<World> {
    const world = new World(vms);
    for (const vm of vms) {
        world.start(vm);
    }
    await world.schedule.advance(1000);
    world.planAssignment(() => vms[0]);
    await world.schedule.advance(7000);
    assert.equal(world.listHolders(0, 5000), [vms[0]]);
    return world;
}

test("the first holder orders, and after a planned stop the next one begins within some 100 ms of its deal", async () => {
    const world = await createWorld(["a", "b", "c"]);
    const stoppedAt = world.schedule.now;
    world.stop("a");
    await world.schedule.advance(1800);
    const first = world.arrived.find(({ holder, at }) => holder !== "a" && at > stoppedAt)!;
    // A VM without shards renews every 1.2 s.
    assert.ok(first.at - stoppedAt < 1400, `${first.at - stoppedAt} ms`);
    world.checkOrders();
});

test("a planned stop whose leave has no answer hands its shards over", async () => {
    const world = await createWorld(["a", "b", "c"]);
    world.startOutage();
    await world.schedule.advance(100);
    const stoppedAt = world.schedule.now;
    world.stop("a");
    await world.schedule.advance(2000);
    const first = world.arrived.find(({ holder, at }) => holder === "b" && at > stoppedAt);
    assert.ok((first?.at ?? Infinity) - stoppedAt < 1600, `${JSON.stringify(first)} after ${stoppedAt}`);
    world.endOutage(true);
    await world.schedule.advance(6000);
    world.checkOrders();
});

test("after all VMs were killed at once the holder orders again 0.8 s after its start", async () => {
    const world = await createWorld(["a", "b", "c", "d", "e"]);
    world.vms.forEach(vm => world.kill(vm));
    await world.schedule.advance(300);
    const startedAt = world.schedule.now;
    world.vms.forEach(vm => world.start(vm));
    await world.schedule.advance(2000);
    const first = world.arrived.find(({ at }) => at > startedAt)!;
    assert.is(first.holder, "a");
    assert.ok(first.at - startedAt < 900, `${first.at - startedAt} ms`);
    world.checkOrders();
});

test("a VM that is killed and starts again within its deal orders again 0.8 s after its start", async () => {
    const world = await createWorld(["a", "b", "c"]);
    world.kill("a");
    await world.schedule.advance(300);
    const startedAt = world.schedule.now;
    world.start("a");
    await world.schedule.advance(1000);
    const first = world.arrived.find(({ at }) => at > startedAt)!;
    assert.is(first.holder, "a");
    assert.ok(first.at - startedAt < 900, `${first.at - startedAt} ms`);
    world.checkOrders();
});

// A lower token came after a higher one, 80 and then 79. A VM said in a planned stop that it gave no more orders in its deal, its
// leave did not reach the store, it was killed and started again within the deal and ordered. At the next deal the new
// holder took the old word for still true and waited for nothing.
test("a VM that starts again after a planned stop is waited for, though it released its shards before", async () => {
    const world = await createWorld(["a", "b", "c"]);
    world.cutOff.add("a");
    await world.schedule.advance(100);
    world.stop("a");
    await world.schedule.advance(150);
    world.kill("a");
    world.cutOff.delete("a");
    world.start("a");
    await world.schedule.advance(1300);
    world.planAssignment(() => "b");
    world.cutOff.add("a");
    await world.schedule.advance(6000);
    world.checkOrders();
});

// A lower token came some ms after a higher one, 64 and then 48, around planned stops and deals. A release went out at once
// while an order of its sender was on its way; the new holder's order came first.
test("a release is sent when no order of its sender is on its way any more", async () => {
    for (let offsetMs = 0; offsetMs < 120; offsetMs += 7) {
        const world = await createWorld(["a", "b"]);
        world.chooseFlightMs = vm => vm === "a" ? 85 : 1;
        await world.schedule.advance(offsetMs);
        world.planAssignment(() => "b");
        await world.schedule.advance(3000);
        world.checkOrders();
        assert.equal(world.listHolders(0, world.schedule.now - 500), ["b"]);
    }
});

test("a planned stop waits for its last order before it says that it has stopped", async () => {
    for (let offsetMs = 0; offsetMs < 420; offsetMs += 7) {
        const world = await createWorld(["a", "b"]);
        world.chooseFlightMs = vm => vm === "a" ? 85 : 1;
        await world.schedule.advance(offsetMs);
        world.stop("a");
        await world.schedule.advance(3000);
        world.checkOrders();
    }
});

// Two VMs ordered for seconds. The holder was cut off from the store, which dealt its shard to another VM. The
// holder asked the others: most held no shard, had not renewed for up to 1.2 s and so counted as cut off like it.
test("VMs that merely hold no shard do not bear out that the store is away", async () => {
    const world = await createWorld(["a", "b", "c", "d", "e", "f", "g"]);
    world.cutOff.add("a");
    world.closePath("b", "a");
    world.closePath("a", "b");
    await world.schedule.advance(3500);
    world.planAssignment(() => "b");
    await world.schedule.advance(6000);
    assert.equal(world.listHolders(0, world.schedule.now - 500), ["b"]);
    world.checkOrders();
});

test("VMs that saw a later deal before the store went away do not bear out an earlier one", async () => {
    const world = await createWorld(["a", "b", "c", "d", "e", "f", "g"]);
    world.cutOff.add("a");
    world.closePath("b", "a");
    world.closePath("a", "b");
    world.planAssignment(() => "b");
    await world.schedule.advance(1300);
    for (const vm of ["c", "d", "e", "f", "g"]) {
        world.cutOff.add(vm);
    }
    await world.schedule.advance(6000);
    world.checkOrders();
});

test("a VM counts as cut off once it has tried the store in vain, not while it had no reason to try", async () => {
    const world = await createWorld(["a", "b", "c"]);
    const { owning } = world.processes.get("c")!;
    const readState = () => owning.readLeaseState("a", { query: 1, newestDeal: 0, givers: [] });
    const ages: number[] = [];
    for (let elapsedMs = 0; elapsedMs < 1200; elapsedMs += 100) {
        await world.schedule.advance(100);
        ages.push(owning.renewalAgeMs);
        assert.is(owning.renewalAgeMs > 0 && readState().isCutOff, false);
    }
    assert.ok(Math.max(...ages) > 500, `${Math.max(...ages)} ms`);
    world.startOutage();
    await world.schedule.advance(2000);
    assert.is(readState().isCutOff, true);
    world.endOutage(true);
    await world.schedule.advance(1600);
    assert.is(readState().isCutOff, false);
});

// A VM was suspended while it opened a connection for an order, and sent it when it ran on, below a newer holder's token.
test("an order whose VM is suspended while its connection opens is not sent afterwards", async () => {
    for (let offsetMs = 0; offsetMs < 120; offsetMs += 7) {
        const world = await createWorld(["a", "b"]);
        world.chooseOpeningMs = vm => vm === "a" ? 50 : 0;
        await world.schedule.advance(offsetMs);
        world.processes.get("a")!.pause(4000);
        world.planAssignment(() => "b");
        await world.schedule.advance(3900);
        assert.equal(world.listHolders(0, world.schedule.now - 300), ["b"]);
        await world.schedule.advance(4000);
        world.checkOrders();
    }
});

// A deal came just before an outage. Its new holder had heard of it, the one before had not, and the two were cut off from
// each other; all others knew nothing, and bore out both.
test("a holder that is cut off from the next one hears of its deal from others", async () => {
    const world = await createWorld(["a", "b", "c", "d", "e"]);
    world.closePath("a", "b");
    world.closePath("b", "a");
    ["a", "c", "d", "e"].forEach(vm => world.cutOff.add(vm));
    world.planAssignment(() => "b");
    await world.schedule.advance(1300);
    world.cutOff.add("b");
    await world.schedule.advance(6000);
    assert.equal(world.listHolders(0, world.schedule.now - 2000), ["b"]);
    world.checkOrders();
});

test("while the store is away for most the holder goes on", async () => {
    const world = await createWorld(["a", "b", "c", "d", "e", "f", "g"]);
    world.startOutage();
    await world.schedule.advance(6000);
    const late = world.arrived.filter(({ at }) => at > world.schedule.now - 4000);
    const gaps = late.slice(1).map(({ at }, index) => at - late[index]!.at);
    assert.equal(world.listHolders(0, world.schedule.now - 5000), ["a"]);
    assert.ok(Math.max(...gaps) < 300, `${Math.max(...gaps)} ms without orders`);
    world.checkOrders();
});

/** A planned stop of the holder in an outage of the store: the second VM goes on in its place. */
async function createHandover(): Promise<World> {
    const world = await createWorld(["a", "b", "c", "d", "e"]);
    world.startOutage();
    await world.schedule.advance(2500);
    world.stop("a");
    await world.schedule.advance(600);
    assert.equal(world.listHolders(0, world.schedule.now - 100), ["b"]);
    return world;
}

// Holders took turns within 1.4 s. A VM handed its shards over in a planned stop, was killed 0.3 s later and
// started again at once; its recorded deal let it order 0.8 s after that.
test("a VM that is killed in a planned stop and starts again leaves a turn between the other's orders and its own", async () => {
    const world = await createHandover();
    world.kill("a");
    world.endOutage(true);
    world.start("a");
    await world.schedule.advance(6000);
    world.checkOrders();
});

// A lower token came after a higher one, 111 and then 97. The VM that had taken shards over did not hear of the start of the VM that
// they came from, since the link between the two was cut, and went on beside it.
test("a VM that took shards over stops once their holder has started again, though it does not hear of it itself", async () => {
    const world = await createHandover();
    world.closePath("a", "b");
    world.closePath("b", "a");
    await world.schedule.advance(1700);
    world.kill("a");
    await world.schedule.advance(500);
    world.endOutage(true);
    world.start("a");
    await world.schedule.advance(8000);
    world.checkOrders();
});

test("a VM that took shards over and cannot ask most others does not go on with them", async () => {
    const world = await createHandover();
    for (const vm of ["a", "c", "d", "e"]) {
        world.closePath(vm, "b");
        world.closePath("b", vm);
    }
    await world.schedule.advance(2000);
    world.kill("a");
    world.endOutage(true);
    world.start("a");
    await world.schedule.advance(8000);
    world.checkOrders();
});

test("a VM that took shards over takes others over later, though those of before have their holder back", async () => {
    const world = await createHandover();
    world.endOutage(true);
    world.planAssignment(() => "c");
    await world.schedule.advance(1000);
    world.closePath("a", "b");
    world.closePath("b", "a");
    world.kill("a");
    world.start("a");
    await world.schedule.advance(500);
    world.kill("a");
    await world.schedule.advance(3500);
    world.planAssignment(() => "c");
    await world.schedule.advance(4500);
    assert.equal(world.listHolders(0, world.schedule.now - 500), ["c"]);
    world.startOutage();
    await world.schedule.advance(2500);
    world.stop("c");
    await world.schedule.advance(1500);
    assert.equal(world.listHolders(0, world.schedule.now - 500), ["b"]);
    world.checkOrders();
});

// A VM was dealt a shard that it had taken over before, and gave it back when the VM that it came from started again: it
// began anew below its own token.
// The same with a VM that others hear but that hears nobody, and so neither of the start nor that it may not go on.
test("shards that were taken over are not released by a VM that hears of nothing", async () => {
    const world = await createHandover();
    ["a", "c", "d", "e"].forEach(vm => world.closePath(vm, "b"));
    world.kill("a");
    world.endOutage(true);
    world.start("a");
    await world.schedule.advance(4500);
    assert.equal(world.listHolders(0, world.schedule.now - 500), ["a"]);
    world.cutOff.add("a");
    world.closePath("a", "c");
    world.closePath("c", "a");
    world.planAssignment(() => "c");
    await world.schedule.advance(6000);
    assert.is(world.listHolders(0, world.schedule.now - 500).includes("a"), false);
    world.checkOrders();
});

test("a shard that was taken over and is then dealt to its holder stays with it", async () => {
    const world = await createHandover();
    world.endOutage(true);
    world.planAssignment(() => "b");
    await world.schedule.advance(500);
    world.kill("a");
    const startedAt = world.schedule.now;
    world.start("a");
    await world.schedule.advance(350);
    assert.equal(world.listHolders(0, startedAt + 100), ["b"]);
    await world.schedule.advance(6000);
    world.checkOrders();
});

// A handover that a cut held up came after its sender had started again: the receiver took it for new.
test("a handover that comes after its sender has started again is not taken", async () => {
    const world = await createWorld(["a", "b", "c", "d", "e"]);
    world.startOutage();
    await world.schedule.advance(2500);
    world.closePath("a", "b");
    world.stop("a");
    await world.schedule.advance(200);
    const held = world.findPath("a", "b").link!;
    world.kill("a");
    world.endOutage(true);
    world.start("a");
    world.openPath("a", "b");
    await world.schedule.advance(1000);
    for (const message of held.held) {
        held.to.receive(held.from, message);
    }
    await world.schedule.advance(6000);
    world.checkOrders();
});

// A VM that had taken shards over lost them on a new deal and released them, though their holder, started again, was
// still using them.
test("shards that were taken over are not released for the VM that they came from", async () => {
    const world = await createHandover();
    world.kill("a");
    world.closePath("a", "b");
    world.closePath("b", "a");
    await world.schedule.advance(100);
    world.endOutage(true);
    world.cutOff.add("b");
    world.start("a");
    await world.schedule.advance(4500);
    world.cutOff.delete("b");
    world.cutOff.add("a");
    world.planAssignment(() => "c");
    await world.schedule.advance(6000);
    world.checkOrders();
});

const vms = ["a", "b", "c", "d", "e"];

/** One thing that happens in a random history, and the time after it. */
const step = fc.record({
    kind: fc.constantFrom(
        "deal",
        "dealToOne",
        "kill",
        "stop",
        "stopAndKill",
        "cut",
        "cutOneWay",
        "openPaths",
        "cutOffStore",
        "deafen",
        "reachStore",
        "outage",
        "outageEnd",
        "slow",
        "freeze",
        "quiet",
    ),
    vm: fc.nat(vms.length - 1),
    other: fc.nat(vms.length - 1),
    waitMs: fc.nat(2500),
    downMs: fc.nat(1200),
    hasTimePaused: fc.boolean(),
});

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

function runStep(world: World, { kind, vm, other, downMs, hasTimePaused }: Step): void {
    const [first, second] = [vms[vm]!, vms[other]!];
    const startLater = (waitMs: number): void =>
        world.schedule.add(waitMs, () => world.processes.has(first) || world.start(first));
    switch (kind) {
        case "deal":
            world.planAssignment(shard => vms[(shard + vm) % vms.length]);
            return;
        case "dealToOne":
            world.planAssignment(() => first);
            return;
        case "kill":
            world.kill(first);
            startLater(downMs);
            return;
        case "stop":
            world.stop(first);
            startLater(2310 + downMs);
            return;
        case "stopAndKill":
            world.stop(first);
            world.schedule.add(downMs / 2, () => world.kill(first));
            startLater(downMs);
            return;
        case "cut":
            world.closePath(first, second);
            world.closePath(second, first);
            return;
        case "cutOneWay":
            world.closePath(first, second);
            return;
        case "openPaths":
            vms.forEach(from => vms.forEach(to => world.findPath(from, to).isCut && world.openPath(from, to)));
            return;
        case "cutOffStore":
        case "deafen":
            // Where most VMs are cut off and some are not, a claim may go on that the store has given away: a known gap.
            if (world.cutOff.size + world.withoutReplies.size < 2) {
                (kind === "deafen" ? world.withoutReplies : world.cutOff).add(first);
            }
            return;
        case "reachStore":
            world.withoutReplies.clear();
            if (world.cutOff.size < vms.length) {
                world.cutOff.clear();
            }
            return;
        case "outage":
            if (world.cutOff.size < vms.length) {
                world.startOutage();
            }
            return;
        case "outageEnd":
            if (world.cutOff.size === vms.length) {
                world.endOutage(hasTimePaused);
            }
            return;
        case "slow":
            world.findPath(first, second).delayMs = downMs / 4;
            return;
        case "freeze":
            if ((world.processes.get(first)?.suspendedUntil ?? Infinity) <= world.schedule.now) {
                world.processes.get(first)!.pause(300 + downMs * 3);
            }
            return;
        case "quiet":
            return;
    }
}

test("over random histories engines see one holder at a time", async () => {
    await fc.assert(
        fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 30 }), fc.nat(1000), async (steps, salt) => {
            const world = await createWorld(vms);
            let random = salt;
            const chooseMs = (max: number): number => {
                random = (random * 16807 + 11) % 2147483647;
                return random % max;
            };
            world.chooseFlightMs = () => chooseMs(4) === 0 ? chooseMs(280) : 3;
            world.chooseOpeningMs = () => chooseMs(3) === 0 ? chooseMs(70) : 0;
            for (const each of steps) {
                runStep(world, each);
                await world.schedule.advance(each.waitMs);
            }
            world.checkOrders();
        }),
        { seed: 24, numRuns: 60, includeErrorInReport: true },
    );
});

// Seen on lossy links in played days: 192 arrived 6 ms after 208, both of one VM. An order without an answer was given up
// after 89 ms and its connection reset; a deal that left the shard where it was raised the VM's token; the next order bore
// the new one and came first, since what a lossy link loses is sent again after some 200 ms, the reset notwithstanding.
test("an order that was given up and comes late is not below what its VM has ordered since", async () => {
    const world = await createWorld(["a", "b"]);
    let orders = 0;
    world.chooseFlightMs = () => ++orders % 3 === 0 ? 205 : 3;
    for (let deal = 0; deal < 10; deal++) {
        await world.schedule.advance(430);
        world.planAssignment(() => "a");
    }
    await world.schedule.advance(1000);
    assert.equal(world.listHolders(0, 5000), ["a"]);
    world.checkOrders();
});

test("the next holder does not overtake an order that was given up and comes late", async () => {
    for (let offsetMs = 0; offsetMs < 420; offsetMs += 7) {
        const world = await createWorld(["a", "b"]);
        world.chooseFlightMs = vm => vm === "a" ? 205 : 1;
        await world.schedule.advance(offsetMs);
        world.planAssignment(() => "b");
        await world.schedule.advance(3000);
        world.checkOrders();
        assert.equal(world.listHolders(0, world.schedule.now - 500), ["b"]);
    }
});

// A VM that started again would have waited without end: it orders under its first deal only once most VMs have heard of its
// start, and most were gone for good. The store deals nothing anew while all members renew in time.
test("a VM that starts again among VMs of which most are gone for good orders again within some seconds", async () => {
    const world = await createWorld(["a", "b", "c", "d", "e"]);
    for (const vm of ["c", "d", "e"]) {
        world.kill(vm);
    }
    await world.schedule.advance(10_000);
    world.kill("a");
    await world.schedule.advance(300);
    world.start("a");
    const startedAt = world.schedule.now;
    await world.schedule.advance(8000);
    for (let shard = 0; shard < shardCount; shard++) {
        assert.ok(world.listHolders(shard, startedAt + 6500).length > 0, `nobody orders for shard ${shard}`);
    }
    world.checkOrders();
});

test.run();
