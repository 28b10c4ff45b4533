import { Encoder } from "cbor-x";
import { err, ok, type Result } from "neverthrow";

/** Bytes of the big-endian length before each frame. */
export const frameHeaderBytes = 4;

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, variableMapSize: true });

/** One frame: its length, then its CBOR body. */
export function encodeFrame(message: unknown): Buffer {
    const body = codec.encode(message);
    const frame = Buffer.allocUnsafe(frameHeaderBytes + body.length);
    frame.writeUInt32BE(body.length, 0);
    frame.set(body, frameHeaderBytes);
    return frame;
}

/** Cuts a stream of bytes into decoded frames. Holds at most one frame's bytes. */
export class FrameReader {
    private chunks: Buffer[] = [];
    private length = 0;

    constructor(private readonly maxFrameBytes: number) {}

    /** Takes bytes as they arrive and returns the messages they complete, or why the stream is unusable. */
    receive(chunk: Buffer): Result<unknown[], "oversizedFrame" | "malformedFrame"> {
        this.chunks.push(chunk);
        this.length += chunk.length;
        const messages: unknown[] = [];
        while (this.length >= frameHeaderBytes) {
            const bytes = this.mergeChunks();
            const bodyLength = bytes.readUInt32BE(0);
            if (bodyLength > this.maxFrameBytes) {
                return err("oversizedFrame");
            }
            const end = frameHeaderBytes + bodyLength;
            if (bytes.length < end) {
                break;
            }
            try {
                messages.push(codec.decode(bytes.subarray(frameHeaderBytes, end)));
            }
            catch {
                return err("malformedFrame");
            }
            this.chunks = [bytes.subarray(end)];
            this.length = bytes.length - end;
        }
        return ok(messages);
    }

    private mergeChunks(): Buffer {
        const [first] = this.chunks;
        if (this.chunks.length === 1 && first !== undefined) {
            return first;
        }
        const merged = Buffer.concat(this.chunks);
        this.chunks = [merged];
        return merged;
    }
}
