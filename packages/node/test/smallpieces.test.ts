/** Guards against responses and requests in pieces of a few bytes, of which each takes memory and work of its own. */
import { createHttpServer } from "@radishreel/wire";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, createServer as createTcpServer, type Server as TcpServer } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Attempt } from "../src/requests/attempt.js";
import type { AttemptEnd } from "../src/requests/attemptend.js";
import { CallerExchange } from "../src/requests/caller.js";
import { ConnectionPool } from "../src/requests/connectionpool.js";
import { plainDialect, plainRouting } from "./changingserver.js";

/** Bytes of a body that is longer than what a VM buffers and what connections take. */
const bodyBytes = 1024 * 1024;

/** Bytes of a piece, and of its content. */
const piece = Buffer.from("4\r\nabcd\r\n");
const contentBytes = 4;

/** Bytes of the body for each write that its caller's connection may take at most. */
const minBytesPerWrite = 1024;

async function startServer(server: Server | TcpServer): Promise<number> {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return (server.address() as AddressInfo).port;
}

/** Counts the writes of a response and the most listeners that wait for its caller. */
class WriteCounter {
    writes = 0;
    mostListeners = 0;

    constructor(response: ServerResponse) {
        const write = response.write.bind(response) as (chunk: Buffer) => boolean;
        response.write = ((chunk: Buffer) => {
            this.writes += 1;
            return write(chunk);
        }) as typeof response.write;
        response.on("newListener", event => {
            if (event === "drain") {
                this.mostListeners = Math.max(this.mostListeners, response.listenerCount("drain") + 1);
            }
        });
    }
}

function startAttempt(
    request: ConstructorParameters<typeof CallerExchange>[0],
    response: ServerResponse,
    port: number,
) {
    return new Attempt({
        caller: new CallerExchange(request, response),
        requestId: "q",
        route: plainRouting.routes[0]!,
        body: undefined,
        dialect: plainDialect,
        pool: new ConnectionPool(),
        upstreamId: "s1",
        address: `127.0.0.1:${port}`,
        send: { upstreamName: "s1", budgetMs: 60_000, version: 1, lastEventId: undefined, priority: undefined },
        isFresh: true,
        progress: { lastEventId: undefined, events: 0, firstEventAt: undefined, lastEventAt: 0, longestPauseMs: 0 },
        silenceLimits: { firstMs: 60_000, nextMs: 60_000 },
        readStartLimitMs: () => Infinity,
        timeLeftMs: 60_000,
        readTime: () => performance.now(),
        checkBeforeSend: () => true,
        onMetadata: () => {},
        onStart: () => {},
    });
}

test("a long body in small pieces does not add a listener or a write to its response for each of them", async () => {
    const upstream = createTcpServer(socket => {
        socket.on("error", () => {});
        socket.once("data", () => {
            socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            socket.write(Buffer.alloc(bodyBytes / contentBytes * piece.length, piece));
            socket.end("0\r\n\r\n");
        });
    });
    const upstreamPort = await startServer(upstream);
    const front = createServer();
    let counter: WriteCounter | undefined;
    const ended = new Promise<AttemptEnd>(resolve => {
        front.on("request", (request, response) => {
            counter = new WriteCounter(response);
            void startAttempt(request, response, upstreamPort).end.then(resolve);
        });
    });
    const caller = connect(await startServer(front), "127.0.0.1");
    caller.write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    let received = "";
    const closed = new Promise(resolve => caller.on("data", data => received += data.toString()).on("close", resolve));
    assert.is((await ended).kind, "complete");
    await closed;
    const content = received.slice(received.indexOf("\r\n\r\n") + 4).replace(/[0-9a-f]+\r\n([a-d]*)\r\n/g, "$1");
    assert.is(content, "abcd".repeat(bodyBytes / contentBytes));
    assert.ok(counter!.mostListeners <= 2, `${counter!.mostListeners} drain listeners`);
    assert.ok(counter!.writes <= bodyBytes / minBytesPerWrite, `${counter!.writes} writes`);
    front.close();
    upstream.close();
});

test("a request's body that arrives in small pieces is not kept as a buffer for each of them", async () => {
    const { server: front } = createHttpServer();
    const read = new Promise<Buffer | undefined>(resolve => {
        front.on("request", (request, response) => {
            void new CallerExchange(request, response).readBody(bodyBytes).then(body => {
                response.end();
                resolve(body);
            });
        });
    });
    const concat = Buffer.concat.bind(Buffer);
    let mostParts = 0;
    Buffer.concat = (list: readonly Uint8Array[], length?: number) => {
        mostParts = Math.max(mostParts, list.length);
        return concat(list, length);
    };
    const caller = connect(await startServer(front), "127.0.0.1");
    caller.write("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n");
    caller.write(Buffer.alloc(bodyBytes / contentBytes * piece.length, piece));
    caller.write("0\r\n\r\n");
    const body = await read;
    Buffer.concat = concat;
    caller.destroy();
    front.close();
    assert.is(body?.toString(), "abcd".repeat(bodyBytes / contentBytes));
    assert.ok(mostParts <= bodyBytes / minBytesPerWrite, `${mostParts} buffers`);
});

test.run();
