import { ByteBuffer } from "@radishreel/wire";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { RawHeaders } from "../ports.js";
import type { RefusalResponse } from "./refusal.js";
import { ResponseWriter } from "./responsewriter.js";

/** The response to a request whose body is not complete in time: it has not run. */
const lateBodyRefusal: RefusalResponse = { status: 408, reason: "bodyLate" };

/** Longest time for which a body is waited for, in milliseconds: longer timers would end at once. */
const maxBodyMs = 2 ** 30;

/** Counts the bytes that are held for one caller. */
export interface CallerMeter {
    /** Records a part of the request's body. @returns The response to the request if the rest must not be read. */
    recordBody(bytes: number): RefusalResponse | undefined;
    /** Records that the body is complete. */
    finishBody(): void;
    /** Records that a part of the response was written. @returns Whether more may be read from the upstream. */
    recordWrite(): boolean;
    /** Calls a listener once more may be read from the upstream. */
    waitForRoom(listener: () => void): void;
}

/** Request of one caller: reads its body, writes the response, and reports when the caller disconnects. */
export class CallerExchange {
    /** Resolves when the caller disconnects before its response is complete. */
    readonly left: Promise<undefined>;
    private readonly leftListeners: (() => void)[] = [];
    private hasCallerLeft = false;
    private hasMessageFraming = false;
    private meter: CallerMeter | undefined;
    private readonly writer: ResponseWriter;
    private writtenBytes = 0;
    private isLast = false;
    /** Ends the reading of the body, which is not complete. */
    private endReading: (() => void) | undefined;
    /** Whether another request has arrived on the connection meanwhile, which is served after this one. */
    hasSuccessor = false;
    /** Number of attempts that have written the request to an upstream, without those that did not run it. */
    possibleRuns = 0;
    /** Time for which the request waited for the requests before it on its connection, in milliseconds. */
    waitedMs = 0;
    /** When the connection was last found open, in milliseconds: what had arrived there before has been read. */
    checkedAt = -Infinity;
    /** The response to a request whose body was not read completely. @default that to a body that is too large */
    bodyRefusal: RefusalResponse | undefined;
    /** Number and total bytes of the chunks of an upstream's response that were written to this caller. */
    partsPassed = 0;
    bytesPassed = 0;

    constructor(
        readonly request: IncomingMessage,
        private readonly response: ServerResponse,
    ) {
        this.left = new Promise(resolve => this.leftListeners.push(() => resolve(undefined)));
        this.writer = new ResponseWriter(response);
        response.on("close", () => this.receiveDeparture());
        response.sendDate = false;
    }

    get method(): string {
        return this.request.method ?? "GET";
    }

    get path(): string {
        return this.request.url ?? "/";
    }

    get headers(): RawHeaders {
        return this.request.rawHeaders;
    }

    get host(): string {
        return this.request.headers.host ?? "";
    }

    /** Whether the caller disconnected before its response was complete. */
    get hasLeft(): boolean {
        return this.hasCallerLeft;
    }

    /** Whether the head of a response has been written. */
    get hasResponseHead(): boolean {
        return this.response.headersSent;
    }

    /** Length of the body that the request announces, in bytes; 0 if it announces none. */
    get announcedBytes(): number {
        const length = Number(this.request.headers["content-length"] ?? 0);
        return Number.isFinite(length) ? length : 0;
    }

    /** Bytes of the response that wait until the caller's connection takes them. */
    get unreadBytes(): number {
        return this.writer.unreadBytes;
    }

    /** Bytes of the response that the caller's connection has taken, within some bytes of framing. */
    get takenBytes(): number {
        return this.writtenBytes - this.unreadBytes;
    }

    /** Sets what counts the bytes of this caller. */
    setMeter(meter: CallerMeter): void {
        this.meter = meter;
    }

    /** Registers a listener that is called once the response was sent completely or the caller has disconnected. */
    onClosed(listener: () => void): void {
        this.response.once("close", listener);
    }

    /** Disconnects a caller that does not read its response, or does not send its request. */
    closeConnection(): void {
        this.request.socket.resetAndDestroy();
    }

    /** Registers a listener that is called once, when the caller disconnects. */
    onLeft(listener: () => void): void {
        this.leftListeners.push(listener);
    }

    /**
     * Reads the whole body; undefined if it is longer than allowed, was refused, or the caller disconnected.
     * @param timeoutMs Time in which the body has to be complete, in milliseconds.
     */
    async readBody(maxBytes: number, timeoutMs = maxBodyMs): Promise<Buffer | undefined> {
        const { request } = this;
        const bytes = new ByteBuffer();
        if (this.bodyRefusal !== undefined) {
            return undefined;
        }
        return new Promise(resolve => {
            const timer = setTimeout(() => this.refuseBody(lateBodyRefusal), Math.min(timeoutMs, maxBodyMs));
            const finish = (body: Buffer | undefined): void => {
                clearTimeout(timer);
                this.endReading = undefined;
                // An incomplete request must not be destroyed before its refusal was sent.
                request.off("data", receive).off("end", receiveEnd).pause();
                resolve(body);
            };
            const receive = (piece: Buffer): void => {
                bytes.push(piece);
                if (bytes.length <= maxBytes) {
                    this.bodyRefusal ??= this.meter?.recordBody(piece.length);
                }
                if (bytes.length > maxBytes || this.bodyRefusal !== undefined) {
                    finish(undefined);
                }
            };
            const receiveEnd = (): void => {
                this.meter?.finishBody();
                finish(bytes.popAll());
            };
            this.endReading = () => finish(undefined);
            // The response reports that the caller has disconnected.
            request.on("error", () => {}).once("close", () => this.endReading?.());
            request.on("data", receive).on("end", receiveEnd);
        });
    }

    /** Stops reading a body that is not complete, which then has this response. */
    refuseBody(refusal: RefusalResponse): void {
        this.bodyRefusal ??= refusal;
        this.endReading?.();
    }

    /**
     * Makes the response say that its connection closes, unless its head was sent or another request waits behind it: the
     * caller may send its next request at any time until it is told.
     */
    closeAfterResponse(): void {
        this.isLast = true;
    }

    /**
     * Writes the head of an upstream's response. A body without a length is sent in chunks, so that the caller can tell a
     * truncated response from a complete one, also if this process ends; callers of HTTP/1.0 get neither.
     * @param isCloseDelimited Whether the response ends with its connection instead, as the upstream's did: a complete
     * body of this kind looks the same as a truncated one, so its end is not confirmed.
     */
    startResponse(status: number, headers: readonly string[], isCloseDelimited = false): void {
        if (this.hasCallerLeft) {
            return;
        }
        if (this.isLast && !this.hasSuccessor) {
            this.response.shouldKeepAlive = false;
        }
        if (isCloseDelimited) {
            this.response.shouldKeepAlive = false;
            this.response.removeHeader("Transfer-Encoding");
        }
        const isFramed = hasHeader(headers, "content-length") || this.request.httpVersion !== "1.0";
        this.hasMessageFraming = isFramed && !isCloseDelimited;
        this.response.writeHead(status, headers as string[]);
    }

    /** Writes a chunk of an upstream's response. @returns False if the caller has to read before more is written. */
    pass(bytes: Buffer): boolean {
        if (this.hasCallerLeft) {
            return true;
        }
        this.partsPassed += 1;
        this.bytesPassed += bytes.length;
        this.writtenBytes += bytes.length;
        const mayContinue = this.writer.push(bytes);
        return (this.meter?.recordWrite() ?? true) && mayContinue;
    }

    /** Calls a listener once the caller has read what was written. */
    onDrain(listener: () => void): void {
        if (this.meter !== undefined && !this.response.writableNeedDrain) {
            this.meter.waitForRoom(listener);
            return;
        }
        this.response.once("drain", listener);
    }

    /** Completes the response. */
    endResponse(bytes?: Buffer): void {
        this.writer.end(bytes);
        this.writtenBytes += bytes?.length ?? 0;
        this.meter?.recordWrite();
    }

    /** Aborts a response that has started, so that it cannot look complete. */
    cancelResponse(): void {
        if (!this.hasMessageFraming) {
            // The close of the connection would mark the end of the response.
            this.request.socket.resetAndDestroy();
        }
        this.response.destroy();
    }

    /** Sends a refusal; aborts the response instead if one has started. */
    refuse(refusal: RefusalResponse): void {
        if (this.response.writableEnded) {
            return;
        }
        if (this.hasResponseHead) {
            this.cancelResponse();
            return;
        }
        const text = JSON.stringify({ status: refusal.status, reason: refusal.reason });
        const headers = ["Content-Type", "application/problem+json", "Content-Length", String(Buffer.byteLength(text))];
        if (refusal.retryAfterSeconds !== undefined) {
            headers.push("Retry-After", refusal.retryAfterSeconds.toFixed(2));
        }
        if (!this.request.complete) {
            // The rest of the body is not read, so the connection cannot carry another request.
            this.response.shouldKeepAlive = false;
        }
        this.startResponse(refusal.status, headers);
        this.endResponse(Buffer.from(text));
    }

    /** Makes whatever serves the request stop, as if its caller had left. The response is not changed any more. */
    endServing(): void {
        if (this.hasCallerLeft) {
            return;
        }
        this.endReading?.();
        this.hasCallerLeft = true;
        for (const listener of this.leftListeners) {
            listener();
        }
    }

    /** Stops serving the request unless its response has been sent: its caller has closed the connection, or that failed. */
    receiveDeparture(): void {
        if (!this.response.writableFinished) {
            this.endServing();
        }
    }
}

/** Whether raw headers contain a header. @param name The name in lower case. */
export function hasHeader(headers: RawHeaders, name: string): boolean {
    return headers.some((text, index) => index % 2 === 0 && text.toLowerCase() === name);
}
