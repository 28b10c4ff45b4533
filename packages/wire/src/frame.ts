import { Encoder } from "cbor-x";
import { err, ok, type Result } from "neverthrow";
import { ByteBuffer } from "./bytebuffer.js";

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
    private readonly pendingBytes = new ByteBuffer();
    /** Bytes of the incomplete frame, as far as its length is known. */
    private neededBytes = frameHeaderBytes;
    private frames = 0;

    /**
     * @param maxFrameBytes Largest frame.
     * @param first Number of first frames that have a limit of their own, and that limit.
     */
    constructor(
        private readonly maxFrameBytes: number,
        private readonly first: { readonly count: number; readonly maxBytes: number; } = { count: 0, maxBytes: 0 },
    ) {}

    /** Consumes received bytes and returns the messages that they complete, or why the stream is unusable. */
    receive(chunk: Buffer): Result<unknown[], "oversizedFrame" | "malformedFrame"> {
        if (this.pendingBytes.length + chunk.length < this.neededBytes) {
            this.pendingBytes.push(chunk);
            return ok([]);
        }
        const messages: unknown[] = [];
        let bytes = this.popWith(chunk);
        while (bytes.length >= frameHeaderBytes) {
            const bodyLength = bytes.readUInt32BE(0);
            if (bodyLength > (this.frames < this.first.count ? this.first.maxBytes : this.maxFrameBytes)) {
                return err("oversizedFrame");
            }
            const end = frameHeaderBytes + bodyLength;
            if (bytes.length < end) {
                this.neededBytes = end;
                break;
            }
            try {
                messages.push(codec.decode(bytes.subarray(frameHeaderBytes, end)));
            }
            catch {
                return err("malformedFrame");
            }
            this.frames += 1;
            bytes = bytes.subarray(end);
            this.neededBytes = frameHeaderBytes;
        }
        this.pendingBytes.push(bytes);
        return ok(messages);
    }

    /** Returns all bytes that have not been decoded. */
    private popWith(chunk: Buffer): Buffer {
        if (this.pendingBytes.length === 0) {
            return chunk;
        }
        this.pendingBytes.push(chunk);
        return this.pendingBytes.popAll();
    }
}
