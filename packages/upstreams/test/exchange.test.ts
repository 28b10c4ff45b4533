import fc from "fast-check";
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type CompletionEnd, HttpEngineClient, HttpServiceClient, UpstreamConnections } from "../src/index.js";
import { type BreakPoint, ByteServer, createPlainAnswer, createStreamAnswer, type Plan } from "./server.js";

const model = "declaration@2";
const body = Buffer.from(JSON.stringify({ model, stream: true, messages: [] }));
const streamAnswer = createStreamAnswer(model, 3);
const plainAnswer = createPlainAnswer(JSON.stringify({ model, choices: [] }));

interface Attempt {
    readonly end: CompletionEnd;
    readonly received: string;
    readonly hasBegun: boolean;
}

async function runCompletion(
    connections: UpstreamConnections,
    address: string,
    isStream: boolean,
    silenceMs = 5000,
): Promise<Attempt> {
    let received = "";
    let hasBegun = false;
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
                hasBegun = true;
            },
            receiveData: chunk => {
                received += chunk.toString("latin1");
            },
        },
    });
    return { end: await completion.end, received, hasBegun };
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

/** The bytes of a chunked answer's events. */
const wholeStream = streamAnswer.slice(streamAnswer.indexOf("\r\n\r\n") + 4).replace(/(?:^|\r\n)[0-9a-f]+\r\n/g, "")
    .replace(/\r\n$/, "");

/** Where an exchange can break, whether the upstream ran it, and what may be said of it. */
const breaks: readonly { point: BreakPoint; bytes?: number; ran: boolean; verdict: string; }[] = [
    { point: "accept", ran: false, verdict: "mayHaveRun" },
    { point: "request", bytes: 10, ran: false, verdict: "mayHaveRun" },
    { point: "request", bytes: 150, ran: false, verdict: "mayHaveRun" },
    { point: "beforeRun", ran: false, verdict: "mayHaveRun" },
    { point: "afterRun", ran: true, verdict: "mayHaveRun" },
    { point: "answer", bytes: 5, ran: true, verdict: "mayHaveRun" },
    { point: "answer", bytes: 150, ran: true, verdict: "mayHaveRun" },
    { point: "silent", ran: true, verdict: "mayHaveRun" },
    { point: "refuse", ran: false, verdict: "notRun" },
    { point: "never", ran: true, verdict: "complete" },
];

for (const { point, bytes = 0, ran, verdict } of breaks) {
    test(`an exchange that breaks at "${point}" after ${bytes} bytes is told as ${verdict}`, () =>
        runWithServer(async (server, address, connections) => {
            server.plan = { point, bytes, answer: streamAnswer };
            const { end } = await runCompletion(connections, address, true, 100);
            assert.is(server.runs, ran ? 1 : 0);
            assert.is(end.verdict.kind, verdict);
        }));
}

test("an upstream that cannot be reached has not run the request", async () => {
    const closed = createServer().listen(0, "127.0.0.1");
    await once(closed, "listening");
    const { port } = closed.address() as AddressInfo;
    closed.close();
    await once(closed, "close");
    const { end } = await runCompletion(new UpstreamConnections(), `127.0.0.1:${port}`, true);
    assert.is(end.verdict.kind, "notRun");
    assert.ok(end.isSure);
});

test("a request whose lease has lapsed by the time of the write is not sent", () =>
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

test("a stream cut at every byte is never taken for a whole one", () =>
    runWithServer(async (server, address, connections) => {
        for (let bytes = 1; bytes < streamAnswer.length; bytes++) {
            server.plan = { point: "answer", bytes, answer: streamAnswer };
            const { end, received } = await runCompletion(connections, address, true);
            assert.is(end.verdict.kind, "mayHaveRun", `cut after ${bytes} bytes`);
            assert.ok(wholeStream.startsWith(received), `bytes of another answer after ${bytes} bytes`);
        }
    }));

test("a plain answer cut at every byte is never passed on", () =>
    runWithServer(async (server, address, connections) => {
        for (let bytes = 1; bytes < plainAnswer.length; bytes++) {
            server.plan = { point: "answer", bytes, answer: plainAnswer };
            const { end, hasBegun } = await runCompletion(connections, address, false);
            assert.is(end.verdict.kind, "mayHaveRun", `cut after ${bytes} bytes`);
            assert.not(hasBegun);
        }
    }));

/** Answers that are whole for HTTP, and must not be passed on as whole all the same. */
const wrongAnswers: readonly { name: string; isStream: boolean; answer: string; reason: string; }[] = [
    {
        name: "a stream that ends cleanly without its end mark",
        isStream: true,
        answer: createStreamAnswer(model, 3, false),
        reason: "truncatedAnswer",
    },
    { name: "a stream of another model", isStream: true, answer: createStreamAnswer("base", 3), reason: "wrongModel" },
    {
        name: "a stream of another version",
        isStream: true,
        answer: createStreamAnswer("declaration@1", 3),
        reason: "wrongModel",
    },
    {
        name: "a plain answer of another model",
        isStream: false,
        answer: createPlainAnswer("{\"model\":\"base\"}"),
        reason: "wrongModel",
    },
    {
        name: "a plain answer that names no model",
        isStream: false,
        answer: createPlainAnswer("{}"),
        reason: "malformedAnswer",
    },
    {
        name: "a plain answer that is cut but declared whole",
        isStream: false,
        answer: createPlainAnswer("{\"model\":\"decl"),
        reason: "malformedAnswer",
    },
    { name: "a failure", isStream: true, answer: createPlainAnswer("{}", 500), reason: "upstreamFailed" },
];

for (const { name, isStream, answer, reason } of wrongAnswers) {
    test(`${name} is told as ${reason}`, () =>
        runWithServer(async (server, address, connections) => {
            server.plan = { point: "never", bytes: 0, answer };
            const { end } = await runCompletion(connections, address, isStream);
            assert.is(end.verdict.kind, "mayHaveRun");
            assert.is(end.verdict.kind === "mayHaveRun" && end.verdict.reason, reason);
        }));
}

test("a wrong model passes no byte to the caller", () =>
    runWithServer(async (server, address, connections) => {
        server.plan = { point: "never", bytes: 0, answer: createStreamAnswer("base", 3) };
        const { received, hasBegun } = await runCompletion(connections, address, true);
        assert.is(received, "");
        assert.not(hasBegun);
    }));

test("over random plans on reused connections, not-run was not run and complete is complete", () =>
    runWithServer(async (server, address, connections) => {
        const plan: fc.Arbitrary<Plan & { isStream: boolean; }> = fc.record({
            point: fc.constantFrom<BreakPoint>(
                "accept",
                "request",
                "beforeRun",
                "afterRun",
                "answer",
                "refuse",
                "never",
                "never",
                "never",
            ),
            bytes: fc.integer({ min: 1, max: streamAnswer.length - 1 }),
            isStream: fc.boolean(),
        }).map(({ point, bytes, isStream }) => {
            const answer = isStream ? streamAnswer : plainAnswer;
            return { point, bytes: Math.min(bytes, answer.length - 1), isStream, answer };
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
                    assert.is(ran, 0, "not-run was run");
                }
                if (end.verdict.kind === "complete") {
                    assert.is(received, drawn.isStream ? wholeStream : JSON.stringify({ model, choices: [] }));
                }
                falseMayHaveRun += end.verdict.kind === "mayHaveRun" && ran === 0 ? 1 : 0;
            }),
            { seed: 3, numRuns: 2000 },
        );
        assert.ok(falseMayHaveRun > 0, "some plans close before acting, which no protocol can tell");
    }));

test("answers of requests at the same time go to their own callers", () =>
    runWithServer(async (server, address, connections) => {
        server.plan = { point: "never", bytes: 0, answer: streamAnswer };
        const attempts = await Promise.all(Array.from({ length: 50 }, () => runCompletion(connections, address, true)));
        assert.ok(
            attempts.every(attempt => attempt.end.verdict.kind === "complete" && attempt.received === wholeStream),
        );
        assert.is(server.runs, 50);
    }));

test("a service's whole answer is passed on whatever its status", () =>
    runWithServer(async (server, address, connections) => {
        server.plan = { point: "never", bytes: 0, answer: createPlainAnswer("{\"no\":\"parcel\"}", 404) };
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
                receiveHead: head => {
                    status = head;
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
