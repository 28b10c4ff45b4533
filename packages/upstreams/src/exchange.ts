import {
    createMayHaveRun,
    createNotRun,
    type MayHaveRunVerdict,
    type NotRunVerdict,
    type Reason,
} from "@radishreel/verdict";
import type { IncomingHttpHeaders } from "node:http";
import { Agent, type Dispatcher } from "undici";

/** How far an exchange with an upstream has come. */
export type ExchangePhase =
    /** No byte of the request has been written. */
    | "connecting"
    /** Bytes of the request may have been written; no head of an answer has come. */
    | "waiting"
    /** The answer's head has come, its end has not. */
    | "answering";

/** How an exchange ended: with a whole answer, or broken. */
export type ExchangeEnd =
    | { readonly kind: "answered"; }
    | { readonly kind: "broken"; readonly phase: ExchangePhase; readonly reason: Reason; readonly detail: string; };

/** Takes an answer as it arrives. */
export interface AnswerReceiver {
    receiveHead(status: number, headers: IncomingHttpHeaders): void;
    receiveData(chunk: Buffer): void;
}

/** One request to an upstream. */
export interface ExchangeOptions {
    /** `host:port`. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Record<string, string>;
    readonly body: Buffer | undefined;
    /** Longest time without any byte from the upstream, in milliseconds. */
    readonly silenceMs: number;
    readonly receiver: AnswerReceiver;
    /**
     * Asked in the same step as the write, since a process may have been paused since it decided to send.
     * If it says no, nothing is written and the exchange breaks while connecting.
     */
    readonly checkBeforeSend?: () => boolean;
}

/** A request under way, which ends in an `End`. */
export interface Attempt<End> {
    /** Settles once, and never rejects. */
    readonly end: Promise<End>;
    /** Stops reading from the upstream until `resume`. */
    pause(): void;
    resume(): void;
    /** Breaks it off; the upstream sees its connection close. */
    cancel(reason: Reason): void;
}

/** An attempt at the level of HTTP. */
export type Exchange = Attempt<ExchangeEnd>;

/** Options of {@link UpstreamConnections}. */
export interface UpstreamConnectionsOptions {
    /** Longest wait for a connection, in milliseconds. @default 1000 */
    readonly connectTimeoutMs?: number;
    /** An idle connection is closed after this long: shorter than upstreams keep theirs. @default 4000 */
    readonly keepAliveMs?: number;
}

/**
 * What a break says about whether the request ran: nothing was written while connecting, and all is open after that.
 */
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

    constructor(options: UpstreamConnectionsOptions = {}) {
        this.agent = new Agent({
            connect: { timeout: options.connectTimeoutMs ?? 1000 },
            keepAliveTimeout: options.keepAliveMs ?? 4000,
            keepAliveMaxTimeout: options.keepAliveMs ?? 4000,
            pipelining: 1,
            // Silence is judged by the exchange itself, which also counts time while paused as no silence.
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }

    /** Starts a request. */
    open(options: ExchangeOptions): Exchange {
        return new UndiciExchange(this.agent, options);
    }

    /** Closes every connection once its request has ended. */
    async close(): Promise<void> {
        await this.agent.close();
    }
}

class UndiciExchange implements Exchange, Dispatcher.DispatchHandler {
    readonly end: Promise<ExchangeEnd>;
    private finishExchange: (end: ExchangeEnd) => void = () => {};
    private phase: ExchangePhase = "connecting";
    private controller: Dispatcher.DispatchController | undefined;
    private cancelReason: Reason | undefined;
    private timer: NodeJS.Timeout | undefined;

    constructor(agent: Agent, private readonly options: ExchangeOptions) {
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
        clearTimeout(this.timer);
        this.controller?.pause();
    }

    resume(): void {
        this.startTimer();
        this.controller?.resume();
    }

    cancel(reason: Reason): void {
        this.cancelReason ??= reason;
        if (this.controller === undefined) {
            // Nothing is written yet, and `onRequestStart` sees to it that nothing will be.
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
            // Cancelled while connecting: nothing has been written, and nothing will be.
            controller.abort(new Error(this.cancelReason));
            return;
        }
        if (this.options.checkBeforeSend?.() === false) {
            this.cancelReason = "leaseLapsed";
            controller.abort(new Error("what allowed the request has lapsed"));
            return;
        }
        this.phase = "waiting";
        this.startTimer();
    }

    onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
        if (status < 200) {
            return;
        }
        this.phase = "answering";
        this.timer?.refresh();
        this.options.receiver.receiveHead(status, headers);
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.timer?.refresh();
        this.options.receiver.receiveData(chunk);
    }

    onResponseEnd(): void {
        clearTimeout(this.timer);
        this.finishExchange({ kind: "answered" });
    }

    onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
        clearTimeout(this.timer);
        const reason = this.cancelReason ?? (this.phase === "connecting" ? "connectFailed" : "connectionLost");
        this.finishExchange({ kind: "broken", phase: this.phase, reason, detail: error.message });
    }

    private startTimer(): void {
        clearTimeout(this.timer);
        this.timer = setTimeout(() => this.cancel("upstreamSilent"), this.options.silenceMs);
    }
}
