/** Guards against the end of the process when an answer ends, fails or is cancelled while its caller does not read. */
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setImmediate as waitTurn } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type Exchange, UpstreamConnections } from "../src/index.js";

const head = "HTTP/1.1 200 OK\r\n";

/** Iterations of the event loop in which a paused answer must not go on. */
const pauseIterations = 20;

/** An exchange that was paused at the first bytes of the body of its answer. */
interface PausedExchange {
    readonly exchange: Exchange;
    /** The upstream's side of the connection. */
    readonly upstream: Socket;
    /** Number of bytes of the body that have arrived. */
    readonly countBytes: () => number;
    /** Sends another request on the same connections. */
    readonly sendAgain: () => Promise<string>;
}

function runTest(name: string, answer: string, act: (paused: PausedExchange) => Promise<void>): void {
    test(name, async () => {
        const server = createServer({ allowHalfOpen: true }, socket => {
            socket.on("error", () => {}).on("data", () => socket.write(answer));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const accepted = once(server, "connection");
        const connections = new UpstreamConnections();
        const open = (receiveData: (chunk: Buffer) => void): Exchange =>
            connections.open({
                address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
                method: "POST",
                path: "/",
                headers: {},
                body: Buffer.from("x"),
                silenceMs: 2000,
                receiver: { receiveHead: () => {}, receiveData },
            });
        let bytes = 0;
        const exchange = await new Promise<Exchange>(resolve => {
            const started = open(chunk => {
                bytes += chunk.length;
                if (bytes === chunk.length) {
                    started.pause();
                    resolve(started);
                }
            });
        });
        const [upstream] = await accepted as [Socket];
        await act({
            exchange,
            upstream,
            countBytes: () => bytes,
            sendAgain: async () => (await open(() => {}).end).kind,
        });
        upstream.destroy();
        server.close();
        void connections.close();
    });
}

runTest("a paused answer without a length that ends goes on once it is read", `${head}\r\nall`, async paused => {
    paused.upstream.end();
    await once(paused.upstream, "finish");
    for (let iteration = 0; iteration < pauseIterations; iteration++) {
        await waitTurn();
    }
    paused.exchange.resume();
    assert.equal([await paused.exchange.end, paused.countBytes()], [{ kind: "answered" }, 3]);
});

runTest(
    "a paused answer gets no more of its body until it is read",
    `${head}Content-Length: 6\r\n\r\nabc`,
    async paused => {
        paused.upstream.write("def");
        for (let iteration = 0; iteration < pauseIterations; iteration++) {
            await waitTurn();
        }
        assert.is(paused.countBytes(), 3);
        paused.exchange.resume();
        assert.equal([await paused.exchange.end, paused.countBytes()], [{ kind: "answered" }, 6]);
    },
);

runTest("a paused answer that is reset is broken once it is read", `${head}\r\npart`, async paused => {
    paused.upstream.resetAndDestroy();
    for (let iteration = 0; iteration < pauseIterations; iteration++) {
        await waitTurn();
    }
    paused.exchange.resume();
    assert.is((await paused.exchange.end).kind, "broken");
});

runTest("a paused answer can be cancelled", `${head}\r\npart`, async paused => {
    paused.exchange.cancel("callerGone");
    assert.is((await paused.exchange.end).kind, "broken");
});

runTest(
    "the connection of an answer that was paused at its last bytes carries another request",
    `${head}Content-Length: 3\r\n\r\nall`,
    async paused => {
        assert.is(await paused.sendAgain(), "answered");
        assert.equal(await paused.exchange.end, { kind: "answered" });
    },
);

test.run();
