import { type QuotaBounds, QuotaPool } from "@radishreel/fleet";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRandom } from "./random.js";

const bounds: QuotaBounds = { windowMs: 8000, overage: 0.1, slack: 110_000 };

/** Costs of requests in tokens, each with its share of the requests in percent. */
const costs = [[9300, 39], [1100, 27], [200, 34]] as const;

/** Claims the cost of a request at a VM. Returns whether the cost was granted. */
type ClaimQuota = (vm: number, cost: number, now: number) => boolean;

/** A scheme that enforces an account's limit across many VMs. */
interface QuotaScheme {
    readonly claim: ClaimQuota;
    /** Called every 250 ms. */
    readonly update: (now: number) => void;
    /** Messages between VMs so far. */
    readonly countMessages: () => number;
}

interface Limit {
    readonly perSecond: number;
    readonly burst: number;
}

/** Each VM leases its share to one coordinator, which decides each claim. */
function createCoordinatorScheme(vms: number, limit: Limit): QuotaScheme {
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

/** Each VM grants from its own share, which follows its part of the demand; all VMs exchange demand every 250 ms. */
function createLocalShareScheme(vms: number, limit: Limit): QuotaScheme {
    const equal = 1 / vms;
    const shares = Array.from({ length: vms }, () => equal);
    const demand = Array.from({ length: vms }, () => 0);
    const balances = Array.from({ length: vms }, () => limit.burst * equal);
    let messages = 0;
    return {
        claim: (vm, cost) => {
            demand[vm]! += cost;
            // Each VM may overdraw its balance by its part of the slack.
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

interface RunResult {
    /** Fraction of the requests within the limit that were refused. */
    readonly refused: number;
    readonly messagesPerSecond: number;
}

/** Simulates 30 s of one account's requests at a fraction of its limit, after the balances have filled. */
function runAccount(scheme: QuotaScheme, vms: number, limit: Limit, loadFraction: number): RunResult {
    const random = createRandom(vms + limit.perSecond);
    const mean = costs.reduce((sum, [cost, weight]) => sum + cost * weight / 100, 0);
    const perMs = limit.perSecond * loadFraction / mean / 1000;
    // The balance of a single VM that receives all requests: the reference for which requests are within the limit.
    let referenceBalance = limit.burst;
    let withinLimit = 0;
    let refused = 0;
    let startMessages = 0;
    for (let now = 0; now < 35_000; now += 1) {
        if (now % 250 === 0) {
            scheme.update(now);
        }
        if (now === 5000) {
            startMessages = scheme.countMessages();
        }
        referenceBalance = Math.min(limit.burst, referenceBalance + limit.perSecond / 1000);
        if (now < 5000 || random() >= perMs) {
            continue;
        }
        let pick = random() * 100;
        const cost = costs.find(([, weight]) => (pick -= weight) < 0)?.[0] ?? costs[0][0];
        const isWithinLimit = referenceBalance >= cost;
        const isGranted = scheme.claim(Math.floor(random() * vms), cost, now);
        if (isWithinLimit) {
            referenceBalance -= cost;
            withinLimit += 1;
            refused += isGranted ? 0 : 1;
        }
    }
    return { refused: refused / withinLimit, messagesPerSecond: (scheme.countMessages() - startMessages) / 30 };
}

const limits = [30_000, 180_000, 600_000].map(perSecond => ({ perSecond, burst: perSecond }));

test("with a coordinator, less than 0.5% of the requests within the limit are refused on any number of VMs", () => {
    for (const vms of [3, 70, 195, 370]) {
        for (const limit of limits) {
            const { refused } = runAccount(createCoordinatorScheme(vms, limit), vms, limit, 0.55);
            assert.ok(
                refused < 0.005,
                `${vms} VMs, ${limit.perSecond} tokens per second: fraction ${refused} was refused`,
            );
        }
    }
});

test("with local shares, more than 10% of the requests within the limit are refused on many VMs", () => {
    for (const vms of [70, 195, 370]) {
        const [small] = limits;
        const { refused } = runAccount(createLocalShareScheme(vms, small!), vms, small!, 0.55);
        assert.ok(refused > 0.1, `${vms} VMs: only fraction ${refused} was refused`);
    }
});

test("an account can use its whole limit, and no more than the bound in any window", () => {
    const limit = limits[1]!;
    const scheme = createCoordinatorScheme(70, limit);
    const granted: [number, number][] = [];
    for (let now = 0; now < 30_000; now += 1) {
        if (now % 250 === 0) {
            scheme.update(now);
        }
        if (now >= 5000 && now % 10 === 0 && scheme.claim(now % 70, 9300, now)) {
            granted.push([now, 9300]);
        }
    }
    const maxUsed = (limit.perSecond * 8 + limit.burst) * 1.1 + bounds.slack;
    for (const [start] of granted) {
        const used = granted.filter(([at]) => at >= start && at <= start + bounds.windowMs).reduce(
            (sum, [, cost]) => sum + cost,
            0,
        );
        assert.ok(used <= maxUsed, `used ${used} of ${maxUsed} tokens`);
    }
    const total = granted.reduce((sum, [, cost]) => sum + cost, 0);
    assert.ok(total > limit.perSecond * 25 * 0.98, `only ${total} tokens were granted`);
});

/** Creates a pool of `vms` VMs, all of which have leased their shares for 5 s. */
function createFilledPool(vms: number): { pool: QuotaPool; renew: (count: number, now: number) => void; } {
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

test("a coordinator grants in proportion to the shares that it holds", () => {
    const { pool, renew } = createFilledPool(4);
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

test("a coordinator that was suspended grants nothing until shares are leased again, and keeps its remaining balance", () => {
    const { pool, renew } = createFilledPool(4);
    assert.is(pool.claim("a", limit, 1000, 5000).kind, "granted");
    assert.is(pool.claim("a", limit, 1, 20_000).kind, "unsure");
    renew(4, 20_000);
    assert.is(pool.claim("a", limit, 1, 20_000).kind, "unsure");
    renew(4, 20_250);
    renew(4, 20_500);
    assert.is(pool.claim("a", limit, 501, 20_500).kind, "unsure");
    assert.is(pool.claim("a", limit, 500, 20_500).kind, "granted");
});

test("the balance of an account without requests starts at zero if shares were released", () => {
    const { pool, renew } = createFilledPool(4);
    pool.release("0", 5000);
    pool.release("1", 5000);
    renew(4, 5000);
    assert.is(pool.claim("b", limit, 100, 5000).kind, "unsure");
});

test("returned cost can be claimed again, and the balance never exceeds the burst", () => {
    const { pool, renew } = createFilledPool(4);
    assert.is(pool.claim("a", limit, 900, 5000).kind, "granted");
    pool.addBack("a", 900);
    pool.addBack("a", 900);
    assert.is(pool.claim("a", limit, 1000, 5000).kind, "granted");
    renew(4, 5000);
    assert.is(pool.claim("a", limit, 1, 5000).kind, "refused");
});

test("requests that are refused at the same time get consecutive retry times", () => {
    const { pool } = createFilledPool(4);
    assert.is(pool.claim("a", limit, 1000, 5000).kind, "granted");
    const waits = [1, 2, 3].map(() => {
        const verdict = pool.claim("a", limit, 500, 5000);
        return verdict.kind === "refused" ? verdict.waitMs : undefined;
    });
    assert.equal(waits, [500, 1000, 1500]);
    const impossible = pool.claim("a", limit, 1001, 5000);
    assert.equal(impossible.kind === "refused" ? impossible.waitMs : 0, undefined);
});

test.run();
