import { HttpOrderClient, type OrderError } from "@radishreel/upstreams";
import type { Result } from "neverthrow";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeEngine, type FakeEngineOptions, FakeService, type FaultRuleOptions } from "../src/index.js";

const permit = (): boolean => true;

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

test("an engine tells its slots, its room, its adapters and the highest token", () =>
    runWithEngine({ slots: 2, batchRoom: 5 }, async (_engine, client, address) => {
        assert.is(readKind(await client.claimEngine(address, 7, permit)), "done");
        assert.is(readKind(await client.loadModel(address, "a@1", 7, permit)), "done");
        const status = (await client.readEngineStatus(address))._unsafeUnwrap();
        assert.equal([status.fence, status.slots, status.batchRoom, status.adapters], [7, 2, 5, [{
            model: "a@1",
            running: 0,
        }]]);
    }));

/** Orders with an old token, at both kinds of engines. */
for (const ignoresFence of [false, true]) {
    test(`an engine that ${ignoresFence ? "ignores" : "checks"} tokens ${ignoresFence ? "takes" : "refuses"} orders with an old one`, () =>
        runWithEngine({ ignoresFence }, async (engine, client, address) => {
            await client.claimEngine(address, 9, permit);
            const expected = ignoresFence ? "done" : "staleFence";
            assert.is(readKind(await client.loadModel(address, "a@1", 8, permit)), expected);
            assert.is(readKind(await client.evictModel(address, "a@1", 8, permit)), expected);
            assert.is(readKind(await client.setRole(address, "prefill", 8, permit)), expected);
            assert.is(readKind(await client.claimEngine(address, 8, permit)), expected);
            assert.equal(engine.listLoaded(), []);
            assert.is((await client.readEngineStatus(address))._unsafeUnwrap().fence, 9);
        }));
}

test("an order whose sender may not give it any more is not written", () =>
    runWithEngine({}, async (engine, client, address) => {
        assert.is(readKind(await client.loadModel(address, "a@1", 1, () => false)), "failed");
        assert.equal(engine.listLoaded(), []);
    }));

test("a full engine refuses another adapter", () =>
    runWithEngine({ slots: 1 }, async (_engine, client, address) => {
        assert.is(readKind(await client.loadModel(address, "a@1", 1, permit)), "done");
        assert.is(readKind(await client.loadModel(address, "b@1", 1, permit)), "failed");
    }));

/** Faults of an eviction, whether it took effect, and what the client says of it. */
const evictFaults: readonly { fault: FaultRuleOptions; isEvicted: boolean; kind: string; }[] = [
    { fault: { operation: "unload", action: "refuse" }, isEvicted: false, kind: "failed" },
    { fault: { operation: "unload", action: "dropBefore" }, isEvicted: false, kind: "unknown" },
    { fault: { operation: "unload", action: "loseAnswer" }, isEvicted: true, kind: "unknown" },
    { fault: { operation: "unload", action: "silent" }, isEvicted: true, kind: "unknown" },
];

for (const { fault, isEvicted, kind } of evictFaults) {
    test(`an eviction that meets "${fault.action}" is told as ${kind}`, () =>
        runWithEngine({}, async (engine, client, address) => {
            await client.loadModel(address, "a@1", 1, permit);
            engine.faults.setRules([fault]);
            assert.is(readKind(await client.evictModel(address, "a@1", 1, permit)), kind);
            assert.is(engine.listLoaded().length, isEvicted ? 0 : 1);
        }));
}

test("an engine that starts cold has another instance and nothing loaded", () =>
    runWithEngine({}, async (engine, client, address) => {
        await client.loadModel(address, "a@1", 5, permit);
        const before = (await client.readEngineStatus(address))._unsafeUnwrap();
        engine.restart();
        const after = (await client.readEngineStatus(address))._unsafeUnwrap();
        assert.is.not(after.instance, before.instance);
        assert.equal([after.adapters, after.fence], [[], 0]);
    }));

test("a service tells when it leaves", async () => {
    const service = new FakeService({ id: "labels" });
    const address = await service.start();
    const client = new HttpOrderClient();
    assert.is((await client.readServiceStatus(address))._unsafeUnwrap().state, "live");
    service.setLeaving();
    assert.is((await client.readServiceStatus(address))._unsafeUnwrap().state, "leaving");
    await service.stop();
});

test.run();
