import { HttpLogClient, HttpVmListClient } from "@radishreel/log";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeLog, FakeVmList, FakeWeightStore, type FaultRuleOptions } from "../src/index.js";

async function runWithLog(run: (log: FakeLog, client: HttpLogClient) => Promise<void>): Promise<void> {
    const log = new FakeLog();
    const client = new HttpLogClient({ address: await log.start(), timeoutMs: 200 });
    try {
        await run(log, client);
    }
    finally {
        await log.stop();
    }
}

test("appended records get increasing offsets and are read in order", () =>
    runWithLog(async (_log, client) => {
        for (const [offset, data] of ["a", "b", "c"].entries()) {
            assert.is((await client.append("s", data))._unsafeUnwrap(), offset);
        }
        const page = (await client.read("s", 1, 0))._unsafeUnwrap();
        assert.equal(page, { earliest: 0, end: 3, records: [{ offset: 1, data: "b" }, { offset: 2, data: "c" }] });
    }));

test("a read at the end of the log waits for the next record, at most for the given time", () =>
    runWithLog(async (_log, client) => {
        const pendingRead = client.read("s", 0, 5000);
        await client.append("s", "late");
        assert.equal((await pendingRead)._unsafeUnwrap().records, [{ offset: 0, data: "late" }]);
        assert.equal((await client.read("s", 1, 20))._unsafeUnwrap().records, []);
    }));

test("a read of trimmed records returns the remaining records and the earliest offset", () =>
    runWithLog(async (log, client) => {
        for (const data of ["a", "b", "c"]) {
            await client.append("s", data);
        }
        log.removeBefore("s", 2);
        assert.equal((await client.read("s", 0, 0))._unsafeUnwrap(), {
            earliest: 2,
            end: 3,
            records: [{ offset: 2, data: "c" }],
        });
    }));

/** Faults of an append, the number of records stored, and the effect that the client reports. */
const appendFaults: readonly { fault: FaultRuleOptions; records: number; effect: "notDone" | "unknown"; }[] = [
    { fault: { operation: "append", action: "refuse" }, records: 0, effect: "notDone" },
    { fault: { operation: "append", action: "dropBefore" }, records: 0, effect: "unknown" },
    { fault: { operation: "append", action: "loseAnswer" }, records: 1, effect: "unknown" },
    { fault: { operation: "append", action: "silent" }, records: 1, effect: "unknown" },
    { fault: { operation: "append", action: "silentBefore" }, records: 0, effect: "unknown" },
    { fault: { operation: "append", action: "fail" }, records: 1, effect: "unknown" },
    { fault: { operation: "append", action: "truncate", bytes: 3 }, records: 1, effect: "unknown" },
];

for (const { fault, records, effect } of appendFaults) {
    test(`an append with fault "${fault.action}" is reported as ${effect}, and the next append succeeds`, () =>
        runWithLog(async (log, client) => {
            log.faults.setRules([fault]);
            assert.is((await client.append("s", "a"))._unsafeUnwrapErr().effect, effect);
            assert.is(log.listRecords("s").length, records);
            assert.ok((await client.append("s", "b")).isOk());
        }));
}

test("an append to an unreachable log is reported as notDone", async () => {
    const log = new FakeLog();
    const client = new HttpLogClient({ address: await log.start() });
    await log.stop();
    assert.is((await client.append("s", "a"))._unsafeUnwrapErr().effect, "notDone");
});

test("the client returns the complete VM list, or an error if the list does not respond", async () => {
    const list = new FakeVmList();
    const client = new HttpVmListClient({ address: await list.start(), timeoutMs: 200 });
    const vm = {
        id: "engine",
        role: "engine" as const,
        dataCentre: "depot",
        address: "127.0.0.1:1",
        state: "live" as const,
    };
    list.setVms([vm]);
    assert.equal((await client.list())._unsafeUnwrap(), [vm]);
    list.faults.setRules([{ operation: "list", action: "silent" }]);
    assert.ok((await client.list()).isErr());
    assert.ok((await client.list()).isOk());
    await list.stop();
});

test("two concurrent loads from the weight store both complete", async () => {
    const store = new FakeWeightStore({ loadsPerSecond: 20 });
    const address = await store.start();
    const finishedLoads: string[] = [];
    const fetchWeights = async (name: string): Promise<void> => {
        await (await fetch(`http://${address}/weights/${name}`)).text();
        finishedLoads.push(name);
    };
    const first = fetchWeights("first");
    await Promise.all([first, fetchWeights("second")]);
    assert.is(finishedLoads.length, 2);
    await store.stop();
});

test.run();
