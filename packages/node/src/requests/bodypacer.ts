import { ReadQueue, readShareBytes } from "@radishreel/wire";
import type { IncomingMessage } from "node:http";

/**
 * Callers whose request bodies are being read. A server's connection is read in parts of 64 KB, and a part in chunks of
 * one byte takes some 20 ms, so one caller continues in an iteration of the event loop.
 */
const bodyReads = new ReadQueue({ readersPerIteration: 1 });

/** Reads the body of a request in shares, and lets other connections have their turn between two of them. */
export class BodyPacer {
    private readonly readMore: () => void;
    private countedBytes: number;
    private isWaiting = false;

    constructor(private readonly request: IncomingMessage) {
        this.readMore = request._read.bind(request, 0);
        this.countedBytes = request.socket.bytesRead;
        // A readable stream asks for more as long as its buffer has room, also while nobody reads it.
        request._read = () => {
            if (!this.isWaiting) {
                this.readMore();
            }
        };
    }

    /** Called after a piece of the body: waits for the next share if this one, framing included, has been read. */
    async finishPiece(): Promise<void> {
        const { request: { complete, socket } } = this;
        if (complete || socket.bytesRead - this.countedBytes < readShareBytes) {
            return;
        }
        this.isWaiting = true;
        socket.pause();
        await bodyReads.wait();
        this.isWaiting = false;
        this.countedBytes = socket.bytesRead;
        this.readMore();
    }
}
