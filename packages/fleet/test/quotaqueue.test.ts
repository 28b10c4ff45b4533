import { test } from "uvu";
import * as assert from "uvu/assert";
import { createLimitQuota, type QueuedClaim, QuotaPool, QuotaQueue } from "../src/index.js";

/** Creates the queue of a coordinator to which some of all VMs lease their shares from time 0. */
function createQueue(vms = 1, leasing = vms) {
    const pool = new QuotaPool({ bounds: { windowMs: 8000, overage: 0.1, slack: 1000 }, countVms: () => vms });
    let time = 0;
    const renew = (now: number): void => {
        for (; time <= now; time += 125) {
            for (let vm = 0; vm < leasing; vm += 1) {
                pool.lease(`${vm}`, time);
            }
        }
    };
    renew(0);
    return { queue: new QuotaQueue({ pool }), renew };
}

const limit = createLimitQuota(1);

function createClaim(ticket: number, claim: Partial<QueuedClaim> = {}): QueuedClaim {
    return { vm: "v", ticket, key: "k", limit, cost: 1, priority: 1, patienceMs: 10_000, ...claim };
}

/** Advances a queue in steps of 125 ms, which add up exactly. @returns When each ticket was granted. */
function listGrants(queue: QuotaQueue, renew: (now: number) => void, from: number, until: number): [number, number][] {
    const grants: [number, number][] = [];
    for (let now = from; now <= until; now += 125) {
        renew(now);
        for (const { ticket, verdict } of queue.advance(now)) {
            if (verdict.kind === "granted") {
                grants.push([ticket, now]);
            }
        }
    }
    return grants;
}

test("claims are granted at the rate of the limit, and each is told when", () => {
    const { queue, renew } = createQueue();
    const verdicts = [1, 2, 3].map(ticket => queue.enqueue(createClaim(ticket), 0));
    assert.equal(verdicts.map(verdict => verdict.kind === "queued" && verdict.expectedMs), [1000, 2000, 3000]);
    assert.equal(listGrants(queue, renew, 0, 4000), [[1, 1000], [2, 2000], [3, 3000]]);
    assert.is(queue.count, 0);
});

test("a claim of a higher priority is granted before older ones", () => {
    const { queue, renew } = createQueue();
    queue.enqueue(createClaim(1, { priority: 5 }), 0);
    queue.enqueue(createClaim(2, { priority: 5 }), 0);
    const verdict = queue.enqueue(createClaim(3, { priority: 0 }), 125);
    assert.is(verdict.kind === "queued" && verdict.expectedMs, 875);
    assert.equal(listGrants(queue, renew, 125, 4000), [[3, 1000], [1, 2000], [2, 3000]]);
});

test("a claim that others overtake is told the later time, and refused once it cannot be granted in time", () => {
    const { queue, renew } = createQueue();
    queue.enqueue(createClaim(1, { priority: 5, patienceMs: 2500 }), 0);
    queue.enqueue(createClaim(2, { priority: 0 }), 0);
    renew(125);
    const [told] = queue.advance(125);
    assert.equal([told?.ticket, told?.verdict], [1, { kind: "queued", expectedMs: 1875 }]);
    queue.enqueue(createClaim(3, { priority: 0 }), 250);
    renew(250);
    const [refused] = queue.advance(250);
    assert.equal([refused?.ticket, refused?.verdict], [1, { kind: "refused", balance: 0, waitMs: 2750 }]);
    assert.equal(listGrants(queue, renew, 250, 3000), [[2, 1000], [3, 2000]]);
});

test("a claim that cannot be granted in time is refused at once with the wait behind the others", () => {
    const { queue } = createQueue();
    queue.enqueue(createClaim(1), 0);
    const verdict = queue.enqueue(createClaim(2, { patienceMs: 1500 }), 0);
    assert.equal(verdict, { kind: "refused", balance: 0, waitMs: 2000 });
    assert.is(queue.count, 1);
});

test("a withdrawn claim and those of a VM that is gone make room for the next", () => {
    const { queue, renew } = createQueue();
    queue.enqueue(createClaim(1), 0);
    queue.enqueue(createClaim(2, { vm: "w" }), 0);
    queue.enqueue(createClaim(3), 0);
    queue.remove("v", 1);
    queue.removeVm("w");
    assert.equal(listGrants(queue, renew, 0, 4000), [[3, 1000]]);
});

test("unused time of a limit is saved up for one request and a quarter of a second", () => {
    for (const perSecond of [0.2, 1, 8, 40]) {
        const { queue, renew } = createQueue();
        const quota = createLimitQuota(perSecond);
        queue.enqueue(createClaim(0, { limit: quota }), 0);
        renew(60_000);
        queue.advance(60_000);
        let granted = 1;
        for (
            let ticket = 1;
            queue.enqueue(createClaim(ticket, { limit: quota }), 60_000).kind === "granted";
            ticket++
        ) {
            granted += 1;
        }
        assert.is(granted, Math.floor(1 + perSecond / 4));
    }
});

for (const [vms, parts] of [[4, 4], [7, 7], [12, 12], [195, 195], [195, 5]] as const) {
    test(`${vms} VMs in ${parts} parts of a partitioned network save up at most four requests together`, () => {
        let granted = 0;
        for (let part = 0; part < parts; part += 1) {
            const leasing = Math.floor(vms / parts);
            const { queue, renew } = createQueue(vms, leasing);
            renew(30_000);
            for (let ticket = 0; queue.enqueue(createClaim(ticket), 30_000).kind === "granted"; ticket++) {
                granted += 1;
            }
        }
        assert.ok(granted <= 4, `${granted}`);
    });
}

test("a coordinator with too few shares for a request decides nothing", () => {
    const { queue } = createQueue(7, 1);
    assert.equal(queue.enqueue(createClaim(1), 0), { kind: "unsure" });
});

test("a limit of 0 lets one request in 10 s show whether it has ended", () => {
    const { queue, renew } = createQueue();
    const none = createLimitQuota(0);
    queue.enqueue(createClaim(1, { limit: none, patienceMs: 60_000 }), 0);
    queue.enqueue(createClaim(2, { limit: none, patienceMs: 60_000 }), 0);
    const seconds = listGrants(queue, renew, 0, 29_000).map(([, at]) => Math.floor(at / 1000));
    assert.equal(seconds, [10, 20]);
});

test.run();
