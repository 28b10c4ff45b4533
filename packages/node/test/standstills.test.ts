/** Guards against whole responses that are broken off since this process stood still while their end was checked. */
import type { Upstream } from "@radishreel/fleet";
import { once } from "node:events";
import { Worker } from "node:worker_threads";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ConnectionPool } from "../src/requests/connectionpool.js";
import { askIdentity } from "../src/requests/identity.js";
import { plainDialect } from "./changingserver.js";
import { createUpstream } from "./fixtures.js";

/** A server in a thread of its own, which answers at once and counts its calls. */
const serverCode = `
const { createServer } = require("node:http");
const { parentPort, workerData } = require("node:worker_threads");
const calls = new Int32Array(workerData);
const server = createServer((request, response) => {
    response.end("same");
    Atomics.add(calls, 0, 1);
    Atomics.notify(calls, 0);
});
server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

/** Longer than the wait for an answer, in milliseconds. */
const standMs = 1400;

test("the check of an end takes an answer that came in time while this process stood still", async () => {
    const shared = new SharedArrayBuffer(4);
    const calls = new Int32Array(shared);
    const worker = new Worker(serverCode, { eval: true, workerData: shared });
    const [port] = await once(worker, "message") as [number];
    const upstream: Upstream = { ...createUpstream("u"), address: `127.0.0.1:${port}`, bornAt: 1 };
    const dialect = {
        parseIdentity: (_upstream: Upstream, { body }: { body: string; }) =>
            body === "same" ? "incarnation" as const : "nothing" as const,
        parseResponse: plainDialect.parseResponse.bind(plainDialect),
    };
    const pool = new ConnectionPool();
    const answer = askIdentity(upstream, {
        pool,
        dialect,
        call: { path: "/", headers: [], requestId: "q" },
        readTime: () => performance.now(),
        isFresh: true,
    });
    while (Atomics.load(calls, 0) === 0) {
        await new Promise(resolve => setImmediate(resolve));
        Atomics.wait(calls, 0, 0, 5);
    }
    Atomics.wait(calls, 0, Atomics.load(calls, 0), standMs);
    const { shown } = await answer;
    pool.close();
    await worker.terminate();
    assert.is(shown, "incarnation");
});

test.run();
