import fc from "fast-check";
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type CompletionEnd, HttpEngineClient, HttpServiceClient, UpstreamConnections } from "../src/index.js";
import { type BreakPoint, ByteServer, createPlainResponse, createStreamResponse, type ResponsePlan } from "./server.js";

const model = "declaration@2";
const body = Buffer.from(JSON.stringify({ model, stream: true, messages: [] }));
const streamResponse = createStreamResponse(model, 3);
const plainResponse = createPlainResponse(JSON.stringify({ model, choices: [] }));

interface CompletionRun {
    readonly end: CompletionEnd;
    readonly received: string;
    readonly hasReceivedHead: boolean;
}

async function runCompletion(
    connections: UpstreamConnections,
    address: string,
    isStream: boolean,
    silenceMs = 5000,
): Promise<CompletionRun> {
    let received = "";
    let hasReceivedHead = false;
    const completion = new HttpEngineClient(connections).open({
        address,
        path: "/v1/chat/completions",
        model,
        isStream,
        body,
        callId: "call",
        priority: 10,
        silenceMs,
        receiver: {
            receiveHead: () => {
                hasReceivedHead = true;
            },
            receiveData: chunk => {
                received += chunk.toString("latin1");
            },
        },
    });
    return { end: await completion.end, received, hasReceivedHead };
}

async function runWithServer(
    run: (server: ByteServer, address: string, connections: UpstreamConnections) => Promise<void>,
): Promise<void> {
    const server = new ByteServer();
    const address = await server.start();
    const connections = new UpstreamConnections({ connectTimeoutMs: 2000 });
    try {
        await run(server, address, connections);
    }
    finally {
        server.stop();
    }
}

/** The events of the chunked response, without the chunk framing. */
const completeStreamBody = streamResponse.slice(streamResponse.indexOf("\r\n\r\n") + 4).replace(
    /(?:^|\r\n)[0-9a-f]+\r\n/g,
    "",
)
    .replace(/\r\n$/, "");

/** Points at which an exchange breaks, whether the upstream ran the request, and the expected verdict. */
const breakCases: readonly { point: BreakPoint; bytes?: number; ran: boolean; verdict: string; }[] = [
    { point: "accept", ran: false, verdict: "mayHaveRun" },
    { point: "request", bytes: 10, ran: false, verdict: "mayHaveRun" },
    { point: "request", bytes: 150, ran: false, verdict: "mayHaveRun" },
    { point: "beforeRun", ran: false, verdict: "mayHaveRun" },
    { point: "afterRun", ran: true, verdict: "mayHaveRun" },
    { point: "response", bytes: 5, ran: true, verdict: "mayHaveRun" },
    { point: "response", bytes: 150, ran: true, verdict: "mayHaveRun" },
    { point: "silent", ran: true, verdict: "mayHaveRun" },
    { point: "refuse", ran: false, verdict: "notRun" },
    { point: "never", ran: true, verdict: "complete" },
];

for (const { point, bytes = 0, ran, verdict } of breakCases) {
    test(`an exchange that breaks at "${point}" after ${bytes} bytes has the verdict ${verdict}`, () =>
        runWithServer(async (server, address, connections) => {
            server.plan = { point, bytes, response: streamResponse };
            const { end } = await runCompletion(connections, address, true, 100);
            assert.is(server.runs, ran ? 1 : 0);
            assert.is(end.verdict.kind, verdict);
        }));
}

test("a request to an unreachable upstream has the verdict notRun", async () => {
    const closed = createServer().listen(0, "127.0.0.1");
    await once(closed, "listening");
    const { port } = closed.address() as AddressInfo;
    closed.close();
    await once(closed, "close");
    const { end } = await runCompletion(new UpstreamConnections(), `127.0.0.1:${port}`, true);
    assert.is(end.verdict.kind, "notRun");
    assert.ok(end.isConfirmed);
});

test("a request whose lease expires before the write is not sent", () =>
    runWithServer(async (server, address, connections) => {
        const completion = new HttpEngineClient(connections).open({
            address,
            path: "/v1/completions",
            model,
            isStream: false,
            body,
            callId: "call",
            priority: 0,
            silenceMs: 1000,
            checkBeforeSend: () => false,
            receiver: { receiveHead: () => {}, receiveData: () => {} },
        });
        const { verdict } = await completion.end;
        assert.is(verdict.kind, "notRun");
        assert.is(verdict.kind === "notRun" && verdict.reason, "leaseLapsed");
        assert.is(server.runs, 0);
    }));

test("a stream cut at any byte never has the verdict complete", () =>
    runWithServer(async (server, address, connections) => {
        for (let bytes = 1; bytes < streamResponse.length; bytes++) {
            server.plan = { point: "response", bytes, response: streamResponse };
            const { end, received } = await runCompletion(connections, address, true);
            assert.is(end.verdict.kind, "mayHaveRun", `cut after ${bytes} bytes`);
            assert.ok(
                completeStreamBody.startsWith(received),
                `the received bytes are not a prefix of the stream, cut after ${bytes} bytes`,
            );
        }
    }));

test("a plain response cut at any byte is never passed to the caller", () =>
    runWithServer(async (server, address, connections) => {
        for (let bytes = 1; bytes < plainResponse.length; bytes++) {
            server.plan = { point: "response", bytes, response: plainResponse };
            const { end, hasReceivedHead } = await runCompletion(connections, address, false);
            assert.is(end.verdict.kind, "mayHaveRun", `cut after ${bytes} bytes`);
            assert.not(hasReceivedHead);
        }
    }));

/** Responses that are complete by HTTP framing, but must not have the verdict complete. */
const invalidResponses: readonly { name: string; isStream: boolean; response: string; reason: string; }[] = [
    {
        name: "a stream that ends cleanly without its end marker",
        isStream: true,
        response: createStreamResponse(model, 3, false),
        reason: "truncatedAnswer",
    },
    {
        name: "a stream of another model",
        isStream: true,
        response: createStreamResponse("base", 3),
        reason: "wrongModel",
    },
    {
        name: "a stream of another version",
        isStream: true,
        response: createStreamResponse("declaration@1", 3),
        reason: "wrongModel",
    },
    {
        name: "a plain response of another model",
        isStream: false,
        response: createPlainResponse("{\"model\":\"base\"}"),
        reason: "wrongModel",
    },
    {
        name: "a plain response that names no model",
        isStream: false,
        response: createPlainResponse("{}"),
        reason: "malformedAnswer",
    },
    {
        name: "a plain response that is cut, with the content-length of the cut body",
        isStream: false,
        response: createPlainResponse("{\"model\":\"decl"),
        reason: "malformedAnswer",
    },
    {
        name: "a response with status 500",
        isStream: true,
        response: createPlainResponse("{}", 500),
        reason: "upstreamFailed",
    },
];

for (const { name, isStream, response, reason } of invalidResponses) {
    test(`${name} has the verdict mayHaveRun for the reason ${reason}`, () =>
        runWithServer(async (server, address, connections) => {
            server.plan = { point: "never", bytes: 0, response };
            const { end } = await runCompletion(connections, address, isStream);
            assert.is(end.verdict.kind, "mayHaveRun");
            assert.is(end.verdict.kind === "mayHaveRun" && end.verdict.reason, reason);
        }));
}

test("a stream of another model passes no byte to the caller", () =>
    runWithServer(async (server, address, connections) => {
        server.plan = { point: "never", bytes: 0, response: createStreamResponse("base", 3) };
        const { received, hasReceivedHead } = await runCompletion(connections, address, true);
        assert.is(received, "");
        assert.not(hasReceivedHead);
    }));

test("over random plans on reused connections, no notRun request ran and each complete response is whole", () =>
    runWithServer(async (server, address, connections) => {
        const plan: fc.Arbitrary<ResponsePlan & { isStream: boolean; }> = fc.record({
            point: fc.constantFrom<BreakPoint>(
                "accept",
                "request",
                "beforeRun",
                "afterRun",
                "response",
                "refuse",
                "never",
                "never",
                "never",
            ),
            bytes: fc.integer({ min: 1, max: streamResponse.length - 1 }),
            isStream: fc.boolean(),
        }).map(({ point, bytes, isStream }) => {
            const response = isStream ? streamResponse : plainResponse;
            return { point, bytes: Math.min(bytes, response.length - 1), isStream, response };
        });
        let falseMayHaveRun = 0;
        await fc.assert(
            fc.asyncProperty(plan, async drawn => {
                server.plan = drawn;
                const before = server.runs;
                const { end, received } = await runCompletion(connections, address, drawn.isStream);
                const ran = server.runs - before;
                assert.ok(ran <= 1);
                if (end.verdict.kind === "notRun") {
                    assert.is(ran, 0, "a request with the verdict notRun ran");
                }
                if (end.verdict.kind === "complete") {
                    assert.is(received, drawn.isStream ? completeStreamBody : JSON.stringify({ model, choices: [] }));
                }
                falseMayHaveRun += end.verdict.kind === "mayHaveRun" && ran === 0 ? 1 : 0;
            }),
            { seed: 3, numRuns: 2000 },
        );
        assert.ok(
            falseMayHaveRun > 0,
            "no exchange broke before the request ran with the verdict mayHaveRun, which no client can avoid",
        );
    }));

test("responses to concurrent requests go to their own callers", () =>
    runWithServer(async (server, address, connections) => {
        server.plan = { point: "never", bytes: 0, response: streamResponse };
        const attempts = await Promise.all(Array.from({ length: 50 }, () => runCompletion(connections, address, true)));
        assert.ok(
            attempts.every(attempt =>
                attempt.end.verdict.kind === "complete" && attempt.received === completeStreamBody
            ),
        );
        assert.is(server.runs, 50);
    }));

test("a service's complete response is passed on whatever its status", () =>
    runWithServer(async (server, address, connections) => {
        server.plan = { point: "never", bytes: 0, response: createPlainResponse("{\"no\":\"parcel\"}", 404) };
        let status = 0;
        let received = "";
        const call = new HttpServiceClient(connections).open({
            address,
            method: "GET",
            path: "/parcels/1",
            headers: {},
            body: undefined,
            silenceMs: 1000,
            receiver: {
                receiveHead: responseStatus => {
                    status = responseStatus;
                },
                receiveData: chunk => {
                    received += chunk.toString();
                },
            },
        });
        assert.is((await call.end).verdict.kind, "complete");
        assert.equal([status, received], [404, "{\"no\":\"parcel\"}"]);
    }));

test.run();
