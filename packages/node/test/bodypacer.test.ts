/** Guards against uploads in chunks of a byte that take all time, and against pauses where chunks are larger. */
import { createHttpServer } from "@radishreel/wire";
import { type AddressInfo, connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { CallerExchange } from "../src/requests/caller.js";

/** Pause after a part in small chunks, in milliseconds, and bytes of a part. */
const pauseMs = 50;
const partBytes = 64 * 1024;

/** Iterations of the event loop that each part must leave to others. */
const iterationsPerPart = 20;

interface ReadBody {
    readonly bytes: number | undefined;
    readonly ms: number;
    /** Iterations of the event loop meanwhile. */
    readonly iterations: number;
    /** Parts of a connection that bring the body. */
    readonly parts: number;
}

/** Uploads a body in chunks, and reads it as a VM does. */
async function readUpload(bodyBytes: number, chunkBytes: number): Promise<ReadBody> {
    const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
    const upload = chunk.repeat(bodyBytes / chunkBytes);
    const { server: front } = createHttpServer();
    const read = new Promise<ReadBody>(resolve => {
        front.on("request", (request, response) => {
            const startedAt = performance.now();
            let iterations = 0;
            let isReading = true;
            const countIteration = (): void => {
                iterations += 1;
                if (isReading) {
                    setImmediate(countIteration);
                }
            };
            countIteration();
            void new CallerExchange(request, response).readBody(bodyBytes).then(body => {
                response.end();
                isReading = false;
                const ms = performance.now() - startedAt;
                resolve({ bytes: body?.length, ms, iterations, parts: Math.floor(upload.length / partBytes) });
            });
        });
    });
    await new Promise<void>(resolve => front.listen(0, "127.0.0.1", resolve));
    const caller = connect((front.address() as AddressInfo).port, "127.0.0.1");
    caller.on("error", () => {});
    caller.write("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    caller.write(`${upload}0\r\n\r\n`);
    const result = await read;
    caller.destroy();
    front.close();
    return result;
}

test("an upload in chunks of a byte leaves pauses to other requests, and arrives whole", async () => {
    const { bytes, iterations, parts } = await readUpload(100_000, 1);
    assert.is(bytes, 100_000);
    assert.ok(iterations >= parts * iterationsPerPart, `${parts} parts in ${iterations} iterations`);
});

test("an upload in chunks of 64 bytes or more is read without pauses", async () => {
    for (const chunkBytes of [64, 1000, 100_000]) {
        const { bytes, ms, parts } = await readUpload(1_600_000, chunkBytes);
        assert.is(bytes, 1_600_000);
        assert.ok(ms < parts * pauseMs / 2, `chunks of ${chunkBytes}: ${parts} parts in ${Math.round(ms)} ms`);
    }
});

test.run();
