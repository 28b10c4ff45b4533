import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { compareResults, createArrivals, formatPlot, isLoopback, type LoadOptions, LoadRun } from "../src/index.js";

const options: LoadOptions = {
    targets: [],
    seed: 3,
    durationSeconds: 100,
    payingRate: 50,
    trialRate: 10,
    payingKey: "p",
    trialKey: "t",
    models: ["a@1", "b@1", "c@1", "d@1"],
    zipf: 1,
    burst: 1,
    streamShare: 0.5,
    maxTokens: 1,
    deadlineMs: 1000,
    onceShare: 0,
};

test("arrivals are equal for equal seeds, and their rate and popularity skew match the options", () => {
    const arrivals = createArrivals(options);
    assert.equal(createArrivals(options), arrivals);
    assert.ok(Math.abs(arrivals.length - 6000) < 300, String(arrivals.length));
    const share = arrivals.filter(arrival => arrival.model === "a@1").length / arrivals.length;
    assert.ok(Math.abs(share - 0.48) < 0.03, String(share));
});

test("only localhost, ::1 and 127.x.x.x are loopback addresses", () => {
    assert.equal(["127.0.0.1:1", "localhost:1", "[::1]:1", "10.0.0.1:1", "127.example.org:1"].map(isLoopback), [
        true,
        true,
        true,
        false,
        false,
    ]);
});

test("a run counts complete, truncated and refused responses separately", async () => {
    let count = 0;
    const server = createServer((_request, response) => {
        const kind = count++ % 3;
        response.statusCode = kind === 2 ? 429 : 200;
        response.end(
            kind === 0 ? "data: {}\n\ndata: [DONE]\n\n" : kind === 1 ? "data: {}\n\n" : "{\"reason\":\"queueFull\"}",
        );
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const target = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const run = new LoadRun({
        ...options,
        targets: [target],
        durationSeconds: 0.3,
        payingRate: 200,
        trialRate: 0,
        streamShare: 1,
    }, () => {});
    const result = await run.run();
    const { sent, complete, failures } = result.paying;
    assert.is(complete + (failures.truncated ?? 0) + (failures.queueFull ?? 0), sent);
    assert.ok(complete > 0 && failures.truncated! > 0 && failures.queueFull! > 0);
    assert.is(compareResults(result, result).find(entry => entry.measure === "paying complete")?.ratio, 1);
    assert.match(formatPlot(result), "<polyline");
    server.close();
});

test.run();
