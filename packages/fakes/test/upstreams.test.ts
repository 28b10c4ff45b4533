import { HttpOrderClient, type OrderError } from "@radishreel/upstreams";
import type { Result } from "neverthrow";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeEngine, type FakeEngineOptions, FakeService, type FaultRuleOptions } from "../src/index.js";

const allowOrder = (): boolean => true;

async function runWithEngine(
    options: Partial<FakeEngineOptions>,
    run: (engine: FakeEngine, client: HttpOrderClient, address: string) => Promise<void>,
): Promise<void> {
    const engine = new FakeEngine({ id: "engine", loadMs: 1, ...options });
    const address = await engine.start();
    try {
        await run(engine, new HttpOrderClient({ timeoutMs: 200, loadTimeoutMs: 200 }), address);
    }
    finally {
        await engine.stop();
    }
}

function readKind(result: Result<void, OrderError>): string {
    return result.isOk() ? "done" : result.error.kind;
}

test("the status of an engine has its adapter slots, batch room, adapters and highest fencing token", () =>
    runWithEngine({ slots: 2, batchRoom: 5 }, async (_engine, client, address) => {
        assert.is(readKind(await client.claimEngine(address, 7, allowOrder)), "done");
        assert.is(readKind(await client.loadModel(address, "a@1", 7, allowOrder)), "done");
        const status = (await client.readEngineStatus(address))._unsafeUnwrap();
        assert.equal([status.fence, status.slots, status.batchRoom, status.adapters], [7, 2, 5, [{
            model: "a@1",
            running: 0,
        }]]);
    }));

/** Orders with an old fencing token, at an engine that ignores the token and at one that checks it. */
for (const ignoresFence of [false, true]) {
    test(`an engine that ${ignoresFence ? "ignores" : "checks"} fencing tokens ${ignoresFence ? "accepts" : "rejects"} orders with an old token`, () =>
        runWithEngine({ ignoresFence }, async (engine, client, address) => {
            await client.claimEngine(address, 9, allowOrder);
            const expected = ignoresFence ? "done" : "staleFence";
            assert.is(readKind(await client.loadModel(address, "a@1", 8, allowOrder)), expected);
            assert.is(readKind(await client.evictModel(address, "a@1", 8, allowOrder)), expected);
            assert.is(readKind(await client.setRole(address, "prefill", 8, allowOrder)), expected);
            assert.is(readKind(await client.claimEngine(address, 8, allowOrder)), expected);
            assert.equal(engine.listLoadedAdapters(), []);
            assert.is((await client.readEngineStatus(address))._unsafeUnwrap().fence, 9);
        }));
}

/** Requests of clients that poll another kind of server. */
const strayRequests = [["GET", "/v1/report"], ["GET", "/v1/log-read?topic=a"], ["POST", "/orders/load"]] as const;

for (const [method, path] of strayRequests) {
    test(`a stray ${method} ${path} does not end the process that holds an engine and the log`, () =>
        runWithEngine({}, async (_engine, client, address) => {
            const response = await fetch(`http://${address}${path}`, { method });
            assert.is(response.status, 400);
            await response.text();
            assert.ok((await client.readEngineStatus(address)).isOk());
        }));
}

test("an order that its sender may no longer give is not sent", () =>
    runWithEngine({}, async (engine, client, address) => {
        assert.is(readKind(await client.loadModel(address, "a@1", 1, () => false)), "failed");
        assert.equal(engine.listLoadedAdapters(), []);
    }));

test("an engine without a free adapter slot rejects a load", () =>
    runWithEngine({ slots: 1 }, async (_engine, client, address) => {
        assert.is(readKind(await client.loadModel(address, "a@1", 1, allowOrder)), "done");
        assert.is(readKind(await client.loadModel(address, "b@1", 1, allowOrder)), "failed");
    }));

/** Faults of an eviction, whether the adapter was evicted, and the outcome that the client reports. */
const evictionFaults: readonly { fault: FaultRuleOptions; isEvicted: boolean; kind: string; }[] = [
    { fault: { operation: "unload", action: "refuse" }, isEvicted: false, kind: "failed" },
    { fault: { operation: "unload", action: "dropBefore" }, isEvicted: false, kind: "unknown" },
    { fault: { operation: "unload", action: "loseAnswer" }, isEvicted: true, kind: "unknown" },
    { fault: { operation: "unload", action: "silent" }, isEvicted: true, kind: "unknown" },
];

for (const { fault, isEvicted, kind } of evictionFaults) {
    test(`an eviction with fault "${fault.action}" is reported as ${kind}`, () =>
        runWithEngine({}, async (engine, client, address) => {
            await client.loadModel(address, "a@1", 1, allowOrder);
            engine.faults.setRules([fault]);
            assert.is(readKind(await client.evictModel(address, "a@1", 1, allowOrder)), kind);
            assert.is(engine.listLoadedAdapters().length, isEvicted ? 0 : 1);
        }));
}

test("an engine that restarts has a new instance, no adapters and no fencing token", () =>
    runWithEngine({}, async (engine, client, address) => {
        await client.loadModel(address, "a@1", 5, allowOrder);
        const before = (await client.readEngineStatus(address))._unsafeUnwrap();
        engine.restart();
        const after = (await client.readEngineStatus(address))._unsafeUnwrap();
        assert.is.not(after.instance, before.instance);
        assert.equal([after.adapters, after.fence], [[], 0]);
    }));

test("the status of a service reports that the service is leaving", async () => {
    const service = new FakeService({ id: "labels" });
    const address = await service.start();
    const client = new HttpOrderClient();
    assert.is((await client.readServiceStatus(address))._unsafeUnwrap().state, "live");
    service.setLeaving();
    assert.is((await client.readServiceStatus(address))._unsafeUnwrap().state, "leaving");
    await service.stop();
});

test.run();
