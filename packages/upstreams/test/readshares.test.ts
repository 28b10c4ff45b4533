/** Guards against upstreams that send small chunks faster than they are read, and so keep all others waiting. */
import { readShareBytes } from "@radishreel/wire";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setImmediate as waitIteration } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { UpstreamConnections } from "../src/index.js";

/** A chunk of one byte. */
const piece = "1\r\nx\r\n";
const unit = Buffer.from(piece.repeat(10_000));

/** Bytes that may be read in one iteration of the event loop: the shares of two connections, and a started one. */
const maxIterationBytes = 3 * readShareBytes;

test("an endless response in chunks of a byte leaves time to others in each iteration", async () => {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        const sendMore = (): void => {
            while (!socket.destroyed && socket.write(unit)) {
                // The kernel takes more.
            }
        };
        socket.on("error", () => {}).on("drain", sendMore);
        socket.once("data", () => {
            socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            sendMore();
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    let pieces = 0;
    const exchange = new UpstreamConnections().open({
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        method: "GET",
        path: "/",
        headers: {},
        body: undefined,
        silenceMs: 5000,
        receiver: { receiveHead: () => {}, receiveData: () => pieces += 1 },
    });
    let mostPieces = 0;
    for (let iteration = 0; iteration < 200; iteration++) {
        pieces = 0;
        await waitIteration();
        mostPieces = Math.max(mostPieces, pieces);
    }
    exchange.cancel("upstreamSilent");
    await exchange.end;
    sockets.forEach(socket => socket.destroy());
    server.close();
    assert.ok(mostPieces > 0);
    assert.ok(mostPieces * piece.length <= maxIterationBytes, `${mostPieces} chunks in one iteration`);
});

test.run();
