import type { Route } from "@radishreel/routing";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Attempt, type AttemptEnd } from "../src/requests/attempt.js";
import { CallerExchange } from "../src/requests/caller.js";
import { ConnectionPool } from "../src/requests/connections.js";
import { plainDialect, plainRouting } from "./changingserver.js";

const readTime = () => performance.now();

async function startServer(server: Server): Promise<string> {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Sends a request to an upstream that never responds. @param onArrival Called when the upstream has the request. */
async function runUnresponsive(
    kind: Route["kind"],
    readStartLimitMs: () => number,
    timeLeftMs: number,
    onArrival: (attempt: Attempt) => void = () => {},
): Promise<AttemptEnd> {
    let sent: Attempt | undefined;
    const upstream = createServer(() => onArrival(sent!));
    const address = await startServer(upstream);
    const pool = new ConnectionPool();
    const front = createServer();
    const ended = new Promise<AttemptEnd>(resolve => {
        front.on("request", (request, response) => {
            const attempt = new Attempt({
                caller: new CallerExchange(request, response),
                requestId: "q",
                route: { ...plainRouting.routes[0]!, kind },
                body: undefined,
                dialect: plainDialect,
                pool,
                upstreamId: "s1",
                address,
                send: {
                    upstreamName: "s1",
                    budgetMs: timeLeftMs,
                    version: 1,
                    lastEventId: undefined,
                    priority: undefined,
                },
                isFresh: true,
                progress: {
                    lastEventId: undefined,
                    events: 0,
                    firstEventAt: undefined,
                    lastEventAt: 0,
                    longestPauseMs: 0,
                },
                firstByteMs: 60_000,
                readStartLimitMs: readStartLimitMs,
                pauseMs: 60_000,
                timeLeftMs,
                readTime,
                checkBeforeSend: () => true,
                onMetadata: () => {},
                onStart: () => {},
            });
            sent = attempt;
            void attempt.end.then(end => {
                resolve(end);
                response.end();
            });
        });
    });
    const frontAddress = await startServer(front);
    const [end] = await Promise.all([ended, fetch(`http://${frontAddress}/`)]);
    pool.close();
    for (const server of [upstream, front]) {
        server.close();
        server.closeAllConnections();
    }
    return end;
}

test("a stream that its engine has not started is withdrawn when the adapter version expires", async () => {
    const end = await runUnresponsive("stream", () => 20, 60_000);
    assert.is(end.kind, "broken");
    assert.is(end.kind === "broken" && end.reason, "versionReplaced");
});

test("a stream whose adapter version is replaced after it was sent is withdrawn", async () => {
    let startLimitMs = Infinity;
    const end = await runUnresponsive("stream", () => startLimitMs, 60_000, attempt => {
        startLimitMs = 0;
        attempt.updateStartLimit();
    });
    assert.is(end.kind === "broken" && end.reason, "versionReplaced");
});

test("a plain request, whose start is not visible, runs until its deadline although its version expires", async () => {
    const end = await runUnresponsive("safe", () => 20, 60);
    assert.is(end.kind === "broken" && end.reason, "timeout");
});

test.run();
