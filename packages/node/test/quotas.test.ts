import { type QuotaBounds, QuotaPool } from "@radishreel/fleet";
import { test } from "uvu";
import * as assert from "uvu/assert";

const bounds: QuotaBounds = { windowMs: 8000, overage: 0.1, slack: 110_000 };

/** Costs of requests in tokens, and how many of a hundred requests bear each. */
const costs = [[9300, 39], [1100, 27], [200, 34]] as const;

/** What one request got. */
type Grant = (vm: number, cost: number, now: number) => boolean;

/** A way to hold an account to its limit over many VMs. */
interface QuotaWay {
    readonly claim: Grant;
    /** Called every 250 ms. */
    readonly update: (now: number) => void;
    /** Messages between VMs so far. */
    readonly countMessages: () => number;
}

interface Limit {
    readonly perSecond: number;
    readonly burst: number;
}

/** Each VM leases its share to one coordinator, which is asked for each request. */
function createCoordinated(vms: number, limit: Limit): QuotaWay {
    const pool = new QuotaPool({ bounds, countVms: () => vms });
    let messages = 0;
    return {
        claim: (_vm, cost, now) => {
            messages += 2;
            return pool.claim("a", limit, cost, now).kind === "granted";
        },
        update: now => {
            for (let vm = 0; vm < vms; vm += 1) {
                pool.lease(`${vm}`, now);
            }
            // A lease of 0.8 s is renewed every 0.5 s.
            messages += vms / 2;
        },
        countMessages: () => messages,
    };
}

/** Each VM grants by itself from a share that follows its part of the demand, told to all every 250 ms. */
function createShares(vms: number, limit: Limit): QuotaWay {
    const equal = 1 / vms;
    const shares = Array.from({ length: vms }, () => equal);
    const demand = Array.from({ length: vms }, () => 0);
    const balances = Array.from({ length: vms }, () => limit.burst * equal);
    let messages = 0;
    return {
        claim: (vm, cost) => {
            demand[vm]! += cost;
            // Each VM may overdraw as much as its part of the slack.
            if (balances[vm]! + bounds.slack * 0.5 * equal < cost) {
                return false;
            }
            balances[vm]! -= cost;
            return true;
        },
        update: () => {
            const total = demand.reduce((sum, each) => sum + each, 0);
            for (let vm = 0; vm < vms; vm += 1) {
                shares[vm] = 0.3 * equal + (total === 0 ? 0.7 * equal : 0.7 * demand[vm]! / total);
                balances[vm] = Math.min(limit.burst * shares[vm]!, balances[vm]! + limit.perSecond * shares[vm]! / 4);
                demand[vm]! *= 0.8;
            }
            messages += 2 * vms;
        },
        countMessages: () => messages,
    };
}

/** Numbers from 0 to 1, the same for each seed. */
function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = Math.imul(state, 1664525) + 1013904223 >>> 0;
        return state / 2 ** 32;
    };
}

interface Played {
    /** Part of the requests within the limit that were refused. */
    readonly refused: number;
    readonly messagesPerSecond: number;
}

/** Plays 30 s of one account's requests, at a part of its limit, after its balances have filled. */
function runAccount(way: QuotaWay, vms: number, limit: Limit, part: number): Played {
    const random = createRandom(vms + limit.perSecond);
    const mean = costs.reduce((sum, [cost, weight]) => sum + cost * weight / 100, 0);
    const perMs = limit.perSecond * part / mean / 1000;
    // What one VM that gets all requests would grant.
    let owed = limit.burst;
    let asked = 0;
    let refused = 0;
    let startMessages = 0;
    for (let now = 0; now < 35_000; now += 1) {
        if (now % 250 === 0) {
            way.update(now);
        }
        if (now === 5000) {
            startMessages = way.countMessages();
        }
        owed = Math.min(limit.burst, owed + limit.perSecond / 1000);
        if (now < 5000 || random() >= perMs) {
            continue;
        }
        let pick = random() * 100;
        const cost = costs.find(([, weight]) => (pick -= weight) < 0)?.[0] ?? costs[0][0];
        const isOwed = owed >= cost;
        const isGranted = way.claim(Math.floor(random() * vms), cost, now);
        if (isOwed) {
            owed -= cost;
            asked += 1;
            refused += isGranted ? 0 : 1;
        }
    }
    return { refused: refused / asked, messagesPerSecond: (way.countMessages() - startMessages) / 30 };
}

const limits = [30_000, 180_000, 600_000].map(perSecond => ({ perSecond, burst: perSecond }));

test("accounts within their limits are hardly ever refused, on any number of VMs", () => {
    for (const vms of [3, 70, 195, 370]) {
        for (const limit of limits) {
            const { refused } = runAccount(createCoordinated(vms, limit), vms, limit, 0.55);
            assert.ok(refused < 0.005, `${vms} VMs, ${limit.perSecond} a second: ${refused}`);
        }
    }
});

test("shares of each VM's own would refuse large requests within the limit on many VMs", () => {
    for (const vms of [70, 195, 370]) {
        const [small] = limits;
        const { refused } = runAccount(createShares(vms, small!), vms, small!, 0.55);
        assert.ok(refused > 0.1, `${vms} VMs: ${refused}`);
    }
});

test("an account may use all of its limit and no more, in any window", () => {
    const limit = limits[1]!;
    const way = createCoordinated(70, limit);
    const granted: [number, number][] = [];
    for (let now = 0; now < 30_000; now += 1) {
        if (now % 250 === 0) {
            way.update(now);
        }
        if (now >= 5000 && now % 10 === 0 && way.claim(now % 70, 9300, now)) {
            granted.push([now, 9300]);
        }
    }
    const most = (limit.perSecond * 8 + limit.burst) * 1.1 + bounds.slack;
    for (const [start] of granted) {
        const used = granted.filter(([at]) => at >= start && at <= start + bounds.windowMs).reduce(
            (sum, [, cost]) => sum + cost,
            0,
        );
        assert.ok(used <= most, `${used} of ${most}`);
    }
    const total = granted.reduce((sum, [, cost]) => sum + cost, 0);
    assert.ok(total > limit.perSecond * 25 * 0.98, `${total}`);
});

/** A pool of `vms` VMs, all of which have leased their shares for 5 s. */
function createFilled(vms: number): { pool: QuotaPool; renew: (count: number, now: number) => void; } {
    const pool = new QuotaPool({ bounds: { ...bounds, overage: 0, slack: 0 }, countVms: () => vms });
    const renew = (count: number, now: number): void => {
        for (let vm = 0; vm < count; vm += 1) {
            pool.lease(`${vm}`, now);
        }
    };
    for (let now = 0; now <= 5000; now += 250) {
        renew(vms, now);
    }
    return { pool, renew };
}

const limit = { perSecond: 1000, burst: 1000 };

test("a coordinator grants as much as the shares that it holds", () => {
    const { pool, renew } = createFilled(4);
    for (let now = 5250; now <= 9000; now += 250) {
        renew(1, now);
    }
    assert.is(pool.readShare(9000), 0.25);
    assert.is(pool.claim("a", limit, 251, 9000).kind, "unsure");
    assert.is(pool.claim("a", limit, 250, 9000).kind, "granted");
    renew(1, 9250);
    assert.is(pool.claim("a", limit, 63, 9250).kind, "unsure");
    assert.is(pool.claim("a", limit, 62, 9250).kind, "granted");
});

test("a coordinator that stood still holds nothing until shares are leased to it again, and begins with what it had not lost", () => {
    const { pool, renew } = createFilled(4);
    assert.is(pool.claim("a", limit, 1000, 5000).kind, "granted");
    assert.is(pool.claim("a", limit, 1, 20_000).kind, "unsure");
    renew(4, 20_000);
    assert.is(pool.claim("a", limit, 1, 20_000).kind, "unsure");
    renew(4, 20_250);
    renew(4, 20_500);
    assert.is(pool.claim("a", limit, 501, 20_500).kind, "unsure");
    assert.is(pool.claim("a", limit, 500, 20_500).kind, "granted");
});

test("an account that no request has come from begins at nothing where shares were away", () => {
    const { pool, renew } = createFilled(4);
    pool.release("0", 5000);
    pool.release("1", 5000);
    renew(4, 5000);
    assert.is(pool.claim("b", limit, 100, 5000).kind, "unsure");
});

test("what is given back can be claimed again, and never more than a burst is held", () => {
    const { pool, renew } = createFilled(4);
    assert.is(pool.claim("a", limit, 900, 5000).kind, "granted");
    pool.addBack("a", 900);
    pool.addBack("a", 900);
    assert.is(pool.claim("a", limit, 1000, 5000).kind, "granted");
    renew(4, 5000);
    assert.is(pool.claim("a", limit, 1, 5000).kind, "refused");
});

test("callers who are refused at once are told to come back one after the other", () => {
    const { pool } = createFilled(4);
    assert.is(pool.claim("a", limit, 1000, 5000).kind, "granted");
    const waits = [1, 2, 3].map(() => {
        const verdict = pool.claim("a", limit, 500, 5000);
        return verdict.kind === "refused" ? verdict.waitMs : undefined;
    });
    assert.equal(waits, [500, 1000, 1500]);
    const never = pool.claim("a", limit, 1001, 5000);
    assert.equal(never.kind === "refused" ? never.waitMs : 0, undefined);
});

test.run();
