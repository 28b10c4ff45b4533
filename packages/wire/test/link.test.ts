import { Encoder } from "cbor-x";
import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { Duplex } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { z } from "zod";
import {
    type CloseReason,
    encodeFrame,
    FrameReader,
    Link,
    LinkClient,
    LinkServer,
    type NodeIdentity,
    resolveLinkLimits,
} from "../src/index.js";

const schema = z.strictObject({ type: z.literal("word"), text: z.string() });
type TestMessage = z.infer<typeof schema>;

function createIdentity(id: string): NodeIdentity {
    return { id, role: "agent", dataCentre: "depot", incarnation: 1, address: "127.0.0.1:1" };
}

interface LinkRecorder {
    readonly messages: TestMessage[];
    readonly reasons: CloseReason[];
    waitForMessage(): Promise<TestMessage>;
    waitForClose(): Promise<CloseReason>;
    waitForOpen(): Promise<Link<TestMessage>>;
}

/** Records the events of one side of a link and lets tests wait for them. */
function createRecorder() {
    const messages: TestMessage[] = [];
    const reasons: CloseReason[] = [];
    const waiting: {
        message: ((message: TestMessage) => void)[];
        close: ((reason: CloseReason) => void)[];
        open: ((link: Link<TestMessage>) => void)[];
    } = {
        message: [],
        close: [],
        open: [],
    };
    let opened: Link<TestMessage> | undefined;
    const events = {
        onOpen: (link: Link<TestMessage>) => {
            opened = link;
            waiting.open.splice(0).forEach(resolve => resolve(link));
        },
        onMessage: (_link: Link<TestMessage>, message: TestMessage) => {
            messages.push(message);
            waiting.message.splice(0).forEach(resolve => resolve(message));
        },
        onClose: (_link: Link<TestMessage>, reason: CloseReason) => {
            reasons.push(reason);
            waiting.close.splice(0).forEach(resolve => resolve(reason));
        },
    };
    const recorder: LinkRecorder = {
        messages,
        reasons,
        waitForMessage: () =>
            new Promise(resolve => messages[0] === undefined ? waiting.message.push(resolve) : resolve(messages[0])),
        waitForClose: () =>
            new Promise(resolve => reasons[0] === undefined ? waiting.close.push(resolve) : resolve(reasons[0])),
        waitForOpen: () => new Promise(resolve => opened === undefined ? waiting.open.push(resolve) : resolve(opened)),
    };
    return { events, recorder };
}

async function startServer(secret = "secret", limits = {}) {
    const { events, recorder } = createRecorder();
    const server = new LinkServer<TestMessage>({
        host: "127.0.0.1",
        port: 0,
        self: () => createIdentity("server"),
        secret,
        schema,
        limits: resolveLinkLimits(limits),
        events,
    });
    const port = await server.start();
    return { server, recorder, port };
}

function startClient(port: number, secret = "secret", limits = {}) {
    const { events, recorder } = createRecorder();
    const client = new LinkClient<TestMessage>({
        address: `127.0.0.1:${port}`,
        self: () => createIdentity("client"),
        secret,
        schema,
        limits: resolveLinkLimits(limits),
        events,
    });
    client.start();
    return { client, recorder };
}

test("two processes that share a secret exchange messages", async () => {
    const { server, recorder, port } = await startServer();
    const { client, recorder: clientRecorder } = startClient(port);
    const link = await clientRecorder.waitForOpen();
    assert.is(link.peer.id, "server");
    link.send({ type: "word", text: "hello" });
    assert.equal(await recorder.waitForMessage(), { type: "word", text: "hello" });
    client.stop();
    server.stop();
});

/** Creates two connected in-process sockets and counts the write system calls that each would have made. */
function createSockets() {
    const sockets: Duplex[] = [];
    const writes = [0, 0];
    for (const index of [0, 1]) {
        const passWrite = (chunks: Buffer[], done: () => void): void => {
            writes[index]! += 1;
            sockets[1 - index]!.push(Buffer.concat(chunks));
            done();
        };
        const socket = new Duplex({
            read: () => {},
            write: (chunk: Buffer, _encoding, done) => passWrite([chunk], done),
            writev: (chunks, done) => passWrite(chunks.map(({ chunk }) => chunk as Buffer), done),
        });
        sockets.push(Object.assign(socket, { setNoDelay: () => socket }));
    }
    return { sockets, writes };
}

test("messages sent on a link in the same tick are written in one system call and in order", async () => {
    const { sockets, writes } = createSockets();
    const recorders = sockets.map(() => createRecorder());
    const links = sockets.map((socket, index) =>
        new Link<TestMessage>({
            socket: socket as Socket,
            self: createIdentity(`end ${index}`),
            secret: "secret",
            schema,
            limits: resolveLinkLimits({}),
            events: recorders[index]!.events,
        })
    );
    await Promise.all(recorders.map(({ recorder }) => recorder.waitForOpen()));
    const before = writes[0]!;
    const texts = ["a", "b", "c", "d", "e"];
    for (const text of texts) {
        links[0]!.send({ type: "word", text });
    }
    await recorders[1]!.recorder.waitForMessage();
    assert.equal(recorders[1]!.recorder.messages.map(({ text }) => text), texts);
    assert.is(writes[0]! - before, 1);
    // A message sent just before the link is closed is still written.
    links[0]!.send({ type: "word", text: "last" });
    links[0]!.close("asked");
    assert.is(writes[0]! - before, 2);
    links[1]!.close("asked");
});

test("a link to a process with a different secret is closed as notAuthenticated", async () => {
    const { server, recorder, port } = await startServer("one");
    const { client, recorder: clientRecorder } = startClient(port, "another");
    const reasons = await Promise.race([recorder.waitForClose(), clientRecorder.waitForClose()]);
    assert.is(reasons, "notAuthenticated");
    assert.equal(recorder.messages, []);
    client.stop();
    server.stop();
});

/** Invalid bytes from a peer, and the reason with which the link is closed. */
const invalidFrames: readonly { name: string; bytes: Buffer; reason: CloseReason; }[] = [
    { name: "an oversized frame", bytes: Buffer.from([0x7f, 0xff, 0xff, 0xff]), reason: "oversizedFrame" },
    { name: "a frame that is not CBOR", bytes: Buffer.from([0, 0, 0, 3, 0xff, 0xff, 0xff]), reason: "malformedFrame" },
    {
        name: "a first frame that is not a hello",
        bytes: encodeFrame({ type: "word", text: "hello" }),
        reason: "malformedFrame",
    },
    {
        name: "a hello with another protocol version",
        bytes: encodeFrame({ type: "hello", version: 99, nonce: Buffer.alloc(16), node: createIdentity("old") }),
        reason: "wrongVersion",
    },
];

for (const { name, bytes, reason } of invalidFrames) {
    test(`${name} closes its connection, and the server still accepts others`, async () => {
        const { server, recorder, port } = await startServer();
        const socket = connect(port, "127.0.0.1");
        socket.on("error", () => {});
        socket.write(bytes);
        assert.is(await recorder.waitForClose(), reason);
        const { client, recorder: clientRecorder } = startClient(port);
        await clientRecorder.waitForOpen();
        socket.destroy();
        client.stop();
        server.stop();
    });
}

test("a message of an unknown type closes an open link", async () => {
    const { server, recorder, port } = await startServer();
    const { client, recorder: clientRecorder } = startClient(port);
    const link = await clientRecorder.waitForOpen();
    await recorder.waitForOpen();
    link.send({ type: "other", text: "" } as unknown as TestMessage);
    assert.is(await recorder.waitForClose(), "unknownMessage");
    client.stop();
    server.stop();
});

test("a frame split into two chunks at any byte is decoded completely", async () => {
    const message = { type: "word", text: "cut me" };
    const frame = encodeFrame(message);
    for (let cut = 0; cut <= frame.length; cut++) {
        const reader = new FrameReader(1000);
        const parts = [frame.subarray(0, cut), frame.subarray(cut)];
        const messages = parts.flatMap(part => reader.receive(part)._unsafeUnwrap());
        assert.equal(messages, [message]);
    }
});

test("the work for a small piece of a frame does not grow with the bytes that have arrived", () => {
    const message = { type: "word", text: "x".repeat(256 * 1024) };
    const frame = encodeFrame(message);
    const reader = new FrameReader(frame.length);
    const pieceBytes = 512;
    let copiedBytes = 0;
    const concat = Buffer.concat.bind(Buffer);
    Buffer.concat = (list: readonly Uint8Array[], length?: number) => {
        const whole = concat(list, length);
        copiedBytes += whole.length;
        return whole;
    };
    const messages: unknown[] = [];
    try {
        for (let at = 0; at < frame.length; at += pieceBytes) {
            messages.push(...reader.receive(frame.subarray(at, at + pieceBytes))._unsafeUnwrap());
        }
    }
    finally {
        Buffer.concat = concat;
    }
    assert.equal(messages, [message]);
    assert.ok(copiedBytes <= 2 * frame.length, `${copiedBytes} bytes copied for a frame of ${frame.length}`);
});

/** Starts a proxy that can stop forwarding bytes while its connections stay open. */
async function startProxy(
    target: number,
): Promise<{ port: number; server: Server; freeze(): void; sockets: Socket[]; }> {
    const sockets: Socket[] = [];
    const frozen = new Set<Socket>();
    const server = createServer(inner => {
        const outer = connect(target, "127.0.0.1");
        sockets.push(inner, outer);
        for (const [from, to] of [[inner, outer], [outer, inner]] as const) {
            from.on("data", bytes => {
                if (!frozen.has(from)) {
                    to.write(bytes);
                }
            });
            from.on("error", () => {});
            from.on("close", () => to.destroy());
        }
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return {
        port: (server.address() as AddressInfo).port,
        server,
        sockets,
        freeze: () => sockets.forEach(socket => frozen.add(socket)),
    };
}

test("a link without received bytes for silenceMs is closed, and the client reconnects", async () => {
    const { server, port } = await startServer("secret", { heartbeatMs: 20, silenceMs: 60_000 });
    const proxy = await startProxy(port);
    const { client, recorder } = startClient(proxy.port, "secret", { heartbeatMs: 20, silenceMs: 100 });
    const first = await recorder.waitForOpen();
    proxy.freeze();
    assert.is(await recorder.waitForClose(), "silent");
    await new Promise<void>(resolve => {
        const timer = setInterval(() => {
            if (proxy.sockets.length > 2) {
                clearInterval(timer);
                resolve();
            }
        }, 5);
    });
    assert.not(first.isOpen);
    client.stop();
    server.stop();
    proxy.server.close();
    proxy.sockets.forEach(socket => socket.destroy());
});

test("the body of a frame is decoded by a plain CBOR decoder", () => {
    const frame = encodeFrame({ type: "word", text: "plain" });
    assert.equal(new Encoder({ useRecords: false }).decode(frame.subarray(4)), { type: "word", text: "plain" });
});

test.run();
