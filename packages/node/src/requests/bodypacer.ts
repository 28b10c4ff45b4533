import { ReadQueue, readShareBytes } from "@radishreel/wire";
import type { IncomingMessage } from "node:http";

/** Callers whose request bodies are being read. One of them continues in an iteration of the event loop. */
const bodyReads = new ReadQueue({ readersPerIteration: 1 });

/**
 * Pause between two parts of bodies in small chunks, in milliseconds. A server's connection is read in parts of 64 KB, and
 * a part in chunks of one byte takes some 20 ms; a request passes through several iterations until it is forwarded.
 */
const smallChunksPauseMs = 50;

/** Callers whose request bodies come in chunks of a few bytes. */
const smallChunkReads = new ReadQueue({
    readersPerIteration: 1,
    scheduleNext: run => setTimeout(run, smallChunksPauseMs),
});

/** Bytes of a connection for each byte of content from which on the chunks of a body count as small. */
const smallChunksRatio = 1.5;

/** Reads the body of a request in shares, and lets other connections have their turn between two of them. */
export class BodyPacer {
    private countedBytes: number;
    private contentBytes = 0;

    constructor(private readonly request: IncomingMessage) {
        this.countedBytes = request.socket.bytesRead;
    }

    /**
     * Called after a piece of the body: waits for the next share if this one, framing included, has been read.
     * @param contentBytes Size of the piece.
     */
    async finishPiece(contentBytes: number): Promise<void> {
        const { request, request: { socket } } = this;
        this.contentBytes += contentBytes;
        if (request.complete || socket.bytesRead - this.countedBytes < readShareBytes) {
            return;
        }
        // A readable stream asks for more as long as its buffer has room, also while nobody reads it.
        request._read = () => {};
        socket.pause();
        await bodyReads.wait();
        if (this.hasSmallChunks) {
            await smallChunkReads.wait();
        }
        this.countedBytes = socket.bytesRead;
        this.contentBytes = -request.readableLength;
        Reflect.deleteProperty(request, "_read");
        request._read(0);
    }

    /** Whether what has arrived since the last share came in small chunks. */
    private get hasSmallChunks(): boolean {
        const { readableLength, socket } = this.request;
        const contentBytes = this.contentBytes + readableLength;
        return socket.bytesRead - this.countedBytes > contentBytes * smallChunksRatio;
    }
}
