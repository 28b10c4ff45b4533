/** Guards against the status of an upstream that has no end and fills the memory of its reader. */
import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { HttpOrderClient } from "../src/index.js";

/** Most bytes that a reader may take, kernel buffers included. */
const maxTakenBytes = 32 * 1024 * 1024;

test("a status whose body does not end is cut off after a bounded number of bytes", async () => {
    const unit = Buffer.alloc(64 * 1024, "x");
    const sockets: Socket[] = [];
    const closed: Promise<unknown>[] = [];
    let takenBytes = 0;
    const server = createServer(socket => {
        sockets.push(socket);
        closed.push(once(socket, "close"));
        const send = (): void => {
            while (!socket.destroyed && socket.write(unit)) {
                // The kernel takes more.
            }
        };
        socket.on("error", () => {});
        socket.on("close", () => takenBytes += socket.bytesWritten);
        socket.on("drain", send);
        socket.once("data", () => {
            socket.write("HTTP/1.1 200 OK\r\n\r\n");
            send();
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const client = new HttpOrderClient({ timeoutMs: 500 });
    const timer = setTimeout(() => sockets.forEach(socket => socket.destroy()), 300);
    try {
        assert.is((await client.readEngineStatus(address))._unsafeUnwrapErr().kind, "unknown");
    }
    finally {
        clearTimeout(timer);
        server.close();
        sockets.forEach(socket => socket.destroy());
    }
    await Promise.all(closed);
    assert.ok(takenBytes <= maxTakenBytes, `${takenBytes} bytes were taken`);
});

test.run();
