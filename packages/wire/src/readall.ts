import type { Readable } from "node:stream";
import { finished } from "node:stream/promises";
import { ByteBuffer } from "./bytebuffer.js";

/**
 * Reads a stream to its end. The memory that is kept depends on its bytes, not on the number of its pieces.
 * @throws The error of a stream that does not come to its end.
 */
export async function readAll(stream: Readable): Promise<Buffer> {
    const bytes = new ByteBuffer();
    stream.on("data", (piece: Buffer) => bytes.push(piece));
    await finished(stream);
    return bytes.popAll();
}
