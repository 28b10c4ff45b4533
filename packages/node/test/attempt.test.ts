import type { Route } from "@radishreel/routing";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DirectConnector, type UpstreamConnector } from "../src/paths/index.js";
import type { Attempt } from "../src/requests/attempt.js";
import type { AttemptEnd } from "../src/requests/attemptend.js";
import { CallerExchange } from "../src/requests/caller.js";
import { ConnectionPool } from "../src/requests/connectionpool.js";
import { responseMemory } from "../src/requests/responsememory.js";
import { createAttempt } from "./attempts.js";
import { plainRouting } from "./changingserver.js";

async function startServer(server: Server): Promise<string> {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

interface RunOptions {
    readonly kind: Route["kind"];
    /** @default never */
    readonly readStartLimitMs?: () => number;
    /** @default 60000 */
    readonly timeLeftMs?: number;
    /** Called when the upstream has the request. */
    readonly onArrival?: (attempt: Attempt, response: ServerResponse) => void;
    readonly onStable?: () => void;
    /** @default 60000 */
    readonly firstSilenceMs?: number;
    /** @default direct connections */
    readonly connector?: UpstreamConnector;
    /** Whether an earlier attempt has begun the response to the caller. @default false */
    readonly isContinued?: boolean;
    /** @default a steady clock */
    readonly readTime?: () => number;
}

/** Sends a request to an upstream that does not respond by itself. */
async function runUnresponsive({
    kind,
    readStartLimitMs = () => Infinity,
    timeLeftMs = 60_000,
    onArrival = () => {},
    onStable,
    firstSilenceMs = 60_000,
    connector,
    isContinued = false,
    readTime = () => performance.now(),
}: RunOptions): Promise<AttemptEnd> {
    let sent: Attempt | undefined;
    const upstream = createServer((_request, response) => onArrival(sent!, response));
    const address = await startServer(upstream);
    const pool = new ConnectionPool({ connector });
    const front = createServer();
    const ended = new Promise<AttemptEnd>(resolve => {
        front.on("request", (request, response) => {
            const caller = new CallerExchange(request, response);
            if (isContinued) {
                caller.startResponse(200, []);
                caller.pass(Buffer.from("id: 1\ndata: x\n\n"));
            }
            const attempt = createAttempt({
                caller,
                route: { ...plainRouting.routes[0]!, kind },
                pool,
                address,
                silenceLimits: { firstMs: firstSilenceMs, nextMs: 60_000 },
                readStartLimitMs,
                timeLeftMs,
                readTime,
                onStable,
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
    const end = await runUnresponsive({ kind: "stream", readStartLimitMs: () => 20 });
    assert.is(end.kind, "broken");
    assert.is(end.kind === "broken" && end.reason, "versionReplaced");
});

test("a stream that started while the process stood still is not withdrawn when the adapter version expires", async () => {
    const end = await runUnresponsive({
        kind: "stream",
        readStartLimitMs: () => 40,
        onArrival: (_attempt, response) => {
            response.writeHead(200, { "Content-Type": "text/event-stream" });
            response.end("id: 1\ndata: x\n\n");
            setImmediate(() => {
                for (const until = performance.now() + 80; performance.now() < until;) {
                    // The process stands still.
                }
            });
        },
    });
    assert.equal(end, { kind: "complete", status: 200, isCloseDelimited: false });
});

test("an attempt whose request was just written is not silent, however long its connection took", async () => {
    let wasSilent: boolean | undefined;
    const direct = new DirectConnector();
    const end = await runUnresponsive({
        kind: "stream",
        firstSilenceMs: 20,
        connector: {
            mayReuse: () => true,
            open: async (target, signal) => {
                await wait(60);
                return direct.open(target, signal);
            },
        },
        onArrival: (attempt, response) => {
            wasSilent = attempt.silence.isSilent;
            response.end();
        },
    });
    assert.is(wasSilent, false, JSON.stringify(end));
});

test("a stream whose adapter version is replaced after it was sent is withdrawn", async () => {
    let startLimitMs = Infinity;
    const end = await runUnresponsive({
        kind: "stream",
        readStartLimitMs: () => startLimitMs,
        onArrival: attempt => {
            startLimitMs = 0;
            attempt.updateStartLimit();
        },
    });
    assert.is(end.kind === "broken" && end.reason, "versionReplaced");
});

test("a plain request, whose start is not visible, runs until its deadline although its version expires", async () => {
    const end = await runUnresponsive({ kind: "safe", readStartLimitMs: () => 20, timeLeftMs: 60 });
    assert.is(end.kind === "broken" && end.reason, "timeout");
});

test("a request that is quarantined before its response has started is canceled and may have run", async () => {
    for (const kind of ["stream", "safe"] as const) {
        const end = await runUnresponsive({ kind, onArrival: attempt => attempt.cancelQuarantined() });
        assert.is(end.kind === "broken" && end.reason, "quarantined");
    }
});

test("a stream that has started goes on when its request is quarantined", async () => {
    const end = await runUnresponsive({
        kind: "stream",
        onArrival: (attempt, response) => {
            response.writeHead(200, { "X-Request-Id": "q", "X-Response-Signature": "s" });
            response.write("id: 1\ndata: a\n\n");
            const wait = (): void => {
                if (attempt.answeringMs === undefined) {
                    setImmediate(wait);
                    return;
                }
                attempt.cancelQuarantined();
                response.end("id: 2\ndata: b\n\n");
            };
            wait();
        },
    });
    assert.is(end.kind, "complete");
});

test("a pause in which the process was suspended does not count as time for which a stream has gone on", async () => {
    let now = 0;
    const counted: (number | undefined)[] = [];
    let stableCalls = 0;
    await runUnresponsive({
        kind: "stream",
        readTime: () => now,
        onStable: () => {
            stableCalls += 1;
        },
        onArrival: (attempt, response) => {
            response.writeHead(200, { "X-Request-Id": "q", "X-Response-Signature": "s" });
            const pauses = [0, 3000, 20, 50, 50, 50];
            const send = (): void => {
                const known = attempt.answeringMs;
                now += pauses[counted.length]!;
                response.write(`id: ${counted.length + 1}\ndata: a\n\n`);
                const wait = (): void => {
                    if (attempt.answeringMs === known) {
                        setImmediate(wait);
                        return;
                    }
                    counted.push(attempt.answeringMs);
                    if (counted.length < pauses.length) {
                        send();
                        return;
                    }
                    response.end();
                };
                wait();
            };
            send();
        },
    });
    assert.equal(counted, [0, 50, 70, 120, 170, 220]);
    assert.is(stableCalls, 1);
});

for (const isFramed of [true, false]) {
    const form = isFramed ? "with" : "without";
    test(`a response ${form} a length that does not continue a stream is not begun a second time`, async () => {
        const end = await runUnresponsive({
            kind: "stream",
            isContinued: true,
            timeLeftMs: 2000,
            onArrival: (_attempt, response) => {
                response.shouldKeepAlive = false;
                response.useChunkedEncodingByDefault = isFramed;
                response.writeHead(404).end("none");
            },
        });
        assert.equal(end, {
            kind: "broken",
            reason: "wrongAnswer",
            detail: "the response does not continue the stream",
        });
    });
}

for (const kind of ["stream", "unsafe"] as const) {
    test(`an attempt that ends drops what it kept of its response: ${kind}`, async () => {
        const most: number[] = [];
        await runUnresponsive({
            kind,
            timeLeftMs: 300,
            onArrival: (_attempt, response) => {
                response.write(`id: 1\ndata: ${"x".repeat(10_000)}`);
                setTimeout(() => most.push(responseMemory.heldBytes), 100);
            },
        });
        assert.ok(most[0]! >= 10_000, `${most[0]} bytes were kept`);
        assert.is(responseMemory.heldBytes, 0);
    });
}

test.run();
