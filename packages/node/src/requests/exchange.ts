import type { Dispatcher } from "undici";
import type { RawHeaders } from "../ports.js";
import type { UpstreamConnection } from "./connections.js";

/** Why an exchange broke that was not to be sent any more when its connection was open. */
export const withheldDetail = "no longer to be sent";

/** How far an exchange had come when it broke. */
export type ExchangePhase =
    /** No byte of the request has been written: it has not run. */
    | "connecting"
    /** Bytes may have been written, nothing of an answer has come. */
    | "waiting"
    /** The head of the answer has come. */
    | "answering";

/** Takes what an upstream sends. Exactly one of `receiveEnd` and `receiveBreak` ends it. */
export interface ExchangeReceiver {
    receiveHead(status: number, headers: RawHeaders): void;
    receiveData(chunk: Buffer): void;
    /** The answer is whole. */
    receiveEnd(): void;
    receiveBreak(phase: ExchangePhase, detail: string): void;
}

/** One request on one connection. */
export interface ExchangeOptions {
    readonly connection: UpstreamConnection;
    readonly method: string;
    readonly path: string;
    readonly headers: string[];
    readonly body: Buffer | undefined;
    readonly receiver: ExchangeReceiver;
    /** Asked in the same step as the write; if it says no, nothing is written. */
    readonly checkBeforeSend?: () => boolean;
}

/** A request under way. */
export class Exchange implements Dispatcher.DispatchHandler {
    private phase: ExchangePhase = "connecting";
    private hasEnded = false;
    private controller: Dispatcher.DispatchController | undefined;

    constructor(private readonly options: ExchangeOptions) {}

    start(): void {
        const { connection, method, path, headers, body } = this.options;
        try {
            connection.client.dispatch({ method, path, headers, body }, this);
        }
        catch (error) {
            this.finishBroken((error as Error).message);
        }
    }

    /** Stops it: the upstream sees its connection close. The receiver hears nothing more. */
    cancel(): void {
        if (this.hasEnded) {
            return;
        }
        this.hasEnded = true;
        this.options.connection.cancel();
    }

    pause(): void {
        this.controller?.pause();
    }

    resume(): void {
        this.controller?.resume();
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.hasEnded || this.options.checkBeforeSend?.() === false) {
            controller.abort(new Error(withheldDetail));
            return;
        }
        this.phase = "waiting";
    }

    onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
        if (status < 200 || this.hasEnded) {
            return;
        }
        this.phase = "answering";
        this.options.receiver.receiveHead(status, decodeRawHeaders(controller));
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        if (!this.hasEnded) {
            this.options.receiver.receiveData(chunk);
        }
    }

    onResponseEnd(): void {
        if (this.hasEnded) {
            return;
        }
        if (this.options.connection.wasReset) {
            this.finishBroken("connection reset before the end of the answer");
            return;
        }
        this.hasEnded = true;
        this.options.receiver.receiveEnd();
    }

    onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
        this.finishBroken(error.message);
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

/** Names and values in turn, as they stood in the answer. */
function decodeRawHeaders(controller: Dispatcher.DispatchController): string[] {
    const raw = (controller as { rawHeaders?: readonly (Buffer | string)[] | null; }).rawHeaders ?? [];
    return raw.map(part => typeof part === "string" ? part : part.toString("latin1"));
}
