import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { readShard, ShardLeases } from "../src/index.js";

const options = { leaseMs: 1300, safetyMarginMs: 800, holderGapMs: 3000 };
const membershipMs = 2800;

function createLeases(startedAt = 0): ShardLeases {
    return new ShardLeases({ ...options, startedAt });
}

test("a VM without an earlier process waits until the previous holder must have stopped", () => {
    const leases = createLeases();
    leases.setFirstProcess();
    leases.applyRenewal(1, [3], 100, 110);
    leases.applyRenewal(1, [3], 1000, 1010);
    assert.is(leases.canOrder(3, 2209), false);
    assert.is(leases.canOrder(3, 2210), true);
    assert.is(leases.canOrder(4, 2210), false);
});

test("a lease lapses, counted from when its renewal was sent", () => {
    const leases = createLeases();
    leases.setFirstProcess();
    leases.applyRenewal(1, [3], 0, 0);
    leases.applyRenewal(1, [3], 1500, 2700);
    assert.is(leases.canOrder(3, 2799), true);
    assert.is(leases.canOrder(3, 2800), false);
});

test("a shard kept over several generations stays in use if renewals were confirmed at short intervals", () => {
    const leases = createLeases();
    leases.setFirstProcess();
    leases.applyRenewal(1, [3], 0, 0);
    leases.applyRenewal(1, [3], 2000, 2000);
    leases.applyRenewal(4, [3], 2400, 2410);
    assert.is(leases.canOrder(3, 2411), true);
    leases.applyRenewal(7, [3], 3300, 3310);
    assert.is(leases.canOrder(3, 3311), false);
});

test("a release by the holder of the previous generation lets the next holder start at once", () => {
    const leases = createLeases();
    leases.setFirstProcess();
    leases.recordRelease(3, 4, 100);
    leases.applyRenewal(5, [3], 110, 110);
    assert.is(leases.canOrder(3, 111), true);
});

test("a release from an earlier generation does not shorten the wait, since there may have been later holders", () => {
    const leases = createLeases();
    leases.setFirstProcess();
    leases.recordRelease(3, 3, 100);
    leases.applyRenewal(5, [3], 110, 110);
    assert.is(leases.canOrder(3, 111), false);
});

test("a VM that gets a shard back waits for the holder gap, so that two holders do not alternate", () => {
    const leases = createLeases();
    leases.setFirstProcess();
    leases.applyRenewal(1, [3], 0, 0);
    leases.applyRenewal(2, [], 5000, 5000);
    leases.recordRelease(3, 2, 5400);
    leases.applyRenewal(3, [3], 5400, 5400);
    leases.applyRenewal(3, [3], 7900, 7900);
    assert.is(leases.canOrder(3, 8249), false);
    assert.is(leases.canOrder(3, 8251), true);
});

test("a restarted VM gives orders after a short pause if the generation is the recorded one", () => {
    const leases = createLeases(1000);
    leases.setRecordedGeneration(7, 1000);
    leases.applyRenewal(7, [3], 1050, 1060);
    assert.is(leases.canOrder(3, 1801), false);
    leases.recordStartKnown(1200, false);
    assert.is(leases.canOrder(3, 1700), false);
    assert.is(leases.canOrder(3, 1801), true);
    const other = createLeases(1000);
    other.setRecordedGeneration(6, 1000);
    other.recordStartKnown(1050, false);
    other.applyRenewal(7, [3], 1050, 1060);
    other.applyRenewal(7, [3], 2000, 2000);
    assert.is(other.canOrder(3, 3150), false);
});

test("a report that another VM holds a shard in a later generation ends the lease", () => {
    const leases = createLeases();
    leases.applyRenewal(1, [3, 4], 0, 0);
    assert.equal(leases.revokeShards([3], 1, 10), []);
    assert.equal(leases.revokeShards([3], 2, 10), [3]);
    assert.equal(leases.listShards(), [4]);
});

test("a handed-over shard is held under a higher fencing token, and only until the next generation", () => {
    const leases = createLeases();
    leases.setFirstProcess();
    leases.applyRenewal(5, [1], 0, 0);
    const before = leases.readFence(1);
    leases.applyHandover([2], 4, 1, 10);
    assert.equal(leases.listShards(), [1]);
    leases.applyHandover([2], 5, 1, 10);
    assert.is(leases.canOrder(2, 20), false);
    leases.renewHandovers(15);
    assert.is(leases.canOrder(2, 20), true);
    assert.equal(leases.listReleasable(3000), [1]);
    assert.ok(leases.readFence(2) > before);
    leases.applyRenewal(5, [1], 100, 100);
    assert.equal(leases.listShards(), [1, 2]);
    leases.applyRenewal(6, [1], 200, 200);
    assert.equal(leases.listShards(), [1]);
    // The token is constant while the shard is held: a delayed order of this VM has no lower token than its later
    // orders.
    assert.is(leases.readFence(1), before);
});

test("a VM that restarts within the generation continues with a higher token than the VM that took over", () => {
    const successor = createLeases(-10_000);
    successor.recordStartKnown(-9000, false);
    successor.applyRenewal(5, [1], 0, 0);
    successor.applyHandover([2], 5, 1, 100);
    successor.renewHandovers(100);
    assert.is(successor.canOrder(2, 110), true);
    const before = successor.readFence(2);
    const restarted = createLeases(2500);
    restarted.setRecordedGeneration(5, 2500);
    restarted.recordStartKnown(2500, false);
    restarted.applyRenewal(5, [2], 2550, 2560);
    assert.equal(successor.revokeHandovers(2600), [2]);
    assert.is(successor.canOrder(2, 2600), false);
    assert.is(successor.canOrder(1, 2600), false);
    successor.applyRenewal(5, [1], 2700, 2700);
    assert.equal(successor.listShards(), [1]);
    assert.is(restarted.canOrder(2, 3301), true);
    assert.ok(restarted.readFence(2) > before);
    assert.equal(restarted.revokeHandovers(3400), []);
});

test("a VM whose shards were taken over waits for the other VM to stop, and for the holder gap", () => {
    const leases = createLeases(1000);
    leases.setRecordedGeneration(7, 1000);
    leases.recordStartKnown(1200, true);
    leases.applyRenewal(7, [3], 6000, 6010);
    assert.is(leases.canOrder(3, 6999), false);
    assert.is(leases.canOrder(3, 7000), true);
    const late = createLeases(1000);
    late.setRecordedGeneration(7, 1000);
    late.applyRenewal(7, [3], 6000, 6010);
    late.recordStartKnown(6000, true);
    assert.is(late.canOrder(3, 7299), false);
    late.applyRenewal(7, [3], 7300, 7310);
    assert.is(late.canOrder(3, 7549), false);
    assert.is(late.canOrder(3, 7550), true);
});

test("a process unknown to most VMs gives no orders in its first generation, and waits again in the second", () => {
    const leases = createLeases(1000);
    leases.applyRenewal(7, [3], 1050, 1060);
    leases.applyRenewal(7, [3], 9000, 9010);
    assert.is(leases.canOrder(3, 9020), false);
    assert.equal(leases.listReleasable(9020), []);
    leases.applyRenewal(8, [3], 9400, 9410);
    leases.applyRenewal(8, [3], 11_000, 11_010);
    assert.is(leases.canOrder(3, 11_509), false);
    assert.is(leases.canOrder(3, 11_511), true);
});

test("a VM that is started twice within a generation never uses a lower token", () => {
    const once = createLeases(1000);
    once.setRecordedGeneration(23, 1000);
    once.applyRenewal(23, [2], 1050, 1060);
    const before = once.readFence(2);
    const twice = createLeases(5000);
    twice.applyRenewal(23, [2], 5050, 5060);
    assert.ok(twice.readFence(2) >= before);
    twice.applyRenewal(24, [2], 5400, 5410);
    assert.ok(twice.readFence(2) > before);
});

test("a VM keeps its tokens over a restart within a generation, unless another VM took over its shards", () => {
    const before = createLeases(-10_000);
    before.recordStartKnown(-9000, false);
    before.applyRenewal(22, [1], 0, 0);
    before.applyRenewal(23, [1, 2], 500, 500);
    const fences = before.listOrderFences();
    assert.ok(fences[1]! < fences[2]!);
    const restart = (generation: number, wasNeverTakenOver: boolean): ShardLeases => {
        const leases = createLeases(1000);
        leases.setRecordedGeneration(23, 1000, fences);
        leases.applyRenewal(generation, [1, 2], 1050, 1060);
        leases.recordStartKnown(1100, false, wasNeverTakenOver);
        return leases;
    };
    const restarted = restart(23, true);
    assert.equal(restarted.listOrderFences(), fences);
    assert.ok(restarted.readFence(2) > fences[2]!);
    restarted.applyRenewal(24, [1, 2], 1400, 1410);
    assert.equal(restarted.listOrderFences(), fences);
    for (const other of [restart(23, false), restart(24, true)]) {
        assert.ok(other.readOrderFence(1) > fences[2]!);
        assert.ok(other.readOrderFence(2) > fences[2]!);
    }
});

test("an engine has the same shard on every VM", () => {
    assert.is(readShard("i-7f3a91c2", 12), readShard("i-7f3a91c2", 12));
    const shards = new Set(Array.from({ length: 200 }, (_, index) => readShard(`i-${index}`, 12)));
    assert.is(shards.size, 12);
});

/** One VM of the simulation, with its leases and its membership in the store's group. */
interface SimulatedVm {
    leases: ShardLeases;
    renewedAt: number;
    isMember: boolean;
    recordedGeneration: number | undefined;
}

/** Simulates the store's group membership with one partition per shard, and the VMs that hold shard leases. */
class StoreSimulation {
    now = 0;
    generation = 0;
    owners = new Map<number, number>();
    readonly vms: SimulatedVm[];
    readonly orders: { shard: number; vm: number; fence: number; at: number; }[] = [];

    constructor(count: number, private readonly shardCount: number) {
        this.vms = Array.from({ length: count }, () => ({
            leases: createLeases(),
            renewedAt: -Infinity,
            isMember: false,
            recordedGeneration: undefined,
        }));
    }

    /** Renews the membership of a VM. The store's response reaches the VM if `isReceived`. */
    renew(index: number, isReceived: boolean, delayMs: number): void {
        const vm = this.vms[index]!;
        this.expireMembers();
        const sentAt = this.now;
        if (!vm.isMember) {
            vm.isMember = true;
            this.planAssignment(index);
        }
        vm.renewedAt = this.now;
        const shards = [...this.owners].filter(([, owner]) => owner === index).map(([shard]) => shard);
        const generation = this.generation;
        this.now += delayMs;
        if (isReceived) {
            vm.leases.applyRenewal(generation, shards, sentAt, this.now);
        }
    }

    /** Reassigns all shards, as the store does after a join, a lapse or at any other time. */
    planAssignment(first: number): void {
        this.generation += 1;
        const members = this.vms.flatMap((vm, index) => vm.isMember ? [index] : []);
        this.owners.clear();
        for (let shard = 0; shard < this.shardCount && members.length > 0; shard++) {
            this.owners.set(shard, members[(shard + first) % members.length]!);
        }
    }

    restart(index: number, wasTakenOver = false): void {
        const vm = this.vms[index]!;
        vm.leases = createLeases(this.now);
        vm.leases.recordStartKnown(this.now, wasTakenOver);
        if (vm.recordedGeneration !== undefined) {
            vm.leases.setRecordedGeneration(vm.recordedGeneration, this.now);
        }
    }

    release(index: number): void {
        const vm = this.vms[index]!;
        const shards = vm.leases.listReleasable(this.now);
        const generation = vm.leases.currentGeneration;
        vm.leases.releaseAll(this.now);
        vm.isMember = false;
        vm.recordedGeneration = undefined;
        this.planAssignment(0);
        for (const other of this.vms) {
            for (const shard of shards) {
                other.leases.recordRelease(shard, generation, this.now);
            }
        }
    }

    /** Runs a planned stop while the store is unreachable, and the restart after it. */
    sendHandover(index: number): void {
        const vm = this.vms[index]!;
        if (!vm.leases.canOrderAll(this.now)) {
            return;
        }
        const shards = vm.leases.listReleasable(this.now);
        const generation = vm.leases.currentGeneration;
        const depth = 1 + Math.max(...shards.map(shard => vm.leases.readHandoverDepth(shard)));
        vm.leases.releaseAll(this.now);
        const successor = this.vms[(index + 1) % this.vms.length]!.leases;
        successor.applyHandover(shards, generation, depth, this.now);
        for (let elapsed = 0; elapsed < 2300; elapsed += 100) {
            this.now += 100;
            successor.renewHandovers(this.now);
            this.vms.forEach((other, at) => other === vm || this.recordOrders(at));
        }
        this.restart(index, true);
        for (const other of this.vms) {
            other.leases.revokeHandovers(this.now);
        }
    }

    recordOrders(index: number): void {
        const { leases } = this.vms[index]!;
        for (const shard of leases.listShards()) {
            if (leases.canOrder(shard, this.now)) {
                this.orders.push({ shard, vm: index, fence: leases.readFence(shard), at: this.now });
            }
        }
        if (leases.canOrderAll(this.now)) {
            this.vms[index]!.recordedGeneration = leases.currentGeneration;
        }
    }

    private expireMembers(): void {
        for (const [index, vm] of this.vms.entries()) {
            if (vm.isMember && this.now - vm.renewedAt > membershipMs) {
                vm.isMember = false;
                this.planAssignment(index);
            }
        }
    }
}

/** Checks that fencing tokens rise from holder to holder, and that no holder returns within the holder gap. */
function checkOrders(simulation: StoreSimulation): void {
    const byShard = new Map<number, typeof simulation.orders>();
    for (const order of simulation.orders) {
        const orders = byShard.get(order.shard) ?? [];
        for (const earlier of orders.slice(-200)) {
            if (earlier.vm !== order.vm) {
                assert.ok(order.fence > earlier.fence, `${JSON.stringify(earlier)} then ${JSON.stringify(order)}`);
            }
        }
        const last = orders.at(-1);
        if (last !== undefined && last.vm !== order.vm) {
            const before = orders.filter(earlier => earlier.vm === order.vm).at(-1);
            assert.ok(
                before === undefined || order.at - before.at >= options.holderGapMs,
                `holders alternate: ${JSON.stringify([before, last, order])}`,
            );
        }
        orders.push(order);
        byShard.set(order.shard, orders);
    }
}

test("in random histories, fencing tokens rise from holder to holder, and holders do not alternate", () => {
    const step = fc.record({
        vm: fc.nat(3),
        waitMs: fc.nat(400),
        delayMs: fc.nat(120),
        kind: fc.constantFrom(
            "renew",
            "renew",
            "renew",
            "renew",
            "renew",
            "lost",
            "assign",
            "restart",
            "leave",
            "handover",
            "pause",
            "idle",
        ),
    });
    fc.assert(
        fc.property(fc.array(step, { minLength: 100, maxLength: 400 }), steps => {
            const simulation = new StoreSimulation(4, 3);
            for (const { vm, waitMs, delayMs, kind } of steps) {
                simulation.now += waitMs;
                switch (kind) {
                    case "renew":
                        simulation.renew(vm, true, delayMs);
                        break;
                    case "lost":
                        simulation.renew(vm, false, delayMs);
                        break;
                    case "assign":
                        simulation.planAssignment(vm);
                        break;
                    case "restart":
                        simulation.restart(vm);
                        break;
                    case "leave":
                        simulation.release(vm);
                        break;
                    case "handover":
                        simulation.sendHandover(vm);
                        break;
                    case "pause":
                        simulation.now += 3000;
                        break;
                    case "idle":
                        break;
                }
                for (const index of simulation.vms.keys()) {
                    simulation.recordOrders(index);
                }
            }
            checkOrders(simulation);
        }),
        { seed: 11, numRuns: 300 },
    );
});

test.run();
