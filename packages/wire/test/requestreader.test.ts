/** Guards against clients that make a server keep more than it handles. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createHttpServer, type HttpConnections, type HttpServerOptions } from "../src/index.js";

interface Received {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
}

/** A server that keeps the requests that it receives. */
class ServerTest {
    readonly received: Received[] = [];
    readonly connections: HttpConnections;
    private readonly server: Server;
    private readonly clients: Socket[] = [];

    constructor(options: HttpServerOptions = {}) {
        const { server, connections } = createHttpServer(options);
        this.server = server;
        this.connections = connections;
        this.server.on("request", (request, response) => this.received.push({ request, response }));
    }

    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
    }

    stop(): void {
        this.clients.forEach(client => client.destroy());
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Connects a client that sends some text. */
    openClient(text: string): { socket: Socket; read: () => string; } {
        const socket = connect((this.server.address() as AddressInfo).port, "127.0.0.1");
        let read = "";
        socket.on("error", () => {}).on("data", bytes => read += bytes.toString("latin1"));
        socket.write(text);
        this.clients.push(socket);
        return { socket, read: () => read };
    }

    async waitFor(isTrue: () => boolean): Promise<void> {
        for (let checks = 0; !isTrue() && checks < 1000; checks++) {
            await sleep(5);
        }
        assert.ok(isTrue(), "not in time");
    }
}

async function runTest(act: (server: ServerTest) => Promise<void>, options?: HttpServerOptions): Promise<void> {
    const server = new ServerTest(options);
    await server.start();
    try {
        await act(server);
    }
    finally {
        server.stop();
    }
}

function formatGet(path: string): string {
    return `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;
}

/** Time in which a server would have read what it reads at once, in milliseconds. */
const readMs = 100;

test("one request waits behind another, and those behind it are not parsed before", () =>
    runTest(async server => {
        const client = server.openClient(
            Array.from({ length: 500 }, (_value, index) => formatGet(`/${index}`)).join(""),
        );
        await server.waitFor(() => server.received.length === 2);
        await sleep(readMs);
        assert.is(server.received.length, 2);
        for (let index = 0; index < 500; index++) {
            await server.waitFor(() => server.received.length > index);
            server.received[index]!.response.end(server.received[index]!.request.url);
        }
        await server.waitFor(() => client.read().endsWith("/499"));
    }));

test("a body is not parsed before it is read", () =>
    runTest(async server => {
        server.openClient(
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(10_000),
        );
        await server.waitFor(() => server.received.length === 1);
        await sleep(readMs);
        const { request } = server.received[0]!;
        assert.is(request.readableLength, 0);
        let bytes = 0;
        request.on("data", (chunk: Buffer) => bytes += chunk.length);
        await server.waitFor(() => bytes === 10_000);
    }));

test("bytes that are not HTTP end a connection after the response to the request before them", () =>
    runTest(async server => {
        const client = server.openClient(formatGet("/") + "no request\r\n\r\n");
        await server.waitFor(() => server.received.length === 1);
        await sleep(readMs);
        assert.is(client.read(), "");
        server.received[0]!.response.end("served");
        await server.waitFor(() => client.socket.destroyed);
        assert.match(client.read(), /^HTTP\/1.1 200 OK[^]*served$/);
        assert.not.match(client.read(), /400/);
    }));

test("a client that goes on sending reads why its request was refused", () =>
    runTest(async server => {
        const client = server.openClient("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n");
        await server.waitFor(() => server.received.length === 1);
        client.socket.write("x".repeat(500_000));
        await sleep(readMs);
        const { response } = server.received[0]!;
        response.writeHead(413, { Connection: "close" }).end("too long");
        let hasFailed = false;
        client.socket.on("error", () => hasFailed = true);
        await server.waitFor(() => client.socket.destroyed);
        assert.match(client.read(), /^HTTP\/1.1 413 [^]*too long/);
        assert.is(hasFailed, false, "the connection was reset");
    }));

test("a new connection replaces the one that has sent nothing for longest, and none that carries a request", () =>
    runTest(async server => {
        const busy = server.openClient(formatGet("/busy"));
        await server.waitFor(() => server.received.length === 1);
        const silent = server.openClient("");
        await sleep(readMs);
        const next = server.openClient(formatGet("/next"));
        await server.waitFor(() => server.received.length === 2 && silent.socket.destroyed);
        const last = server.openClient(formatGet("/last"));
        await server.waitFor(() => last.socket.destroyed);
        server.received.forEach(({ response }) => response.end("served"));
        await server.waitFor(() => [busy, next].every(({ read }) => read().endsWith("served")));
    }, { maxConnections: 2 }));

test("no header of a head within the limit is left out", () =>
    runTest(async server => {
        server.openClient(`GET / HTTP/1.1\r\nHost: h\r\n${"a: b\r\n".repeat(2000)}X-Last: x\r\n\r\n`);
        await server.waitFor(() => server.received.length === 1);
        assert.is(server.received[0]!.request.rawHeaders.at(-1), "x");
    }));

test("a new limit of the length of heads holds at once, also for clients that are connected", () =>
    runTest(async server => {
        const limits = { headerTimeoutMs: 5000, idleTimeoutMs: 5000 };
        server.connections.setLimits({ ...limits, maxHeaderBytes: 1000 });
        const long = `GET / HTTP/1.1\r\nHost: h\r\nX-Long: ${"x".repeat(2000)}\r\n\r\n`;
        const refused = server.openClient(long);
        await server.waitFor(() => refused.socket.destroyed);
        assert.match(refused.read(), /^HTTP\/1.1 431 /);
        const idle = server.openClient("");
        await sleep(readMs);
        server.connections.setLimits({ ...limits, maxHeaderBytes: 4000 });
        await server.waitFor(() => idle.socket.destroyed);
        server.openClient(long);
        await server.waitFor(() => server.received.length === 1);
    }));

test.run();
