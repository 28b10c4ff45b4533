import { FleetView, type QuotaVerdict } from "@radishreel/fleet";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ClaimWait, QuotaClaim, QuotaMessage } from "../src/quotas/index.js";
import { type LimitVerdict, UpstreamLimiter } from "../src/requests/limiter.js";
import { createQuotas } from "./fixtures.js";

/** Creates a limiter whose coordinator gives one verdict. */
function createLimiter(verdict: QuotaVerdict) {
    const view = new FleetView();
    view.limits.apply({ upstream: "e1", perSecond: 4, revision: 1 }, 0);
    const verdicts: LimitVerdict[] = [];
    const claims: [QuotaClaim, ClaimWait][] = [];
    const clock = { steady: 0, boot: 0, cancelled: 0 };
    const limiter = new UpstreamLimiter({
        limits: view.limits,
        quotas: {
            claimAndWait: (claim, wait) => {
                claims.push([claim, wait]);
                return { verdict: Promise.resolve(verdict), cancel: () => clock.cancelled += 1 };
            },
        },
        readTime: () => clock.steady,
        readBoot: () => clock.boot,
        onVerdict: received => verdicts.push(received),
    });
    const claim = limiter.claim("e1", 4, { priority: 2, patienceMs: 700 });
    return { view, claim, claims, verdicts, clock };
}

test("a grant that is older than 0.3 s, also by a suspension of the VM, is not used and can be returned", async () => {
    const { claim, claims, clock } = createLimiter({ kind: "granted", balance: 0, heldMs: 0, nextMs: 250 });
    const grant = (await claim.grant)!;
    assert.equal(claims.map(([{ key, cost }, wait]) => [key, cost, wait.patienceMs]), [["upstream e1", 1, 700]]);
    clock.boot = 300;
    assert.is(grant.isValid, true);
    clock.boot = 301;
    assert.is(grant.isValid, false);
    grant.release();
    assert.is(clock.cancelled, 1);
});

test("the expected wait for an upstream follows the coordinator's last verdict", async () => {
    const cases: [QuotaVerdict, LimitVerdict, number][] = [
        [{ kind: "granted", balance: 0, heldMs: 0, nextMs: 250 }, "granted", 250],
        [{ kind: "granted", balance: 0, heldMs: 40, nextMs: 250 }, "deferred", 250],
        [{ kind: "refused", balance: 0, waitMs: 4000 }, "refused", 4000],
        [{ kind: "unsure" }, "undecided", 100],
    ];
    for (const [verdict, expected, waitMs] of cases) {
        const { view, claim, verdicts } = createLimiter(verdict);
        await claim.grant;
        assert.equal(verdicts, [expected]);
        assert.is(view.limits.readWaitMs("e1", 0), waitMs);
        assert.is(view.limits.isUndecided("e1", 0), expected === "undecided");
    }
});

/** Claims a quota at another VM, whose verdict arrives after some time. */
async function claimRemotely(elapsedMs: number, verdict: QuotaVerdict) {
    const sent: QuotaMessage[] = [];
    let boot = 0;
    const quotas = createQuotas({
        readBoot: () => boot,
        listCandidates: () => ["w"],
        send: (_vm, message) => sent.push(message) > 0,
        timers: {
            scheduleOnce: () => ({ cancel: () => {} }),
            scheduleEvery: () => ({ cancel: () => {} }),
        },
    });
    const limit = { perSecond: 1, burst: 1, claimCost: 1 };
    const claim = quotas.claimAndWait({ key: "k", limit, cost: 1 }, { priority: 0, patienceMs: 9000 });
    const claimed = sent.find(message => message.type === "claimQuota")!;
    boot = elapsedMs;
    quotas.receiveMessage("w", { type: "quotaAnswer", ticket: claimed.ticket, verdict });
    return { claim, sent, received: await claim.verdict };
}

test("a grant that was under way for longer than 0.3 s is not used", async () => {
    const granted = (heldMs: number): QuotaVerdict => ({ kind: "granted", balance: 0, heldMs });
    assert.is((await claimRemotely(300, granted(0))).received.kind, "granted");
    assert.is((await claimRemotely(301, granted(0))).received.kind, "unsure");
    assert.is((await claimRemotely(5300, granted(5000))).received.kind, "granted");
    assert.is((await claimRemotely(5301, granted(5000))).received.kind, "unsure");
});

test("a withdrawn grant is returned to its coordinator once", async () => {
    const { claim, sent } = await claimRemotely(3, { kind: "granted", balance: 0, heldMs: 0 });
    claim.cancel();
    claim.cancel();
    assert.equal(sent.filter(({ type }) => type === "returnQuota"), [{ type: "returnQuota", key: "k", cost: 1 }]);
});

test.run();
