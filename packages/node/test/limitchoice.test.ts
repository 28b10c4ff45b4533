import { FleetView, PauseThreshold, PrefixCache } from "@radishreel/fleet";
import type { Route, Service } from "@radishreel/routing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ClaimWait } from "../src/quotas/index.js";
import { Admissions } from "../src/requests/admissions.js";
import type { CallerExchange } from "../src/requests/caller.js";
import { UpstreamChooser } from "../src/requests/chooser.js";
import { createJob } from "../src/requests/job.js";
import type { LimitGrant, UpstreamLimiter } from "../src/requests/limiter.js";
import { createDigest, createSilentLog, createUpstream } from "./fixtures.js";

const readTime = () => performance.now();

const service: Service = { name: "desk", maxConnections: 10 };

const route: Route = {
    name: "r",
    host: "h",
    pathPrefix: "/",
    kind: "safe",
    targets: [{ service: "desk", weight: 1 }],
    timeoutMs: 60_000,
    aimMs: 100,
    priority: 3,
    maxAttempts: 1,
    isResumable: false,
};

const grant: LimitGrant = { isValid: true, release: () => {} };

/** Starts a request to servers of which s1 is limited, waits for its first claim, and lets the test decide claims. */
async function startRequest(servers: readonly string[], timeoutMs = 60_000) {
    const view = new FleetView();
    servers.forEach(id => view.updateUpstream(createUpstream(id, { service: "desk" }), readTime()));
    view.limits.apply({ upstream: "s1", perSecond: 0.1, revision: 1 }, readTime());
    const claims: { readonly wait: ClaimWait; readonly decide: (grant: LimitGrant | undefined) => void; }[] = [];
    let cancelled = 0;
    let leave: () => void = () => {};
    const left = new Promise<undefined>(resolve => {
        leave = () => {
            caller.hasLeft = true;
            resolve(undefined);
        };
    });
    const caller = { hasLeft: false, left };
    const limiter = {
        claim: (_id: string, _perSecond: number, wait: ClaimWait) => {
            let decide: (grant: LimitGrant | undefined) => void = () => {};
            const decided = new Promise<LimitGrant | undefined>(resolve => decide = resolve);
            claims.push({ wait, decide });
            return { grant: decided, cancel: () => cancelled += 1 };
        },
    };
    const chooser = new UpstreamChooser({
        dataCentre: "z",
        view,
        admissions: new Admissions({ readTime, send: () => true }),
        limiter: limiter as unknown as UpstreamLimiter,
        prefixCache: new PrefixCache(),
        longPromptThreshold: new PauseThreshold(),
        log: createSilentLog(readTime),
        readTime,
        isLinked: () => true,
        sendPreparation: () => {},
        onChoice: () => {},
        onRedirect: () => {},
    });
    const startedAt = readTime();
    const ready = chooser.chooseReady(createJob({
        caller: caller as unknown as CallerExchange,
        demand: { requestId: "q", budgetMs: undefined, model: undefined, lastEventId: undefined },
        route,
        service,
        body: undefined,
        digest: createDigest(),
        startedAt,
        deadlineAt: startedAt + timeoutMs,
    }));
    while (claims.length === 0) {
        await new Promise(resolve => setImmediate(resolve));
    }
    return { view, chooser, claims, ready, leave: () => leave(), countCancelled: () => cancelled };
}

test("a request waits for its part of a limit with its priority, as long as its time allows", async () => {
    const { claims, ready } = await startRequest(["s1"]);
    assert.is(claims.length, 1);
    const { priority, patienceMs } = claims[0]!.wait;
    assert.is(priority, 3);
    assert.ok(patienceMs > 59_000 && patienceMs < 60_000, `${patienceMs}`);
    claims[0]!.decide(grant);
    const chosen = await ready;
    assert.equal([chosen?.choice.state.upstream.id, chosen?.grant], ["s1", grant]);
});

test("a request waits at a limited upstream only until another one is sooner", async () => {
    const { view, claims, ready } = await startRequest(["s1", "s2"]);
    assert.ok(claims[0]!.wait.patienceMs < 10, `${claims[0]!.wait.patienceMs}`);
    view.limits.recordGrantExpected("s1", readTime() + 30_000);
    claims[0]!.decide(undefined);
    const chosen = await ready;
    assert.equal([chosen?.choice.state.upstream.id, chosen?.grant], ["s2", undefined]);
});

test("a request that cannot be granted a part of any limit in its time does not wait", async () => {
    const { view, claims, ready } = await startRequest(["s1"], 2000);
    view.limits.recordGrantExpected("s1", readTime() + 30_000);
    claims[0]!.decide(undefined);
    assert.is(await ready, undefined);
    assert.is(claims.length, 1);
});

test("a request that waits for its part of a limit is sent at once when the limit ends", async () => {
    const { view, chooser, ready, countCancelled } = await startRequest(["s1"]);
    view.limits.apply({ upstream: "s1", perSecond: undefined, revision: 2 }, readTime());
    chooser.receiveChange();
    assert.is((await ready)?.choice.state.upstream.id, "s1");
    assert.is(countCancelled(), 1);
});

test("a request that waits at a limited upstream leaves it when the upstream announces that it is leaving", async () => {
    const { view, chooser, ready, countCancelled } = await startRequest(["s1", "s2"]);
    view.recordLeaving("s1", readTime());
    chooser.receiveChange();
    assert.is((await ready)?.choice.state.upstream.id, "s2");
    assert.ok(countCancelled() > 0);
});

test("the claim of a caller that leaves is withdrawn", async () => {
    const { ready, leave, countCancelled } = await startRequest(["s1"]);
    leave();
    assert.is(await ready, undefined);
    assert.ok(countCancelled() > 0);
});

test.run();
