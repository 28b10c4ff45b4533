/** Guards against answers without a length whose connection was reset, and which end like those that were closed. */
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { UpstreamConnections } from "../src/index.js";

const start = "HTTP/1.1 200 OK\r\n";
const head = `${start}Connection: close\r\n\r\n`;
const body = "x".repeat(100);
const counted = `${start}Connection: close\r\nContent-Length: 100\r\n\r\n${body}`;
const chunked = `${start}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n64\r\n${body}\r\n0\r\n\r\n`;

/** An upload that is larger than the buffers of a connection. */
const upload = Buffer.alloc(7 * 1024 * 1024);

/** One way in which an answer ends. */
interface EndCase {
    readonly name: string;
    /** Runs at the first bytes of the request. The reader is in this process: it sees nothing until this returns. */
    readonly answer: (socket: Socket) => void;
    readonly method?: string;
    readonly upload?: Buffer;
    /** Runs once the first bytes of the body have arrived. */
    readonly finish?: (socket: Socket) => void;
    readonly end: "answered" | "answering";
}

/** Writes an answer and resets the connection in one step. */
function sendReset(socket: Socket, text: string): void {
    socket.write(text);
    socket.resetAndDestroy();
}

const cases: EndCase[] = [
    {
        name: "an answer without a length that is reset right behind its body is broken",
        answer: socket => sendReset(socket, head + body),
        end: "answering",
    },
    {
        name: "an answer of HTTP/1.0 that is reset right behind its body is broken",
        answer: socket => sendReset(socket, `HTTP/1.0 200 OK\r\n\r\n${body}`),
        end: "answering",
    },
    {
        name: "an answer without a length that is reset behind an early one with a length is broken",
        answer: socket => sendReset(socket, `HTTP/1.1 103 Early\r\nContent-Length: 9\r\n\r\n${head}${body}`),
        end: "answering",
    },
    {
        name: "an answer without a length that is reset during its upload is broken",
        answer: socket => sendReset(socket, head + body),
        upload,
        end: "answering",
    },
    {
        name: "an answer without a length whose upstream closes during its upload is broken",
        answer: socket => {
            socket.write(head + body);
            socket.destroy();
        },
        upload,
        end: "answering",
    },
    {
        name: "an answer without a length that ends in order during its upload is broken",
        answer: socket => {
            socket.pause();
            socket.end(head + body);
        },
        upload,
        end: "answering",
    },
    {
        name: "an answer without a length that is reset after its bytes were read is broken",
        answer: socket => socket.write(head + body),
        finish: socket => socket.resetAndDestroy(),
        end: "answering",
    },
    {
        name: "an answer without a length that is reset right behind more bytes is broken",
        answer: socket => socket.write(head + body),
        finish: socket => sendReset(socket, body),
        end: "answering",
    },
    {
        name: "an answer without a length that ends in order is complete",
        answer: socket => socket.end(head + body),
        end: "answered",
    },
    {
        name: "an answer without a length that ends in order after its bytes were read is complete",
        answer: socket => socket.write(head + body),
        finish: socket => socket.end(),
        end: "answered",
    },
    ...["HEAD", "GET", "POST"].map((method): EndCase => ({
        name: `an answer without a body to ${method} that is reset right behind its head is complete`,
        answer: socket => sendReset(socket, method === "HEAD" ? head : head.replace("200", "204")),
        method,
        end: "answered",
    })),
    {
        name: "an answer of status 304 that is reset right behind its head is complete",
        answer: socket => sendReset(socket, head.replace("200", "304")),
        method: "GET",
        end: "answered",
    },
    {
        name: "an answer with a length that is reset right behind its body is complete",
        answer: socket => sendReset(socket, counted),
        end: "answered",
    },
    {
        name: "an answer in chunks that is reset right behind its last chunk is complete",
        answer: socket => sendReset(socket, chunked),
        end: "answered",
    },
];

/** Runs one exchange. @returns `answered`, or how far the exchange was when it broke. */
async function runCase(endCase: EndCase): Promise<string> {
    const { answer, method = "POST", upload = Buffer.from("x"), finish } = endCase;
    let upstream: Socket | undefined;
    const server = createServer({ allowHalfOpen: true }, socket => {
        upstream = socket.on("error", () => {});
        socket.once("data", () => answer(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const connections = new UpstreamConnections();
    let onBody: () => void = () => {};
    const started = new Promise<void>(resolve => {
        onBody = resolve;
    });
    const exchange = connections.open({
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        method,
        path: "/",
        headers: {},
        body: method === "POST" ? upload : undefined,
        silenceMs: 2000,
        receiver: {
            receiveHead: () => {},
            receiveData: () => {
                onBody();
            },
        },
    });
    if (finish !== undefined) {
        await started;
        finish(upstream!);
    }
    const end = await exchange.end;
    upstream?.destroy();
    server.close();
    void connections.close();
    return end.kind === "answered" ? end.kind : end.phase;
}

for (const endCase of cases) {
    test(endCase.name, async () => {
        assert.is(await runCase(endCase), endCase.end);
    });
}

test.run();
