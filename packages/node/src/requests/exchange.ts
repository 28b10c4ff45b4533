import { findCodingFault } from "@radishreel/wire";
import type { Dispatcher } from "undici";
import type { RawHeaders } from "../ports.js";
import type { UpstreamConnection } from "./connections.js";
import { isEndedByClose } from "./responseheaders.js";

/** Detail of an exchange that was withdrawn after its connection had opened and before the request was written. */
export const withdrawnDetail = "withdrawn before it was sent";

/** How far an exchange had progressed when it failed. */
export type ExchangePhase =
    /** The request cannot be written: its method, path or headers are not valid HTTP. */
    | "invalid"
    /** No byte of the request has been written, so the request has not run. */
    | "connecting"
    /** Bytes may have been written; no part of a response has arrived. */
    | "waiting"
    /** The head of the response has arrived. */
    | "answering"
    /** The upstream has sent what is no HTTP response, or more beside the content of one than any response needs. */
    | "wrongAnswer";

/** Error codes of requests that undici refuses to write. */
const invalidRequestCodes = new Set(["UND_ERR_INVALID_ARG", "UND_ERR_NOT_SUPPORTED"]);

/** Receives the response of an upstream. Exactly one of `receiveEnd` and `receiveBreak` is called at the end. */
export interface ExchangeReceiver {
    receiveHead(status: number, headers: RawHeaders): void;
    receiveData(chunk: Buffer): void;
    /** Called when the response is complete. */
    receiveEnd(): void;
    /** Called when the exchange has failed. */
    receiveBreak(phase: ExchangePhase, detail: string): void;
}

/** Options of {@link Exchange}. */
export interface ExchangeOptions {
    readonly connection: UpstreamConnection;
    readonly method: string;
    readonly path: string;
    readonly headers: string[];
    readonly body: Buffer | undefined;
    readonly receiver: ExchangeReceiver;
    /**
     * Waits, on an open connection, until it is known whether the request is still wanted; undefined if that is known.
     * @default it is known
     */
    readonly checkWanted?: (() => Promise<void> | undefined) | undefined;
    /** Called in the same step as the write; if it returns false, nothing is written. */
    readonly checkBeforeSend?: () => boolean;
}

/** One request on one connection. */
export class Exchange implements Dispatcher.DispatchHandler {
    private phase: ExchangePhase = "connecting";
    private hasEnded = false;
    private isCloseDelimited = false;

    constructor(private readonly options: ExchangeOptions) {}

    start(): void {
        const { checkWanted } = this.options;
        if (checkWanted === undefined) {
            this.dispatch();
            return;
        }
        void this.dispatchChecked(checkWanted);
    }

    /** Opens the connection first: how long that takes is not known, and the request may not be wanted any more. */
    private async dispatchChecked(checkWanted: () => Promise<void> | undefined): Promise<void> {
        try {
            await this.options.connection.open();
            await checkWanted();
        }
        catch (error) {
            this.receiveError(error as Error);
            return;
        }
        if (!this.hasEnded) {
            this.dispatch();
        }
    }

    private dispatch(): void {
        const { connection, method, path, headers, body } = this.options;
        try {
            connection.client.dispatch({ method, path, headers, body }, this);
        }
        catch (error) {
            this.receiveError(error as Error);
        }
    }

    /** Cancels the exchange and resets its connection. The receiver is not called again. */
    cancel(): void {
        if (this.hasEnded) {
            return;
        }
        this.hasEnded = true;
        this.options.connection.cancel();
    }

    pause(): void {
        this.options.connection.pause();
    }

    resume(): void {
        this.options.connection.resume();
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        if (this.hasEnded || this.options.checkBeforeSend?.() === false) {
            controller.abort(new Error(withdrawnDetail));
            return;
        }
        this.phase = "waiting";
        this.options.connection.beginExchange(detail => this.finishWrong(detail));
    }

    onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
        if (status < 200 || this.hasEnded) {
            return;
        }
        const headers = decodeRawHeaders(controller);
        const fault = findCodingFault(headers);
        if (fault !== undefined) {
            this.finishWrong(fault);
            return;
        }
        this.phase = "answering";
        this.isCloseDelimited = isEndedByClose(this.options.method, status, headers);
        this.options.receiver.receiveHead(status, headers);
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.options.connection.recordContent(chunk.length);
        if (!this.hasEnded) {
            this.options.receiver.receiveData(chunk);
        }
    }

    onResponseEnd(): void {
        this.resume();
        if (this.hasEnded) {
            return;
        }
        const { connection } = this.options;
        if (connection.wasReset || (this.isCloseDelimited && !connection.hasProvenEnd())) {
            this.finishBroken("connection reset before the end of the response");
            return;
        }
        this.hasEnded = true;
        this.options.receiver.receiveEnd();
    }

    onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
        this.receiveError(error);
    }

    private receiveError(error: NodeJS.ErrnoException): void {
        if (this.phase === "connecting" && invalidRequestCodes.has(error.code ?? "")) {
            this.phase = "invalid";
        }
        this.finishBroken(error.message);
    }

    private finishWrong(detail: string): void {
        this.phase = "wrongAnswer";
        this.finishBroken(detail);
    }

    private finishBroken(detail: string): void {
        if (this.hasEnded) {
            return;
        }
        this.hasEnded = true;
        this.options.connection.cancel();
        this.options.receiver.receiveBreak(this.phase, detail);
    }
}

/** Returns header names and values alternately, as the response contains them. */
function decodeRawHeaders(controller: Dispatcher.DispatchController): string[] {
    const raw = (controller as { rawHeaders?: readonly (Buffer | string)[] | null; }).rawHeaders ?? [];
    return raw.map(part => typeof part === "string" ? part : part.toString("latin1"));
}
