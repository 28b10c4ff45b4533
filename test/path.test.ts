import { Deployment, type GatewayProcess, sendCompletion, sendRequest, waitFor } from "@radishreel/harness";
import fc from "fast-check";
import { connect } from "node:net";
import { request } from "undici";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createEngine, readEngineRuns, readProblem, startDeployment } from "./support.js";

const test = suite("path");
let deployment: Deployment;
let gateway: GatewayProcess;

test.before(async () => {
    deployment = await Deployment.create();
    await startDeployment(deployment, {
        engines: [
            createEngine("engine-1", { tokens: 400, tokenMs: 1 }),
            createEngine("engine-2", { tokens: 400, tokenMs: 1 }),
        ],
        gateway: { maxBodyBytes: 4096 },
    });
    gateway = deployment.gateways[0]!;
});

test.after(() => deployment.stop());

for (const isStream of [true, false]) {
    test(`a completion ${isStream ? "as a stream" : "without a stream"} is served completely by the requested model`, async () => {
        for (const model of ["declaration@1", "declaration@2", "manifest@1", "tender@1"]) {
            const result = await sendCompletion(gateway.callers, model, { isStream, tokens: 5 });
            assert.is(result.status, 200, result.body);
            assert.equal([...result.models], [model]);
            assert.is(result.text, Array.from({ length: 5 }, (_, index) => `${model}#${index} `).join(""));
            assert.ok(result.hasEndMark);
        }
    });
}

const completionsPath = "/v1/chat/completions";
const validBody = { model: "declaration@1", messages: [] };

/** Requests that the gateway rejects before it queues them. */
const refusals: readonly {
    name: string;
    path?: string;
    key?: string;
    headers?: Record<string, string>;
    body: unknown;
    status: number;
    reason: string;
}[] = [
    { name: "an unknown key", key: "nobody", body: validBody, status: 401, reason: "unknownKey" },
    { name: "an unknown adapter", body: { ...validBody, model: "nothing@1" }, status: 404, reason: "unknownAdapter" },
    {
        name: "an unknown version",
        body: { ...validBody, model: "declaration@9" },
        status: 404,
        reason: "unknownAdapter",
    },
    {
        name: "an adapter without a version",
        body: { ...validBody, model: "declaration" },
        status: 404,
        reason: "unknownAdapter",
    },
    {
        name: "an adapter of another account",
        key: "trial-key",
        body: { ...validBody, model: "tender@1" },
        status: 403,
        reason: "notAllowed",
    },
    { name: "a body that is not JSON", body: "{", status: 400, reason: "malformedBody" },
    { name: "a body without a model", body: {}, status: 400, reason: "malformedBody" },
    {
        name: "an oversized body",
        body: { ...validBody, padding: "x".repeat(5000) },
        status: 413,
        reason: "oversizedBody",
    },
    {
        name: "a malformed deadline",
        headers: { "x-deadline-ms": "soon" },
        body: validBody,
        status: 400,
        reason: "malformedDeadline",
    },
    { name: "an unknown service", path: "/v1/services/nothing/x", body: {}, status: 404, reason: "unknownService" },
    {
        name: "a service of another account",
        path: "/v1/services/labels/x",
        key: "trial-key",
        body: {},
        status: 403,
        reason: "notAllowed",
    },
    {
        name: "a non-idempotent call without a request token",
        path: "/v1/services/labels/print",
        body: {},
        status: 428,
        reason: "requestTokenRequired",
    },
    {
        name: "a forged request token",
        path: "/v1/services/labels/print",
        headers: { "x-request-token": "e30.e30" },
        body: {},
        status: 400,
        reason: "malformedRequestToken",
    },
    { name: "an unknown path", path: "/v2/nothing", body: {}, status: 404, reason: "unknownRoute" },
];

for (const { name, path = completionsPath, key, headers, body, status, reason } of refusals) {
    test(`${name} is rejected as ${reason} with verdict not-run`, async () => {
        const result = await sendRequest(gateway.callers, path, { key, headers, body });
        assert.is(result.status, status, result.body);
        assert.match(String(result.headers["content-type"]), "application/problem+json");
        assert.equal([readProblem(result.body).reason, readProblem(result.body).verdict], [reason, "not-run"]);
    });
}

test("a request with any body gets a client error and does not stop the gateway", async () => {
    const body = fc.oneof(
        fc.string(),
        fc.json(),
        fc.record({ model: fc.string(), stream: fc.boolean() }).map(value => JSON.stringify(value)),
    );
    await fc.assert(
        fc.asyncProperty(body, async text => {
            const result = await sendRequest(gateway.callers, completionsPath, { body: text });
            assert.ok(result.status >= 400 && result.status < 500, `${result.status} for ${text}`);
        }),
        { seed: 5, numRuns: 200 },
    );
    assert.ok(gateway.process.isRunning);
});

test("a peer connection that sends arbitrary bytes is closed and does not stop the agent", async () => {
    const agent = deployment.agents[0]!;
    const [host, port] = agent.peers.split(":") as [string, string];
    await fc.assert(
        fc.asyncProperty(fc.uint8Array({ minLength: 1, maxLength: 200 }), async bytes => {
            const socket = connect(Number(port), host);
            await new Promise<void>(resolve => {
                socket.on("close", () => resolve());
                socket.on("error", () => {});
                socket.resume();
                socket.write(bytes);
                socket.end();
            });
        }),
        { seed: 5, numRuns: 100 },
    );
    assert.ok(agent.process.isRunning);
    assert.is((await sendCompletion(gateway.callers, "declaration@1", { tokens: 1 })).status, 200);
});

test("the model list of an account contains only the models that the account may use", async () => {
    const result = await sendRequest(gateway.callers, "/v1/models", { method: "GET", key: "trial-key" });
    const models = (JSON.parse(result.body) as { data: { id: string; }[]; }).data.map(model => model.id);
    assert.equal(models.sort(), ["declaration@1", "declaration@2"]);
});

test("a caller that closes its connection cancels its request at the upstream", async () => {
    const abort = new AbortController();
    const response = await request(`http://${gateway.callers}${completionsPath}`, {
        method: "POST",
        headers: { authorization: "Bearer paying-key" },
        body: JSON.stringify({ model: "manifest@1", stream: true, messages: [] }),
        signal: abort.signal,
    });
    response.body.on("error", () => {});
    await new Promise(resolve => response.body.once("data", resolve));
    abort.abort();
    await waitFor("the engine to end the request", async () => {
        const runs = await Promise.all(Object.values(deployment.addresses.engines).map(readEngineRuns));
        return runs.every(({ runs: list }) => list.every(run => run.ended));
    });
    const metrics = await sendRequest(gateway.metrics, "/metrics", { method: "GET" });
    assert.match(metrics.body, "radishreel_refusals_total{reason=\"callerGone\"} 1");
    assert.match(metrics.body, "radishreel_open_requests 0");
});

test("a request whose deadline no adapter load can meet is rejected at once with Retry-After", async () => {
    for (const address of Object.values(deployment.addresses.engines)) {
        await deployment.setFaults(address, [{ operation: "load", action: "silentBefore", count: 100 }]);
    }
    // No earlier test requests this model, so it has not been prefetched.
    const result = await sendCompletion(gateway.callers, "spare@1", { headers: { "x-deadline-ms": "300" } });
    assert.is(result.status, 504, result.body);
    assert.equal(readProblem(result.body).verdict, "not-run");
    assert.ok(Number(result.headers["retry-after"]) >= 1);
});

test.run();
