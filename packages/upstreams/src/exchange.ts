import {
    createMayHaveRun,
    createNotRun,
    type MayHaveRunVerdict,
    type NotRunVerdict,
    type Reason,
} from "@radishreel/verdict";
import { findCodingFault, hasOrderlyEnd, SocketReader, StatusLineCheck } from "@radishreel/wire";
import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import { Agent, buildConnector, type Dispatcher } from "undici";

/** Progress of an exchange with an upstream. */
export type ExchangePhase =
    /** No byte of the request has been written. */
    | "connecting"
    /** Bytes of the request may have been written; no response head has been received. */
    | "waiting"
    /** The response head has been received, the end of the response has not. */
    | "answering";

/** How an exchange ended: with a complete response, or broken off. */
export type ExchangeEnd =
    | { readonly kind: "answered"; }
    | { readonly kind: "broken"; readonly phase: ExchangePhase; readonly reason: Reason; readonly detail: string; };

/** Receives a response as it arrives. */
export interface ResponseReceiver {
    receiveHead(status: number, headers: IncomingHttpHeaders): void;
    receiveData(chunk: Buffer): void;
}

/** A request to an upstream. */
export interface ExchangeOptions {
    /** `host:port`. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Record<string, string>;
    readonly body: Buffer | undefined;
    /** Longest time without any byte from the upstream, in milliseconds. */
    readonly silenceMs: number;
    readonly receiver: ResponseReceiver;
    /**
     * Whether the request may still be sent; called in the same event-loop turn as the write, because the process may
     * have been paused after it decided to send. On false, nothing is written and the exchange breaks while connecting.
     */
    readonly checkBeforeSend?: () => boolean;
}

/** A request in progress, which ends in an `End`. */
export interface Attempt<End> {
    /** Settles once, and never rejects. */
    readonly end: Promise<End>;
    /** Stops reading from the upstream until `resume`. */
    pause(): void;
    resume(): void;
    /** Aborts the request by closing its connection to the upstream. */
    cancel(reason: Reason): void;
}

/** A single HTTP request to an upstream, before its response is interpreted. */
export type Exchange = Attempt<ExchangeEnd>;

/** Options of {@link UpstreamConnections}. */
export interface UpstreamConnectionsOptions {
    /** Longest wait for a connection, in milliseconds. @default 1000 */
    readonly connectTimeoutMs?: number;
    /** Idle time before a connection is closed, in milliseconds; shorter than that of the upstreams. @default 4000 */
    readonly keepAliveMs?: number;
    /** Maximum bytes of the body of a response. @default unlimited */
    readonly maxBodyBytes?: number;
}

/** Verdict on a broken exchange: a request that broke while connecting was not written, any later one may have run. */
export function createBreakVerdict(
    phase: ExchangePhase,
    reason: Reason,
    detail: string,
): NotRunVerdict | MayHaveRunVerdict {
    return phase === "connecting" ? createNotRun(reason, detail) : createMayHaveRun(reason, detail);
}

/** Pooled connections to upstreams. */
export class UpstreamConnections {
    private readonly agent: Agent;
    private readonly writes = new RequestWrites();

    constructor(options: UpstreamConnectionsOptions = {}) {
        this.agent = new Agent({
            connect: createConnector(options.connectTimeoutMs ?? 1000, this.writes),
            keepAliveTimeout: options.keepAliveMs ?? 4000,
            keepAliveMaxTimeout: options.keepAliveMs ?? 4000,
            pipelining: 1,
            maxResponseSize: options.maxBodyBytes ?? -1,
            // Each exchange has its own silence timer, which does not run while the exchange is paused.
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }

    /** Starts a request. */
    open(options: ExchangeOptions): Exchange {
        return new UndiciExchange(this.agent, this.writes, options);
    }

    /** Closes every connection after its request has ended. */
    async close(): Promise<void> {
        await this.agent.close();
    }
}

/** A connection, and what reads it. */
interface Connection {
    readonly socket: Socket;
    readonly reader: SocketReader;
}

/** Tells on which connection a request is written: undici does not, but writes a request as soon as it has announced it. */
class RequestWrites {
    private onWrite: (connection: Connection) => void = () => {};

    /** @param onWrite Called with the connection of the next write. */
    begin(onWrite: (connection: Connection) => void): void {
        this.onWrite = onWrite;
    }

    record(connection: Connection): void {
        const { onWrite } = this;
        this.onWrite = () => {};
        onWrite(connection);
    }
}

/** Creates a connector whose connections read in shares: an upstream may send small chunks as fast as they are read. */
function createConnector(timeoutMs: number, writes: RequestWrites): buildConnector.connector {
    const connect = buildConnector({ timeout: timeoutMs });
    return (options, callback) => {
        connect(options, (...result) => {
            const [error, socket] = result;
            if (error === null) {
                applyChecks(socket, writes);
            }
            callback(...result);
        });
    };
}

/** Makes a connection read in shares, and ends it at a status line that is not of HTTP/1.x. */
function applyChecks(socket: Socket, writes: RequestWrites): void {
    const reader = new SocketReader({ socket });
    const statusLines = new StatusLineCheck();
    const write = socket.write.bind(socket) as (...args: unknown[]) => boolean;
    socket.write = (...args: unknown[]): boolean => {
        statusLines.restart();
        writes.record({ socket, reader });
        return write(...args);
    };
    socket.read = (size): unknown => {
        const bytes = reader.read(size);
        if (bytes === null || statusLines.receive(bytes)) {
            return bytes;
        }
        socket.destroy(new Error("the response is not of HTTP/1.x"));
        return null;
    };
}

class UndiciExchange implements Exchange, Dispatcher.DispatchHandler {
    readonly end: Promise<ExchangeEnd>;
    private finishExchange: (end: ExchangeEnd) => void = () => {};
    private phase: ExchangePhase = "connecting";
    private controller: Dispatcher.DispatchController | undefined;
    private cancelReason: Reason | undefined;
    private silenceTimer: NodeJS.Timeout | undefined;
    private connection: Connection | undefined;
    private isCloseDelimited = false;

    constructor(agent: Agent, private readonly writes: RequestWrites, private readonly options: ExchangeOptions) {
        this.end = new Promise(resolve => {
            this.finishExchange = resolve;
        });
        const { address, method, path, headers, body } = options;
        agent.dispatch(
            { origin: `http://${address}`, method: method, path, headers, body },
            this,
        );
    }

    pause(): void {
        clearTimeout(this.silenceTimer);
        this.connection?.reader.pause();
    }

    resume(): void {
        this.startSilenceTimer();
        this.connection?.reader.resume();
    }

    cancel(reason: Reason): void {
        this.cancelReason ??= reason;
        if (this.controller === undefined) {
            // Nothing has been written yet; `onRequestStart` aborts the request before it is written.
            this.finishExchange({
                kind: "broken",
                phase: "connecting",
                reason,
                detail: "cancelled before it was sent",
            });
            return;
        }
        this.controller.abort(new Error(reason));
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.cancelReason !== undefined) {
            // Cancelled while connecting: nothing has been written, and the abort prevents any write.
            controller.abort(new Error(this.cancelReason));
            return;
        }
        if (this.options.checkBeforeSend?.() === false) {
            this.cancelReason = "leaseLapsed";
            controller.abort(new Error("what allowed the request has lapsed"));
            return;
        }
        this.phase = "waiting";
        this.writes.begin(connection => this.connection = connection);
        this.startSilenceTimer();
    }

    onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
        if (status < 200) {
            return;
        }
        const codings = [headers["transfer-encoding"] ?? []].flat();
        const fault = findCodingFault(codings.flatMap(coding => ["transfer-encoding", coding]));
        if (fault !== undefined) {
            controller.abort(new Error(fault));
            return;
        }
        this.phase = "answering";
        this.isCloseDelimited = isEndedByClose(this.options.method, status, headers);
        this.silenceTimer?.refresh();
        this.options.receiver.receiveHead(status, headers);
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.silenceTimer?.refresh();
        this.options.receiver.receiveData(chunk);
    }

    onResponseEnd(): void {
        clearTimeout(this.silenceTimer);
        this.connection?.reader.resume();
        if (this.isCloseDelimited && !this.hasProvenEnd()) {
            const detail = "connection reset before the end of the answer";
            this.finishExchange({
                kind: "broken",
                phase: this.phase,
                reason: this.cancelReason ?? "connectionLost",
                detail,
            });
            return;
        }
        this.finishExchange({ kind: "answered" });
    }

    onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
        clearTimeout(this.silenceTimer);
        const reason = this.cancelReason ?? (this.phase === "connecting" ? "connectFailed" : "connectionLost");
        this.finishExchange({ kind: "broken", phase: this.phase, reason, detail: error.message });
    }

    /**
     * Whether the end of the connection proves that the answer is complete. While the request is being written nothing is
     * proven: an upstream that does not read the rest of it resets the connection, and that reset may still be on its way.
     */
    private hasProvenEnd(): boolean {
        const { socket } = this.connection ?? {};
        return socket !== undefined && socket.writableLength === 0 && hasOrderlyEnd(socket);
    }

    private startSilenceTimer(): void {
        clearTimeout(this.silenceTimer);
        this.silenceTimer = setTimeout(() => this.cancel("upstreamSilent"), this.options.silenceMs);
    }
}

/** Whether only the close of its connection marks the end of an answer. */
function isEndedByClose(method: string, status: number, headers: IncomingHttpHeaders): boolean {
    const hasBody = method !== "HEAD" && status !== 204 && status !== 304;
    return hasBody && headers["content-length"] === undefined && headers["transfer-encoding"] === undefined;
}
