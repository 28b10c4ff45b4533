import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setImmediate as waitTurn } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ConnectionPool } from "../src/requests/connectionpool.js";
import type { Exchange } from "../src/requests/exchange.js";
import { startExchange } from "./exchanges.js";

const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n";

/** An exchange that was paused at the first bytes of its response. */
interface PausedExchange {
    readonly exchange: Exchange;
    /** The upstream's side of the connection. */
    readonly upstream: Socket;
    /** Resolves with the body when the response is complete, or with the detail when the exchange has failed. */
    readonly end: Promise<string>;
    /** Resolves when the connection is closed. */
    readonly closed: Promise<unknown>;
}

/** Runs a test with an exchange whose response ends with its connection. */
function runTest(name: string, response: string, act: (paused: PausedExchange) => Promise<void>): void {
    test(name, async () => {
        const server = createServer(socket => {
            socket.on("error", () => {});
            socket.once("data", () => socket.write(response));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const accepted = once(server, "connection");
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const connection = new ConnectionPool().claim("s1", address, true, 0);
        const closed = once(connection.client, "disconnect");
        let finish: (end: string) => void = () => {};
        const end = new Promise<string>(resolve => {
            finish = resolve;
        });
        const exchange = await new Promise<Exchange>(resolve => {
            let body = "";
            const started = startExchange({
                connection,
                receiver: {
                    receiveData: chunk => {
                        body += chunk.toString();
                        started.pause();
                        resolve(started);
                    },
                    receiveEnd: () => finish(body),
                    receiveBreak: (_phase, detail) => finish(detail),
                },
            });
        });
        const [upstream] = await accepted as [Socket];
        await act({ exchange, upstream, end, closed });
        connection.close();
        server.close();
    });
}

runTest("the end of a paused response without a length does not end the process", `${head}\r\nall`, async paused => {
    paused.upstream.end();
    await once(paused.upstream, "finish");
    for (let turn = 0; turn < 20; turn++) {
        await waitTurn();
    }
    paused.exchange.resume();
    assert.is(await paused.end, "all");
});

runTest(
    "a reset during a paused response does not end the process",
    `${head}Content-Length: 9\r\n\r\npart`,
    async paused => {
        paused.upstream.resetAndDestroy();
        assert.is.not(await paused.end, "part");
    },
);

runTest("the cancellation of a paused response does not end the process", `${head}\r\npart`, async paused => {
    paused.exchange.cancel();
    await paused.closed;
});

test.run();
