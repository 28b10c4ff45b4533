/** Guards against callers whose bodies are too long, late, or too many to be kept. */
import type { RefusedVerdict } from "@radishreel/verdict";
import { createHttpServer } from "@radishreel/wire";
import type { Result } from "neverthrow";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { BodyReader } from "../src/body.js";

type BodyResult = Result<Buffer, RefusedVerdict>;

const head = "POST / HTTP/1.1\r\nHost: h\r\n";
const chunkedHead = `${head}Transfer-Encoding: chunked\r\n\r\n`;
const chunk = `3e8\r\n${"x".repeat(1000)}\r\n`;

/** Runs a test with a reader of bodies of 10 KB, or 3 KB of several bodies that are not complete. */
async function runWithReader(
    act: (send: (text: string) => { socket: Socket; read: Promise<BodyResult>; }) => Promise<void>,
    timeoutMs = 10_000,
): Promise<void> {
    const bodies = new BodyReader({ maxBytes: 10_000, maxArrivingBytes: 3000 });
    const { server } = createHttpServer();
    const waiting: ((result: BodyResult) => void)[] = [];
    server.on("request", request => void bodies.read(request, timeoutMs).then(result => waiting.shift()!(result)));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const sockets: Socket[] = [];
    try {
        await act(text => {
            const socket = connect((server.address() as AddressInfo).port, "127.0.0.1").on("error", () => {});
            socket.write(text);
            sockets.push(socket);
            return { socket, read: new Promise(resolve => waiting.push(resolve)) };
        });
    }
    finally {
        sockets.forEach(socket => socket.destroy());
        server.close();
    }
}

function readReason(result: BodyResult): string | undefined {
    return result.isErr() ? result.error.reason : undefined;
}

test("a body that is the only one is read up to the limit of a body", () =>
    runWithReader(async send => {
        const whole = send(`${chunkedHead}${chunk.repeat(10)}0\r\n\r\n`);
        assert.is((await whole.read)._unsafeUnwrap().length, 10_000);
        assert.is(readReason(await send(`${chunkedHead}${chunk.repeat(11)}`).read), "oversizedBody");
    }));

test("a length beyond the limit is refused before any of the body arrives", () =>
    runWithReader(async send => {
        assert.is(readReason(await send(`${head}Content-Length: 10001\r\n\r\n`).read), "oversizedBody");
    }));

test("a body that is late is refused as not run", () =>
    runWithReader(async send => {
        const result = await send(`${chunkedHead}${chunk}`).read;
        assert.is(readReason(result), "bodyLate");
        assert.is(result._unsafeUnwrapErr().kind, "refused");
    }, 50));

test("a body that breaks off is refused, and leaves its room to others", () =>
    runWithReader(async send => {
        const broken = send(`${chunkedHead}${chunk.repeat(3)}`);
        setTimeout(() => broken.socket.destroy(), 50);
        assert.is(readReason(await broken.read), "malformedBody");
        const whole = send(`${chunkedHead}${chunk.repeat(3)}0\r\n\r\n`);
        assert.is((await whole.read)._unsafeUnwrap().length, 3000);
    }));

test("bodies that are not complete do not hold more than their bound together", () =>
    runWithReader(async send => {
        const first = send(`${chunkedHead}${chunk.repeat(2)}`);
        await new Promise(resolve => setTimeout(resolve, 100));
        const second = send(`${chunkedHead}${chunk.repeat(2)}`);
        const refused = await Promise.race([first.read, second.read]);
        assert.is(readReason(refused), "bodiesFull");
    }));

test.run();
