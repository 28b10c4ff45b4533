import type { Socket } from "node:net";
import { type ReadQueue, readShareBytes, responseReads } from "./readqueue.js";

/** Options of {@link SocketReader}. */
export interface SocketReaderOptions {
    readonly socket: Socket;
    /** @default that of all connections on which this process waits for responses */
    readonly queue?: ReadQueue;
}

/** Reads a socket in shares, waits for its turn between two of them, and can be paused. */
export class SocketReader {
    private readonly socket: Socket;
    private readonly queue: ReadQueue;
    private readonly readSocket: (size?: number) => Buffer | null;
    private bytesLeft = readShareBytes;
    private isWaiting = false;
    private isPaused = false;

    /** Binds the socket's own `read`, which the owner of this reader may replace. */
    constructor({ socket, queue = responseReads }: SocketReaderOptions) {
        this.socket = socket;
        this.queue = queue;
        this.readSocket = socket.read.bind(socket) as (size?: number) => Buffer | null;
    }

    /**
     * Reads what has arrived, up to the rest of the share.
     * @param size 0 asks the socket for more without taking any bytes, as Node.js itself does; other sizes are ignored.
     * @returns As `socket.read`: null if there is nothing to read now. The socket emits `readable` when there is again.
     */
    read(size?: number): Buffer | null {
        if (this.isWaiting || this.isPaused) {
            return null;
        }
        if (size === 0) {
            return this.readSocket(0);
        }
        if (this.bytesLeft === 0) {
            this.waitForTurn();
            return null;
        }
        const isMore = this.socket.readableLength > this.bytesLeft;
        const bytes = this.readSocket(isMore ? this.bytesLeft : undefined);
        this.bytesLeft = Math.max(0, this.bytesLeft - (bytes?.length ?? 0));
        return bytes;
    }

    /**
     * Pauses reading. The controllers of undici cannot be used for this: undici throws in an event handler if the socket
     * of a response that ends with its connection ends, fails or is closed while its parser is paused.
     */
    pause(): void {
        this.isPaused = true;
    }

    resume(): void {
        if (this.isPaused) {
            this.isPaused = false;
            // The caller may be a callback of undici's parser, which must not be entered again.
            process.nextTick(() => this.socket.emit("readable"));
        }
    }

    private waitForTurn(): void {
        this.isWaiting = true;
        this.queue.push(() => {
            this.isWaiting = false;
            this.bytesLeft = readShareBytes;
            if (!this.socket.destroyed) {
                this.socket.emit("readable");
            }
        });
    }
}
