import type { Route } from "@radishreel/routing";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Attempt, type AttemptEnd } from "../src/requests/attempt.js";
import { CallerExchange } from "../src/requests/caller.js";
import { ConnectionPool } from "../src/requests/connections.js";
import { plainDialect, plainRouting } from "./opening.js";

const readTime = () => performance.now();

async function startServer(server: Server): Promise<string> {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Sends a request to an upstream that never answers. @param onArrival It has come there. */
async function runUnanswered(
    kind: Route["kind"],
    readBeginMs: () => number,
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
                readStartLimitMs: readBeginMs,
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

test("a stream that an engine has not begun is taken back before its version may not begin any more", async () => {
    const end = await runUnanswered("stream", () => 20, 60_000);
    assert.is(end.kind, "broken");
    assert.is(end.kind === "broken" && end.reason, "versionReplaced");
});

test("a stream whose version is replaced only after it was sent is taken back as well", async () => {
    let beginMs = Infinity;
    const end = await runUnanswered("stream", () => beginMs, 60_000, attempt => {
        beginMs = 0;
        attempt.updateStartLimit();
    });
    assert.is(end.kind === "broken" && end.reason, "versionReplaced");
});

test("a plain request, which does not tell when it begins, is left to its deadline", async () => {
    const end = await runUnanswered("safe", () => 20, 60);
    assert.is(end.kind === "broken" && end.reason, "timeout");
});

test.run();
