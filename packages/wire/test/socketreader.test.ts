import { Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ReadQueue, readShareBytes, SocketReader } from "../src/index.js";

/** Creates a reader of a socket on which bytes have arrived. */
function createReader(bytes: Buffer): { reader: SocketReader; runIteration: () => void; } {
    const socket = new Socket();
    socket.push(bytes);
    let scheduled = (): void => {};
    const queue = new ReadQueue({ scheduleNext: run => scheduled = run });
    return { reader: new SocketReader({ socket, queue }), runIteration: () => scheduled() };
}

// Guards against lost bytes: Node.js calls `read(0)` on its own to ask for more, and drops what it returns.
test("a request for more takes no bytes", () => {
    const { reader } = createReader(Buffer.from("bytes"));
    assert.is(reader.read(0), null);
    assert.is(reader.read()?.toString(), "bytes");
});

test("what is left of a share that was read waits for the next one", () => {
    const bytes = Buffer.alloc(readShareBytes + 10, "0123456789");
    const { reader, runIteration } = createReader(bytes);
    const first = reader.read();
    assert.is(first?.length, readShareBytes);
    assert.is(reader.read(), null);
    assert.is(reader.read(0), null);
    runIteration();
    const rest = reader.read();
    assert.ok(Buffer.concat([first!, rest!]).equals(bytes));
});

test.run();
