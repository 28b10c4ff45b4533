import {
    createMayHaveRun,
    createNotRun,
    type MayHaveRunVerdict,
    type NotRunVerdict,
    type Reason,
    type Verdict,
} from "@radishreel/verdict";
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

/** Header with which an upstream says that it refused a request before acting on it. */
export const notRunHeader = "x-not-run";

/** Where the answer of a completion goes. */
export interface CompletionReceiver {
    /** The answer may begin: its model is proved. Called at most once, before any data. */
    receiveHead(status: number, contentType: string): void;
    receiveData(chunk: Buffer): void;
}

/** One completion to run on an engine. */
export interface CompletionOptions {
    readonly address: string;
    readonly path: "/v1/chat/completions" | "/v1/completions";
    /** `adapter@version`; the answer must name the same. */
    readonly model: string;
    readonly isStream: boolean;
    /** The caller's body, as it came. */
    readonly body: Buffer;
    /** Names this attempt in the engine's records. */
    readonly callId: string;
    /** Higher goes first. */
    readonly priority: number;
    readonly silenceMs: number;
    readonly receiver: CompletionReceiver;
    /** Asked in the same step as the write: whether the lease still allows it. */
    readonly checkBeforeSend?: () => boolean;
    /** Largest answer that is no stream, in bytes. @default 16777216 */
    readonly maxAnswerBytes?: number;
}

/** A completion under way. */
export type Completion = Attempt<CompletionEnd>;

/** How a completion ended. */
export interface CompletionEnd {
    readonly verdict: Exclude<Verdict, { kind: "refused"; }>;
    /** The engine itself said how it ended, so it runs the request no longer. */
    readonly isSure: boolean;
    /** The engine said that it is leaving. */
    readonly isLeaving: boolean;
}

const defaultMaxAnswerBytes = 16 * 1024 * 1024;

/** Runs completions on engines. */
export interface EngineClient {
    open(options: CompletionOptions): Completion;
}

/** Runs completions over HTTP. Wire form: docs/reference/engines.md. */
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
    private buffered: Buffer[] = [];
    private bufferedLength = 0;
    private hasBegun = false;
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
            this.recordChunk(chunk);
            return;
        }
        const step = this.checker.receive(chunk);
        if (step.kind === "reject") {
            this.refuse(step.reason, step.detail);
        }
        if (step.kind === "pass") {
            this.pass(step.chunk, "text/event-stream");
        }
    }

    private recordChunk(chunk: Buffer): void {
        this.buffered.push(chunk);
        this.bufferedLength += chunk.length;
        if (this.bufferedLength > (this.options.maxAnswerBytes ?? defaultMaxAnswerBytes)) {
            this.refuse("malformedAnswer", "the answer is too large");
        }
    }

    private pass(chunk: Buffer, contentType: string): void {
        if (!this.hasBegun) {
            this.hasBegun = true;
            this.options.receiver.receiveHead(this.status, contentType);
        }
        this.options.receiver.receiveData(chunk);
    }

    private refuse(reason: Reason, detail: string): void {
        this.rejection = { reason, detail };
        this.exchange.cancel(reason);
    }

    private createEnd(end: ExchangeEnd): CompletionEnd {
        const isLeaving = this.headers["x-upstream-state"] === "leaving";
        if (this.rejection !== undefined) {
            return {
                verdict: createMayHaveRun(this.rejection.reason, this.rejection.detail),
                isSure: false,
                isLeaving,
            };
        }
        if (end.kind === "broken") {
            return {
                verdict: this.createBroken(end.phase, end.reason, end.detail),
                isSure: end.phase === "connecting",
                isLeaving,
            };
        }
        return { verdict: this.createAnswered(), isSure: true, isLeaving };
    }

    private createBroken(phase: ExchangePhase, reason: Reason, detail: string): NotRunVerdict | MayHaveRunVerdict {
        return createBreakVerdict(phase, reason, detail);
    }

    /** Judges an answer that HTTP says is whole. */
    private createAnswered(): CompletionEnd["verdict"] {
        if (this.headers[notRunHeader] === "1" || this.status === 404) {
            return createNotRun("upstreamRefused", `the engine refused with status ${this.status}`);
        }
        if (this.status >= 500 || this.status === 429) {
            return createMayHaveRun("upstreamFailed", `the engine answered with status ${this.status}`);
        }
        if (this.isEventStream) {
            return this.checker.isWhole
                ? { kind: "complete" }
                : createMayHaveRun("truncatedAnswer", "the engine's stream ended without its end mark");
        }
        return this.createBuffered();
    }

    private createBuffered(): CompletionEnd["verdict"] {
        const body = Buffer.concat(this.buffered);
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
