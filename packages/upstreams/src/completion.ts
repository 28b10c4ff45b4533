import {
    createMayHaveRun,
    createNotRun,
    type MayHaveRunVerdict,
    type NotRunVerdict,
    type Reason,
    type Verdict,
} from "@radishreel/verdict";
import { ByteBuffer } from "@radishreel/wire";
import type { IncomingHttpHeaders } from "node:http";
import {
    type Attempt,
    createBreakVerdict,
    type Exchange,
    type ExchangeEnd,
    type ExchangePhase,
    type UpstreamConnections,
} from "./exchange.js";
import { parseModel, StreamChecker } from "./stream.js";

/** Response header with which an upstream reports that it refused the request before acting on it. */
export const notRunHeader = "x-not-run";

/** Receives the response to a completion. */
export interface CompletionReceiver {
    /** Called at most once, before any data, after the response has named the requested model. */
    receiveHead(status: number, contentType: string): void;
    receiveData(chunk: Buffer): void;
}

/** A completion to run on an engine. */
export interface CompletionOptions {
    readonly address: string;
    readonly path: "/v1/chat/completions" | "/v1/completions";
    /** `adapter@version`; the response must name the same model. */
    readonly model: string;
    readonly isStream: boolean;
    /** The caller's request body, unchanged. */
    readonly body: Buffer;
    /** Identifies this attempt in the engine's records; sent as `x-call-id`. */
    readonly callId: string;
    /** The engine runs requests of higher priority first. */
    readonly priority: number;
    /** Longest time without any byte from the engine, in milliseconds. */
    readonly silenceMs: number;
    readonly receiver: CompletionReceiver;
    /** Whether the lease still allows the request; called in the same event-loop turn as the write. */
    readonly checkBeforeSend?: () => boolean;
    /** Largest response that is not a stream, in bytes. @default 16777216 */
    readonly maxResponseBytes?: number;
}

/** A completion in progress. */
export type Completion = Attempt<CompletionEnd>;

/** How a completion ended. */
export interface CompletionEnd {
    readonly verdict: Exclude<Verdict, { kind: "refused"; }>;
    /** The request no longer runs on the engine: the engine responded in full, or the request never reached it. */
    readonly isConfirmed: boolean;
    /** The engine reported that it is leaving. */
    readonly isLeaving: boolean;
}

const defaultMaxResponseBytes = 16 * 1024 * 1024;

/** Runs completions on engines. */
export interface EngineClient {
    open(options: CompletionOptions): Completion;
}

/** Runs completions over HTTP. Wire format: docs/reference/engines.md. */
export class HttpEngineClient implements EngineClient {
    constructor(private readonly connections: UpstreamConnections) {}

    open(options: CompletionOptions): Completion {
        return new HttpCompletion(this.connections, options);
    }
}

class HttpCompletion implements Completion {
    readonly end: Promise<CompletionEnd>;
    private readonly exchange: Exchange;
    private status = 0;
    private headers: IncomingHttpHeaders = {};
    private readonly checker: StreamChecker;
    private readonly buffered = new ByteBuffer();
    private hasPassedHead = false;
    private rejection: { reason: Reason; detail: string; } | undefined;

    constructor(connections: UpstreamConnections, private readonly options: CompletionOptions) {
        this.checker = new StreamChecker(options.model);
        this.exchange = connections.open({
            address: options.address,
            method: "POST",
            path: options.path,
            headers: {
                "content-type": "application/json",
                "x-call-id": options.callId,
                "x-priority": String(options.priority),
            },
            body: options.body,
            silenceMs: options.silenceMs,
            checkBeforeSend: options.checkBeforeSend,
            receiver: {
                receiveHead: (status, headers) => {
                    this.status = status;
                    this.headers = headers;
                },
                receiveData: chunk => this.receiveData(chunk),
            },
        });
        this.end = this.exchange.end.then(end => this.createEnd(end));
    }

    pause(): void {
        this.exchange.pause();
    }

    resume(): void {
        this.exchange.resume();
    }

    cancel(reason: Reason): void {
        this.exchange.cancel(reason);
    }

    private get isEventStream(): boolean {
        return this.status === 200 && this.options.isStream;
    }

    private receiveData(chunk: Buffer): void {
        if (this.rejection !== undefined) {
            return;
        }
        if (!this.isEventStream) {
            this.addChunk(chunk);
            return;
        }
        const step = this.checker.receive(chunk);
        if (step.kind === "reject") {
            this.refuseResponse(step.reason, step.detail);
        }
        if (step.kind === "pass") {
            this.pass(step.chunk, "text/event-stream");
        }
    }

    private addChunk(chunk: Buffer): void {
        this.buffered.push(chunk);
        if (this.buffered.length > (this.options.maxResponseBytes ?? defaultMaxResponseBytes)) {
            this.refuseResponse("malformedAnswer", "the answer is too large");
        }
    }

    private pass(chunk: Buffer, contentType: string): void {
        if (!this.hasPassedHead) {
            this.hasPassedHead = true;
            this.options.receiver.receiveHead(this.status, contentType);
        }
        this.options.receiver.receiveData(chunk);
    }

    private refuseResponse(reason: Reason, detail: string): void {
        this.rejection = { reason, detail };
        this.exchange.cancel(reason);
    }

    private createEnd(end: ExchangeEnd): CompletionEnd {
        const isLeaving = this.headers["x-upstream-state"] === "leaving";
        if (this.rejection !== undefined) {
            return {
                verdict: createMayHaveRun(this.rejection.reason, this.rejection.detail),
                isConfirmed: false,
                isLeaving,
            };
        }
        if (end.kind === "broken") {
            return {
                verdict: this.createBrokenVerdict(end.phase, end.reason, end.detail),
                isConfirmed: end.phase === "connecting",
                isLeaving,
            };
        }
        return { verdict: this.createResponseVerdict(), isConfirmed: true, isLeaving };
    }

    private createBrokenVerdict(
        phase: ExchangePhase,
        reason: Reason,
        detail: string,
    ): NotRunVerdict | MayHaveRunVerdict {
        return createBreakVerdict(phase, reason, detail);
    }

    /** The verdict on a response that is complete by HTTP framing. */
    private createResponseVerdict(): CompletionEnd["verdict"] {
        if (this.headers[notRunHeader] === "1" || this.status === 404) {
            return createNotRun("upstreamRefused", `the engine refused with status ${this.status}`);
        }
        if (this.status >= 500 || this.status === 429) {
            return createMayHaveRun("upstreamFailed", `the engine answered with status ${this.status}`);
        }
        if (this.isEventStream) {
            return this.checker.isComplete
                ? { kind: "complete" }
                : createMayHaveRun("truncatedAnswer", "the engine's stream ended without its end mark");
        }
        return this.createBufferedVerdict();
    }

    private createBufferedVerdict(): CompletionEnd["verdict"] {
        const body = this.buffered.popAll();
        const declared = this.headers["content-length"];
        if (declared !== undefined && Number(declared) !== body.length) {
            return createMayHaveRun("truncatedAnswer", "the engine's answer is shorter than it says");
        }
        if (this.status === 200) {
            const model = parseModel(body.toString("utf8"));
            if (model === undefined) {
                return createMayHaveRun("malformedAnswer", "the engine's answer names no model");
            }
            if (model !== this.options.model) {
                return createMayHaveRun("wrongModel", `asked for ${this.options.model}, answered by ${model}`);
            }
        }
        this.pass(body, "application/json");
        return { kind: "complete" };
    }
}
