import { type Route } from "@radishreel/routing";
import type { AnswerHead, RawHeaders, RequestDialect, SendOptions } from "../ports.js";
import type { CallerExchange } from "./caller.js";
import type { ConnectionPool, UpstreamConnection } from "./connections.js";
import { EventSplitter, type StreamEvent } from "./events.js";
import { Exchange, type ExchangePhase, type ExchangeReceiver } from "./exchange.js";
import { readWords, type UpstreamWords } from "./words.js";

/** Most bytes of a plain answer that are held until it is whole; larger ones are passed on as they come. */
const maxHeldBytes = 256 * 1024;

/** How one attempt at an upstream ended. */
export type AttemptEnd =
    /** The caller has the whole answer. */
    | { readonly kind: "complete"; readonly status: number; }
    /** The upstream vouches that it did not run the request, or nothing was sent to it. */
    | { readonly kind: "notRun"; readonly wasSent: boolean; readonly isMisdirected: boolean; readonly detail: string; }
    /** The upstream ran the request and failed: a whole answer that the caller has not got yet. */
    | {
        readonly kind: "failed";
        readonly status: number;
        readonly headers: RawHeaders;
        readonly body: Buffer;
    }
    /** Nobody can tell whether it ran. */
    | { readonly kind: "broken"; readonly reason: BreakReason; readonly detail: string; }
    | { readonly kind: "callerLeft"; };

/** Why an attempt broke. */
export type BreakReason =
    | "connectionLost"
    | "upstreamSilent"
    | "wrongAnswer"
    | "truncatedAnswer"
    | "timeout"
    | "versionReplaced";

/** A stream's progress over all its attempts. */
export interface StreamProgress {
    /** Id of the last event that the caller got. */
    lastEventId: string | undefined;
    /** Events that the caller got. */
    events: number;
    /** When the first one went to the caller; undefined before that. */
    firstEventAt: number | undefined;
    lastEventAt: number;
    /** Longest pause between two events, in milliseconds. */
    longestPauseMs: number;
}

/** Options of {@link Attempt}. */
export interface AttemptOptions {
    readonly caller: CallerExchange;
    readonly requestId: string | undefined;
    readonly route: Route;
    readonly body: Buffer | undefined;
    readonly dialect: RequestDialect;
    readonly pool: ConnectionPool;
    /** Incarnation that the request is sent to. */
    readonly upstreamId: string;
    readonly address: string;
    readonly send: SendOptions;
    /** Whether it must use a new connection. */
    readonly isFresh: boolean;
    readonly progress: StreamProgress;
    /** Longest wait for the first byte of the answer, or the first event, in milliseconds. */
    readonly firstByteMs: number;
    /** How long a stream may still take to begin, in milliseconds; infinite for the newest version of an adapter. */
    readonly readBeginMs: () => number;
    /** Longest wait between two parts of the answer, in milliseconds. */
    readonly pauseMs: number;
    /** Time left until the request must have ended, in milliseconds. */
    readonly timeLeftMs: number;
    readonly readTime: () => number;
    readonly checkBeforeSend: () => boolean;
    /** The head of the answer has come: streams end long after it. */
    readonly onWords: (words: UpstreamWords) => void;
    /** The answer has begun. */
    readonly onBegin: () => void;
}

/**
 * One send of a request to one upstream. What its end proves is decided here alone:
 *
 * | what was seen | end |
 * | --- | --- |
 * | no byte written | not run |
 * | an answer that says that it was not run, or that another incarnation or adapter is there | not run |
 * | a whole answer that echoes the request's id | complete, or failed from 500 on |
 * | an answer without signature, with another id, cut short, silent; a reset; a close | broken: it may have run |
 */
export class Attempt implements ExchangeReceiver {
    readonly end: Promise<AttemptEnd>;
    private finishAttempt: (end: AttemptEnd) => void = () => {};
    private readonly exchange: Exchange;
    private readonly connection: UpstreamConnection;
    private readonly splitter = new EventSplitter();
    private readonly deadline: NodeJS.Timeout;
    private silence: NodeJS.Timeout | undefined;
    private beginTimer: NodeJS.Timeout | undefined;
    private status = 0;
    private headers: RawHeaders = [];
    private head: AnswerHead | undefined;
    private held: Buffer[] = [];
    private heldBytes = 0;
    private wasWritten = false;
    private hasBegun = false;
    private isUnframed = false;
    private isPassing = false;
    private isDone = false;

    constructor(private readonly options: AttemptOptions) {
        this.end = new Promise(resolve => {
            this.finishAttempt = resolve;
        });
        const { pool, send, upstreamId, address, caller, dialect } = options;
        this.connection = pool.claim(upstreamId, address, options.isFresh, options.readTime());
        this.exchange = new Exchange({
            connection: this.connection,
            method: caller.method,
            path: caller.path,
            headers: dialect.createHeaders(caller.headers, send),
            body: options.body,
            receiver: this,
            checkBeforeSend: () => {
                this.wasWritten = options.checkBeforeSend();
                return this.wasWritten;
            },
        });
        this.deadline = setTimeout(
            () => this.finishBroken("timeout", "the request's time is over"),
            options.timeLeftMs,
        );
        this.startSilenceTimer(options.firstByteMs);
        this.updateBeginTime();
        caller.onLeft(() => this.finish({ kind: "callerLeft" }));
        if (caller.hasLeft) {
            this.finish({ kind: "callerLeft" });
            return;
        }
        this.exchange.start();
    }

    /**
     * Looks again at how long it may take to begin: its version may have been replaced since it was sent. A plain answer does
     * not tell when it began, and may have been under way for long.
     */
    updateBeginTime(): void {
        const { route, readBeginMs } = this.options;
        if (this.isDone || this.hasBegun || route.kind !== "stream") {
            return;
        }
        clearTimeout(this.beginTimer);
        const beginMs = readBeginMs();
        if (beginMs !== Infinity) {
            this.beginTimer = setTimeout(() => this.cancelUnbegun(), Math.max(0, beginMs));
        }
    }

    receiveHead(status: number, headers: RawHeaders): void {
        const head = this.options.dialect.parseAnswer(status, headers);
        this.status = status;
        this.headers = headers;
        this.head = head;
        this.isUnframed = !hasFrame(headers);
        const { requestId, send: { upstreamName } } = this.options;
        this.options.onWords(readWords(head, { requestId, upstreamName }));
        if (head.requestId !== undefined && head.requestId !== this.options.requestId) {
            this.finishBroken("wrongAnswer", `the answer belongs to request ${head.requestId}`);
            return;
        }
        if (this.isStreaming()) {
            return;
        }
        this.startSilenceTimer(this.options.pauseMs);
    }

    receiveData(chunk: Buffer): void {
        if (this.isDone) {
            return;
        }
        if (this.isStreaming()) {
            this.receiveStreamData(chunk);
            return;
        }
        this.startSilenceTimer(this.options.pauseMs);
        if (this.isPassing) {
            this.pass(chunk);
            return;
        }
        this.held.push(chunk);
        this.heldBytes += chunk.length;
        if (this.heldBytes > maxHeldBytes && this.head?.isSigned === true && this.status < 500) {
            this.startPassing();
        }
    }

    receiveEnd(): void {
        if (this.isDone) {
            return;
        }
        const head = this.head!;
        this.options.pool.release(this.options.upstreamId, this.connection, this.options.readTime());
        if (head.isNotRun || head.isMisdirected) {
            this.finish({
                kind: "notRun",
                wasSent: true,
                isMisdirected: head.isMisdirected,
                detail: `answered ${this.status}`,
            });
            return;
        }
        if (this.isStreaming()) {
            this.finishStream();
            return;
        }
        if (!head.isSigned && this.status < 400) {
            this.finishBroken("wrongAnswer", "the answer is not signed");
            return;
        }
        this.finishPlain();
    }

    receiveBreak(phase: ExchangePhase, detail: string): void {
        if (phase === "connecting") {
            this.finish({ kind: "notRun", wasSent: false, isMisdirected: false, detail });
            return;
        }
        this.finishBroken(phase === "answering" ? "truncatedAnswer" : "connectionLost", detail);
    }

    private isStreaming(): boolean {
        const isEventStream = this.options.route.kind === "stream" && this.status === 200;
        return isEventStream && this.head?.isNotRun === false && this.head.isSigned;
    }

    private receiveStreamData(chunk: Buffer): void {
        const events = this.splitter.receive(chunk);
        if (this.splitter.isOverlong) {
            this.finishBroken("wrongAnswer", "an event has no end");
            return;
        }
        if (events.length === 0) {
            return;
        }
        this.startSilenceTimer(this.options.pauseMs);
        if (!this.hasBegun) {
            this.hasBegun = true;
            this.options.onBegin();
        }
        this.passEvents(events);
    }

    private passEvents(events: StreamEvent[]): void {
        const { caller, progress, dialect } = this.options;
        const fresh = events.filter(event => !this.isRepeated(event));
        if (fresh.length === 0) {
            return;
        }
        if (!caller.hasHead) {
            caller.startAnswer(this.status, dialect.listAnswerHeaders(this.headers), this.isUnframed);
        }
        recordProgress(progress, fresh.length, this.options.readTime());
        progress.lastEventId = fresh.at(-1)!.id ?? progress.lastEventId;
        this.pass(Buffer.concat(fresh.map(event => event.bytes)));
    }

    /** Whether the caller has an event already: a resumed stream must go on after the last one. */
    private isRepeated(event: StreamEvent): boolean {
        const last = Number(this.options.progress.lastEventId);
        return event.id !== undefined && Number.isFinite(last) && Number(event.id) <= last;
    }

    private pass(bytes: Buffer): void {
        const { caller } = this.options;
        if (!caller.pass(bytes)) {
            this.exchange.pause();
            clearTimeout(this.silence);
            caller.onDrain(() => {
                this.startSilenceTimer(this.options.pauseMs);
                this.exchange.resume();
            });
        }
    }

    private startPassing(): void {
        const { caller, dialect } = this.options;
        this.isPassing = true;
        this.options.onBegin();
        caller.startAnswer(this.status, dialect.listAnswerHeaders(this.headers), this.isUnframed);
        for (const chunk of this.held) {
            this.pass(chunk);
        }
        this.held = [];
    }

    private finishStream(): void {
        const { caller } = this.options;
        if (!this.splitter.isAtBoundary || !caller.hasHead) {
            this.finishBroken("truncatedAnswer", "the stream ended within an event");
            return;
        }
        if (this.isUnframed && !caller.hasNoFrame) {
            this.finishBroken("truncatedAnswer", "the rest of a stream ended with its connection");
            return;
        }
        caller.endAnswer();
        this.finish({ kind: "complete", status: this.status });
    }

    private finishPlain(): void {
        const { caller, dialect } = this.options;
        const body = Buffer.concat(this.held);
        if (this.status >= 500 && !this.isPassing) {
            this.finish({ kind: "failed", status: this.status, headers: this.headers, body });
            return;
        }
        if (this.isPassing) {
            caller.endAnswer();
        }
        else if (this.isUnframed) {
            caller.startAnswer(this.status, dialect.listAnswerHeaders(this.headers), true);
            caller.endAnswer(body);
        }
        else {
            caller.startAnswer(this.status, createBodyHeaders(dialect.listAnswerHeaders(this.headers), body));
            caller.endAnswer(body);
        }
        this.finish({ kind: "complete", status: this.status });
    }

    private startSilenceTimer(ms: number): void {
        clearTimeout(this.silence);
        if (!this.isDone) {
            this.silence = setTimeout(() => this.finishBroken("upstreamSilent", `nothing for ${ms} ms`), ms);
        }
    }

    /** What is not written yet is not going to be: that is checked in the step of the write. */
    private cancelUnbegun(): void {
        if (!this.hasBegun && this.wasWritten) {
            this.finishBroken("versionReplaced", "not begun before its version was replaced for good");
        }
    }

    private finishBroken(reason: BreakReason, detail: string): void {
        this.finish({ kind: "broken", reason, detail });
    }

    private finish(end: AttemptEnd): void {
        if (this.isDone) {
            return;
        }
        this.isDone = true;
        clearTimeout(this.deadline);
        clearTimeout(this.silence);
        clearTimeout(this.beginTimer);
        if (end.kind === "broken" || end.kind === "callerLeft") {
            this.exchange.cancel();
            this.connection.cancel();
        }
        this.finishAttempt(end);
    }
}

function recordProgress(progress: StreamProgress, events: number, now: number): void {
    if (progress.firstEventAt === undefined) {
        progress.firstEventAt = now;
    }
    else {
        progress.longestPauseMs = Math.max(progress.longestPauseMs, now - progress.lastEventAt);
    }
    progress.lastEventAt = now;
    progress.events += events;
}

/** Whether an answer says by itself where it ends. */
function hasFrame(headers: RawHeaders): boolean {
    return headers.some((name, index) =>
        index % 2 === 0 && (name.toLowerCase() === "content-length" || name.toLowerCase() === "transfer-encoding")
    );
}

/** Headers of an answer whose body is sent in one piece. */
export function createBodyHeaders(headers: readonly string[], body: Buffer): string[] {
    const kept = [...headers];
    for (let index = kept.length - 2; index >= 0; index -= 2) {
        if (kept[index]!.toLowerCase() === "content-length") {
            kept.splice(index, 2);
        }
    }
    return [...kept, "Content-Length", String(body.length)];
}
