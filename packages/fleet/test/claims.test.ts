import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ClaimClock, readShard } from "../src/index.js";

const options = { useMs: 1300, settleMs: 800, turnMs: 3000 };
const lifeMs = 2800;

function createClock(startedAt = 0): ClaimClock {
    return new ClaimClock({ ...options, startedAt });
}

test("a first holder waits until the one before it must have stopped", () => {
    const clock = createClock();
    clock.setFirstLife();
    clock.applyRenewal(1, [3], 100, 110);
    clock.applyRenewal(1, [3], 1000, 1010);
    assert.is(clock.canOrder(3, 2209), false);
    assert.is(clock.canOrder(3, 2210), true);
    assert.is(clock.canOrder(4, 2210), false);
});

test("a claim lapses, counted from when the renewal was sent", () => {
    const clock = createClock();
    clock.setFirstLife();
    clock.applyRenewal(1, [3], 0, 0);
    clock.applyRenewal(1, [3], 1500, 2700);
    assert.is(clock.canOrder(3, 2799), true);
    assert.is(clock.canOrder(3, 2800), false);
});

test("a shard that several deals left with its holder stays in use if it was confirmed at short intervals", () => {
    const clock = createClock();
    clock.setFirstLife();
    clock.applyRenewal(1, [3], 0, 0);
    clock.applyRenewal(1, [3], 2000, 2000);
    clock.applyRenewal(4, [3], 2400, 2410);
    assert.is(clock.canOrder(3, 2411), true);
    clock.applyRenewal(7, [3], 3300, 3310);
    assert.is(clock.canOrder(3, 3311), false);
});

test("a release by the holder of the deal before lets the next one begin at once", () => {
    const clock = createClock();
    clock.setFirstLife();
    clock.recordRelease(3, 4, 100);
    clock.applyRenewal(5, [3], 110, 110);
    assert.is(clock.canOrder(3, 111), true);
});

test("a release from an earlier deal says nothing about the holders after it", () => {
    const clock = createClock();
    clock.setFirstLife();
    clock.recordRelease(3, 3, 100);
    clock.applyRenewal(5, [3], 110, 110);
    assert.is(clock.canOrder(3, 111), false);
});

test("a shard that comes back waits until no two holders can alternate", () => {
    const clock = createClock();
    clock.setFirstLife();
    clock.applyRenewal(1, [3], 0, 0);
    clock.applyRenewal(2, [], 5000, 5000);
    clock.recordRelease(3, 2, 5400);
    clock.applyRenewal(3, [3], 5400, 5400);
    clock.applyRenewal(3, [3], 7900, 7900);
    assert.is(clock.canOrder(3, 8249), false);
    assert.is(clock.canOrder(3, 8251), true);
});

test("a restarted VM goes on at once if the deal is the one in which it gave orders", () => {
    const clock = createClock(1000);
    clock.setRecordedGeneration(7, 1000);
    clock.applyRenewal(7, [3], 1050, 1060);
    assert.is(clock.canOrder(3, 1801), false);
    clock.recordStartHeard(1200, false);
    assert.is(clock.canOrder(3, 1700), false);
    assert.is(clock.canOrder(3, 1801), true);
    const other = createClock(1000);
    other.setRecordedGeneration(6, 1000);
    other.recordStartHeard(1050, false);
    other.applyRenewal(7, [3], 1050, 1060);
    other.applyRenewal(7, [3], 2000, 2000);
    assert.is(other.canOrder(3, 3150), false);
});

test("word that another VM holds a shard in a later deal ends the claim", () => {
    const clock = createClock();
    clock.applyRenewal(1, [3, 4], 0, 0);
    assert.equal(clock.revokeShards([3], 1, 10), []);
    assert.equal(clock.revokeShards([3], 2, 10), [3]);
    assert.equal(clock.listShards(), [4]);
});

test("a shard handed over in a deal is held under a higher token, and only while the deal lasts", () => {
    const clock = createClock();
    clock.setFirstLife();
    clock.applyRenewal(5, [1], 0, 0);
    const before = clock.readFence(1);
    clock.applyHandover([2], 4, 1, 10);
    assert.equal(clock.listShards(), [1]);
    clock.applyHandover([2], 5, 1, 10);
    assert.is(clock.canOrder(2, 20), false);
    clock.renewHandovers(15);
    assert.is(clock.canOrder(2, 20), true);
    assert.equal(clock.listReleasable(3000), [1]);
    assert.ok(clock.readFence(2) > before);
    clock.applyRenewal(5, [1], 100, 100);
    assert.equal(clock.listShards(), [1, 2]);
    clock.applyRenewal(6, [1], 200, 200);
    assert.equal(clock.listShards(), [1]);
    // It stays while the shard is held: a late order of this VM is then not below one that it sent since.
    assert.is(clock.readFence(1), before);
});

test("a VM that comes back within the deal goes on with a higher token than the one it handed over to", () => {
    const heir = createClock(-10_000);
    heir.recordStartHeard(-9000, false);
    heir.applyRenewal(5, [1], 0, 0);
    heir.applyHandover([2], 5, 1, 100);
    heir.renewHandovers(100);
    assert.is(heir.canOrder(2, 110), true);
    const before = heir.readFence(2);
    const restarted = createClock(2500);
    restarted.setRecordedGeneration(5, 2500);
    restarted.recordStartHeard(2500, false);
    restarted.applyRenewal(5, [2], 2550, 2560);
    assert.equal(heir.revokeHandovers(2600), [2]);
    assert.is(heir.canOrder(2, 2600), false);
    assert.is(heir.canOrder(1, 2600), false);
    heir.applyRenewal(5, [1], 2700, 2700);
    assert.equal(heir.listShards(), [1]);
    assert.is(restarted.canOrder(2, 3301), true);
    assert.ok(restarted.readFence(2) > before);
    assert.equal(restarted.revokeHandovers(3400), []);
});

test("a VM in whose place another one went on leaves it time to stop, and a turn after its own orders", () => {
    const clock = createClock(1000);
    clock.setRecordedGeneration(7, 1000);
    clock.recordStartHeard(1200, true);
    clock.applyRenewal(7, [3], 3000, 3010);
    assert.is(clock.canOrder(3, 4249), false);
    assert.is(clock.canOrder(3, 4250), true);
    const late = createClock(1000);
    late.setRecordedGeneration(7, 1000);
    late.applyRenewal(7, [3], 5000, 5010);
    late.recordStartHeard(5000, true);
    assert.is(late.canOrder(3, 6299), false);
    late.applyRenewal(7, [3], 6300, 6310);
    assert.is(late.canOrder(3, 6549), false);
    assert.is(late.canOrder(3, 6550), true);
});

test("a start of which most VMs have not heard orders nothing in its first deal, and waits anew in the next one", () => {
    const clock = createClock(1000);
    clock.applyRenewal(7, [3], 1050, 1060);
    clock.applyRenewal(7, [3], 9000, 9010);
    assert.is(clock.canOrder(3, 9020), false);
    assert.equal(clock.listReleasable(9020), []);
    clock.applyRenewal(8, [3], 9400, 9410);
    clock.applyRenewal(8, [3], 11_000, 11_010);
    assert.is(clock.canOrder(3, 11_509), false);
    assert.is(clock.canOrder(3, 11_511), true);
});

test("a VM that is started twice within a deal never goes back to a lower token", () => {
    const once = createClock(1000);
    once.setRecordedGeneration(23, 1000);
    once.applyRenewal(23, [2], 1050, 1060);
    const before = once.readFence(2);
    const twice = createClock(5000);
    twice.applyRenewal(23, [2], 5050, 5060);
    assert.ok(twice.readFence(2) >= before);
    twice.applyRenewal(24, [2], 5400, 5410);
    assert.ok(twice.readFence(2) > before);
});

test("an engine has the same shard on every VM", () => {
    assert.is(readShard("i-7f3a91c2", 12), readShard("i-7f3a91c2", 12));
    const shards = new Set(Array.from({ length: 200 }, (_, index) => readShard(`i-${index}`, 12)));
    assert.is(shards.size, 12);
});

/** One VM of the model: a clock and what it has not heard yet. */
interface ModelVm {
    clock: ClaimClock;
    joinedAt: number;
    isMember: boolean;
    recorded: number | undefined;
}

/** The platform's group with one shard a partition, as its pages tell it, and VMs that claim. */
class Model {
    now = 0;
    generation = 0;
    owners = new Map<number, number>();
    readonly vms: ModelVm[];
    readonly orders: { shard: number; vm: number; fence: number; at: number; }[] = [];

    constructor(count: number, private readonly shardCount: number) {
        this.vms = Array.from({ length: count }, () => ({
            clock: createClock(),
            joinedAt: -Infinity,
            isMember: false,
            recorded: undefined,
        }));
    }

    /** The store's answer to a renewal; the VM hears it or not. */
    renew(index: number, isHeard: boolean, delayMs: number): void {
        const vm = this.vms[index]!;
        this.expireMembers();
        const sentAt = this.now;
        if (!vm.isMember) {
            vm.isMember = true;
            this.planDeal(index);
        }
        vm.joinedAt = this.now;
        const shards = [...this.owners].filter(([, owner]) => owner === index).map(([shard]) => shard);
        const generation = this.generation;
        this.now += delayMs;
        if (isHeard) {
            vm.clock.applyRenewal(generation, shards, sentAt, this.now);
        }
    }

    /** Deals all shards anew, as joins, lapses and the store's own choice do. */
    planDeal(first: number): void {
        this.generation += 1;
        const members = this.vms.flatMap((vm, index) => vm.isMember ? [index] : []);
        this.owners.clear();
        for (let shard = 0; shard < this.shardCount && members.length > 0; shard++) {
            this.owners.set(shard, members[(shard + first) % members.length]!);
        }
    }

    restart(index: number, wasTakenOver = false): void {
        const vm = this.vms[index]!;
        vm.clock = createClock(this.now);
        vm.clock.recordStartHeard(this.now, wasTakenOver);
        if (vm.recorded !== undefined) {
            vm.clock.setRecordedGeneration(vm.recorded, this.now);
        }
    }

    release(index: number): void {
        const vm = this.vms[index]!;
        const shards = vm.clock.listReleasable(this.now);
        const deal = vm.clock.deal;
        vm.clock.releaseAll(this.now);
        vm.isMember = false;
        vm.recorded = undefined;
        this.planDeal(0);
        for (const other of this.vms) {
            for (const shard of shards) {
                other.clock.recordRelease(shard, deal, this.now);
            }
        }
    }

    /** A planned stop while the store is away, and the start after it. */
    sendHandover(index: number): void {
        const vm = this.vms[index]!;
        if (!vm.clock.isSettled(this.now)) {
            return;
        }
        const shards = vm.clock.listReleasable(this.now);
        const deal = vm.clock.deal;
        const depth = 1 + Math.max(...shards.map(shard => vm.clock.readDepth(shard)));
        vm.clock.releaseAll(this.now);
        const heir = this.vms[(index + 1) % this.vms.length]!.clock;
        heir.applyHandover(shards, deal, depth, this.now);
        for (let elapsed = 0; elapsed < 2300; elapsed += 100) {
            this.now += 100;
            heir.renewHandovers(this.now);
            this.vms.forEach((other, at) => other === vm || this.recordOrders(at));
        }
        this.restart(index, true);
        for (const other of this.vms) {
            other.clock.revokeHandovers(this.now);
        }
    }

    recordOrders(index: number): void {
        const { clock } = this.vms[index]!;
        for (const shard of clock.listShards()) {
            if (clock.canOrder(shard, this.now)) {
                this.orders.push({ shard, vm: index, fence: clock.readFence(shard), at: this.now });
            }
        }
        if (clock.isSettled(this.now)) {
            this.vms[index]!.recorded = clock.deal;
        }
    }

    private expireMembers(): void {
        for (const [index, vm] of this.vms.entries()) {
            if (vm.isMember && this.now - vm.joinedAt > lifeMs) {
                vm.isMember = false;
                this.planDeal(index);
            }
        }
    }
}

/** No shared token, no falling token, and no holder that comes back within the time of a turn. */
function checkOrders(model: Model): void {
    const byShard = new Map<number, typeof model.orders>();
    for (const order of model.orders) {
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
                before === undefined || order.at - before.at >= options.turnMs,
                `holders alternate: ${JSON.stringify([before, last, order])}`,
            );
        }
        orders.push(order);
        byShard.set(order.shard, orders);
    }
}

test("over random histories no two holders share a token, fall back behind one, or alternate", () => {
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
            "deal",
            "restart",
            "leave",
            "handover",
            "pause",
            "quiet",
        ),
    });
    fc.assert(
        fc.property(fc.array(step, { minLength: 100, maxLength: 400 }), steps => {
            const model = new Model(4, 3);
            for (const { vm, waitMs, delayMs, kind } of steps) {
                model.now += waitMs;
                switch (kind) {
                    case "renew":
                        model.renew(vm, true, delayMs);
                        break;
                    case "lost":
                        model.renew(vm, false, delayMs);
                        break;
                    case "deal":
                        model.planDeal(vm);
                        break;
                    case "restart":
                        model.restart(vm);
                        break;
                    case "leave":
                        model.release(vm);
                        break;
                    case "handover":
                        model.sendHandover(vm);
                        break;
                    case "pause":
                        model.now += 3000;
                        break;
                    case "quiet":
                        break;
                }
                for (const index of model.vms.keys()) {
                    model.recordOrders(index);
                }
            }
            checkOrders(model);
        }),
        { seed: 11, numRuns: 300 },
    );
});

test.run();
