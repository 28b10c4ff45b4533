/** Guards against upstreams that send faster than their responses are read, and so keep all others waiting. */
import { readShareBytes } from "@radishreel/wire";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setImmediate as waitIteration } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ConnectionPool } from "../src/requests/connectionpool.js";
import { startExchange } from "./exchanges.js";

/** A chunk of one byte. */
const piece = "1\r\nx\r\n";
const piecesPerWrite = 10_000;

/** Bytes that may be read in one iteration of the event loop: the shares of two connections, and a started one. */
const maxIterationBytes = 3 * readShareBytes;

/** Iterations in which the connections read their first shares once all have opened, and those that are measured. */
const firstIterations = 50;
const measuredIterations = 200;

/** Starts a server whose responses have no end. */
async function startEndlessServer(sockets: Set<Socket>): Promise<ReturnType<typeof createServer>> {
    const unit = Buffer.from(piece.repeat(piecesPerWrite));
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
    return server;
}

for (const connections of [1, 8]) {
    test(`${connections} endless responses in chunks of a byte leave time to others in each iteration`, async () => {
        const sockets = new Set<Socket>();
        const server = await startEndlessServer(sockets);
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const pool = new ConnectionPool();
        let pieces = 0;
        const started = new Set<number>();
        const exchanges = Array.from({ length: connections }, (_value, index) =>
            startExchange({
                connection: pool.claim("s1", address, true, 0),
                receiver: {
                    receiveData: () => {
                        pieces += 1;
                        started.add(index);
                    },
                },
            }));
        while (started.size < connections) {
            await waitIteration();
        }
        let mostPieces = 0;
        let allPieces = 0;
        for (let iteration = 0; iteration < firstIterations + measuredIterations; iteration++) {
            pieces = 0;
            await waitIteration();
            if (iteration >= firstIterations) {
                mostPieces = Math.max(mostPieces, pieces);
                allPieces += pieces;
            }
        }
        exchanges.forEach(exchange => exchange.cancel());
        sockets.forEach(socket => socket.destroy());
        server.close();
        assert.ok(allPieces > readShareBytes, `${allPieces} chunks`);
        assert.ok(mostPieces * piece.length <= maxIterationBytes, `${mostPieces} chunks in one iteration`);
    });
}

test("a long response is read whole, whatever the sizes of its chunks", async () => {
    for (const chunkBytes of [1, 100, 100_000]) {
        const body = Buffer.alloc(chunkBytes * Math.ceil(300_000 / chunkBytes), "0123456789");
        const server = createServer(socket => {
            socket.once("data", () => {
                socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                const chunks = Array.from(
                    { length: body.length / chunkBytes },
                    (_value, index) =>
                        `${chunkBytes.toString(16)}\r\n${
                            body.toString("latin1", index * chunkBytes, (index + 1) * chunkBytes)
                        }\r\n`,
                );
                socket.end(`${chunks.join("")}0\r\n\r\n`);
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const received: Buffer[] = [];
        const end = await new Promise<string>(resolve => {
            startExchange({
                connection: new ConnectionPool().claim("s1", address, true, 0),
                receiver: {
                    receiveData: chunk => received.push(chunk),
                    receiveEnd: () => resolve("complete"),
                    receiveBreak: (_phase, detail) => resolve(detail),
                },
            });
        });
        server.close();
        assert.is(end, "complete");
        assert.ok(Buffer.concat(received).equals(body), `chunks of ${chunkBytes}`);
    }
});

test.run();
