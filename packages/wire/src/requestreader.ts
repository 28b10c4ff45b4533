import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { ReadQueue, readShareBytes } from "./readqueue.js";

/** Readers of connections of clients that have read their share. One of them continues in an iteration of the event loop. */
const requestReads = new ReadQueue({ readersPerIteration: 1 });

/** Chunks of a body after which the turn of a reader ends, since each of them takes time of its own. */
const chunksPerTurn = 256;

/**
 * Smallest piece that the parser gets of a head and of a body, in bytes, if there is more. A piece ends with the first
 * empty line beyond that, so it holds few heads, whatever a client sends behind them.
 */
const minHeadPieceBytes = 16;
const minBodyPieceBytes = 512;

/** Size of the first piece of a body, in bytes. Pieces double as long as they hold no more than some chunks. */
const firstBodyPieceBytes = 1024;
const fewChunks = 8;

/** How long a client may take to read a refusal, and how many bytes it may send meanwhile, before the connection closes. */
const lingerMs = 1000;
const lingerBytes = 128 * 1024;

const emptyBytes = Buffer.alloc(0);

/** Options of {@link RequestReader}. */
export interface RequestReaderOptions {
    /** A socket that the HTTP server of Node.js has just accepted. */
    readonly socket: Socket;
    /** Longest head of a request on this connection, in bytes. */
    readonly maxHeaderBytes: number;
    /** Clock in milliseconds. */
    readonly readTime: () => number;
}

/**
 * Reads the requests of one client. Node.js parses all that it reads at once, 64 KB at a time, and keeps each request
 * and each chunk of a body as an object until it is handled. This reader takes the socket's bytes itself and passes the
 * parser only what is handled next: the body of a request while it is being read, and one request behind another one.
 * All else waits at the client.
 */
export class RequestReader {
    /** When the connection was opened or its last response was complete, in milliseconds. */
    idleSince: number;
    /** Whether the connection has carried a request. */
    hasServed = false;
    private readonly socket: Socket;
    private readonly parse: (bytes: Buffer) => void;
    private readonly destroySoon: () => void;
    private newest: IncomingMessage | undefined;
    private openCount = 0;
    private rest: Buffer = emptyBytes;
    private bytesLeft = readShareBytes;
    private chunksLeft = chunksPerTurn;
    private bodyPieceBytes = firstBodyPieceBytes;
    private mode: "parsing" | "discarding" | "detached" = "parsing";
    private hasFailed = false;
    private isPaused = false;
    private isReading = false;
    private isWaiting = false;
    private readonly onReadable = (): void => this.readOn();

    constructor(private readonly options: RequestReaderOptions) {
        const { socket, readTime } = options;
        this.socket = socket;
        this.idleSince = readTime();
        const [receive] = socket.listeners("data") as [(bytes: Buffer) => void];
        this.parse = bytes => receive.call(socket, bytes);
        socket.removeListener("data", receive);
        this.destroySoon = socket.destroySoon.bind(socket);
        // The server pauses and resumes the socket and closes it after a last response: what it asks for is done here.
        socket.pause = () => this.setPaused(true);
        socket.resume = () => this.setPaused(false);
        socket.destroySoon = () => this.closeAfterReading();
        socket.on("readable", this.onReadable);
    }

    /** Whether no request is being received or served. */
    get isIdle(): boolean {
        return this.openCount === 0 && this.mode !== "detached";
    }

    /** Longest head of a request on this connection, in bytes. */
    get maxHeaderBytes(): number {
        return this.options.maxHeaderBytes;
    }

    /** Bytes that were read and not passed on yet. */
    get waitingBytes(): number {
        return this.rest.length + this.socket.readableLength;
    }

    /** Records that the server has received the head of a request. */
    receiveRequest(request: IncomingMessage, response: ServerResponse): void {
        this.newest = request;
        this.openCount += 1;
        this.hasServed = true;
        request.on("resume", this.onReadable);
        request.once("resume", () => request.on("data", () => this.chunksLeft -= 1));
        response.once("close", () => {
            this.openCount -= 1;
            this.idleSince = this.options.readTime();
            if (this.hasFailed && this.openCount === 0) {
                this.closeAfterReading();
                return;
            }
            this.readOn();
        });
    }

    /**
     * Handles bytes that are not HTTP, or a head that is too long or too slow. Requests that came before are served; with
     * none of them, the client is told why its connection closes.
     */
    fail(status: number, reason: string): void {
        const { socket } = this;
        if (this.mode === "discarding" || this.newest?.complete === false || !socket.writable) {
            socket.destroy();
            return;
        }
        this.hasFailed = true;
        this.rest = emptyBytes;
        if (this.openCount === 0) {
            socket.write(`HTTP/1.1 ${status} ${reason}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
            this.closeAfterReading();
        }
    }

    /** Leaves the socket, which carries another protocol from now on, to others. */
    endReading(): void {
        this.mode = "detached";
        this.socket.removeListener("readable", this.onReadable);
        for (const name of ["pause", "resume", "destroySoon"] as const) {
            Reflect.deleteProperty(this.socket, name);
        }
    }

    private setPaused(isPaused: boolean): Socket {
        this.isPaused = isPaused;
        if (!isPaused) {
            this.readOn();
        }
        return this.socket;
    }

    /** Whether the parser may get more: no more than one request waits behind another, and no body that nobody reads. */
    private get mayParse(): boolean {
        const { newest } = this;
        if (this.isPaused || this.hasFailed || this.socket.destroyed) {
            return false;
        }
        return newest?.complete === false ? newest.readableFlowing === true : this.openCount <= 1;
    }

    private readOn(): void {
        if (this.isReading || this.isWaiting) {
            return;
        }
        if (this.mode === "discarding") {
            this.readToEnd();
            return;
        }
        this.isReading = true;
        while (this.mode === "parsing" && this.mayParse && this.popBytes() && this.mayReadMore()) {
            this.parseNext();
        }
        this.isReading = false;
        if (this.socket.readableLength === 0 && !this.socket.destroyed) {
            // Otherwise the end of the connection would not be noticed.
            this.socket.read(0);
        }
        if (this.mode === "detached" && this.rest.length > 0) {
            this.socket.unshift(this.rest);
            this.rest = emptyBytes;
        }
    }

    /** Takes bytes of the socket if none are left. @returns Whether there are any. */
    private popBytes(): boolean {
        if (this.rest.length === 0) {
            const { readableLength } = this.socket;
            const size = readableLength === 0 ? undefined : Math.min(readableLength, readShareBytes);
            this.rest = (this.socket.read(size) as Buffer | null) ?? emptyBytes;
        }
        return this.rest.length > 0;
    }

    /** Waits for the next turn if this share has been read. */
    private mayReadMore(): boolean {
        if (this.bytesLeft > 0 && this.chunksLeft > 0) {
            return true;
        }
        this.isWaiting = true;
        requestReads.push(() => {
            this.isWaiting = false;
            this.beginTurn();
            this.readOn();
        });
        return false;
    }

    /** Lets the reader read its next share. */
    private beginTurn(): void {
        this.bytesLeft = readShareBytes;
        this.chunksLeft = chunksPerTurn;
    }

    private parseNext(): void {
        const { chunksLeft } = this;
        const isInBody = this.newest?.complete === false;
        const end = isInBody
            ? findPieceEnd(this.rest.subarray(0, this.bodyPieceBytes), minBodyPieceBytes)
            : findPieceEnd(this.rest, minHeadPieceBytes);
        const piece = this.rest.subarray(0, end);
        this.rest = this.rest.subarray(end);
        this.bytesLeft -= piece.length;
        this.parse(piece);
        const hasFewChunks = chunksLeft - this.chunksLeft <= fewChunks;
        this.bodyPieceBytes = hasFewChunks ? Math.min(this.bodyPieceBytes * 2, readShareBytes) : firstBodyPieceBytes;
        if (this.waitingBytes === 0) {
            // What comes next comes in another iteration of the event loop.
            this.beginTurn();
        }
    }

    /**
     * Closes the connection after a last response. A connection that is closed with unread bytes is reset, and its client
     * may then never read the response: what it still sends is read for a moment.
     */
    private closeAfterReading(): void {
        const { socket } = this;
        if (this.mode === "discarding") {
            return;
        }
        const isRead = this.newest?.complete !== false && !this.hasFailed && this.waitingBytes === 0;
        if (isRead) {
            this.destroySoon();
            return;
        }
        this.mode = "discarding";
        this.rest = emptyBytes;
        this.bytesLeft = lingerBytes;
        const timer = setTimeout(() => socket.destroy(), lingerMs);
        socket.once("close", () => clearTimeout(timer)).once("end", () => socket.destroy());
        socket.end();
        this.readToEnd();
    }

    /** Drops what a refused client still sends, up to some bytes. */
    private readToEnd(): void {
        if (this.socket.destroyed) {
            return;
        }
        const bytes = this.socket.read() as Buffer | null;
        this.bytesLeft -= bytes?.length ?? 0;
        if (this.bytesLeft <= 0) {
            // The client has had its chance; nothing more is read until the connection closes.
            this.mode = "detached";
            this.socket.removeListener("readable", this.onReadable);
        }
    }
}

/** Finds where the next piece for the parser ends: after the first empty line beyond some bytes, or with the bytes. */
function findPieceEnd(bytes: Buffer, minBytes: number): number {
    const from = Math.max(0, minBytes - 3);
    const ends = ["\n\r\n", "\n\n"].map(line => {
        const at = bytes.indexOf(line, from, "latin1");
        return at < 0 ? bytes.length : at + line.length;
    });
    return Math.min(...ends);
}
