import { Encoder } from "cbor-x";
import { err, ok, type Result } from "neverthrow";

/** Size of the big-endian length prefix of a frame, in bytes. */
export const frameHeaderBytes = 4;

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, variableMapSize: true });

/** Encodes a message as one frame: length prefix, then CBOR body. */
export function encodeFrame(message: unknown): Buffer {
    const body = codec.encode(message);
    const frame = Buffer.allocUnsafe(frameHeaderBytes + body.length);
    frame.writeUInt32BE(body.length, 0);
    frame.set(body, frameHeaderBytes);
    return frame;
}

/** Splits a byte stream into decoded frames. Buffers at most one incomplete frame. */
export class FrameReader {
    private chunks: Buffer[] = [];
    private length = 0;

    constructor(private readonly maxFrameBytes: number) {}

    /** Consumes received bytes and returns the messages that they complete, or why the stream is unusable. */
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
