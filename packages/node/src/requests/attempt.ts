import { type Route } from "@radishreel/routing";
import { scheduleAfterReads, type ScheduledRun } from "../clock.js";
import { stableRunMs } from "../crashes/index.js";
import type { RawHeaders, RequestDialect, ResponseHead, SendOptions } from "../ports.js";
import type { AttemptEnd, BreakReason } from "./attemptend.js";
import { BufferedBody, readBodyLimitMs } from "./body.js";
import type { CallerExchange } from "./caller.js";
import type { ConnectionPool } from "./connectionpool.js";
import type { UpstreamConnection } from "./connections.js";
import { EventSplitter, type StreamEvent } from "./events.js";
import { Exchange, type ExchangeOptions, type ExchangePhase, type ExchangeReceiver } from "./exchange.js";
import { readResponseMetadata, type ResponseMetadata } from "./metadata.js";
import { recordProgress, type StreamProgress } from "./progress.js";
import { createBodyHeaders, createStreamHeaders, isEndedByClose } from "./responseheaders.js";
import { SilenceWatch } from "./silence.js";
import type { SilenceLimits } from "./timelimit.js";

/**
 * Longest pause between two events that counts towards the time for which a stream has gone on, in milliseconds. Events
 * that arrived while this process was suspended may be older than the end of their upstream.
 */
const maxCountedPauseMs = 50;

/** Options of {@link Attempt}. */
export interface AttemptOptions extends Pick<ExchangeOptions, "body" | "checkWanted"> {
    readonly caller: CallerExchange;
    readonly requestId: string | undefined;
    readonly route: Route;
    readonly dialect: RequestDialect;
    readonly pool: ConnectionPool;
    /** Id of the upstream incarnation that the request is sent to. */
    readonly upstreamId: string;
    readonly address: string;
    readonly send: SendOptions;
    /** Whether the attempt must use a new connection. */
    readonly isFresh: boolean;
    readonly progress: StreamProgress;
    /** Times without progress after which the upstream counts as silent, which alone does not end the attempt. */
    readonly silenceLimits: SilenceLimits;
    /** Whether the caller receives a failure of this attempt, since no other attempt may follow. @default false */
    readonly isLast?: boolean | undefined;
    /** Time left for a stream to start, in milliseconds; infinite for the newest version of an adapter. */
    readonly readStartLimitMs: () => number;
    /** Time left until the deadline of the request, in milliseconds. */
    readonly timeLeftMs: number;
    readonly readTime: () => number;
    readonly checkBeforeSend: () => boolean;
    /**
     * Called before the caller receives anything of this attempt, for streams at their head. Ends the one it replaces.
     * @returns Whether this attempt may go on: false if the other one has. @default it may
     */
    readonly takeOver?: (() => boolean) | undefined;
    /** Called when the caller does not read fast enough, so that the upstream has to wait, and when it reads again. */
    readonly onPaused?: ((isPaused: boolean) => void) | undefined;
    /** Called when the head of the response arrives, which for streams is long before their end. */
    readonly onMetadata: (metadata: ResponseMetadata) => void;
    /**
     * Called before the first event of this attempt is sent to the caller.
     * @returns Whether events of this upstream may be sent.
     */
    readonly checkFirstEvent?: (() => boolean) | undefined;
    /** Called when the first event of a stream arrives, or when a large plain response starts to be streamed. */
    readonly onStart: () => void;
    /** Called with the time when the response makes progress. */
    readonly onData?: ((now: number) => void) | undefined;
    /** Checks whether the process of the upstream may have ended. @default nothing is checked */
    readonly checkEnded?: (() => Promise<boolean>) | undefined;
    /** Called when a stream has gone on for {@link stableRunMs}. */
    readonly onStable?: (() => void) | undefined;
}

/**
 * One attempt to send a request to one upstream. This class alone decides what the end of an attempt proves:
 *
 * | observation | end |
 * | --- | --- |
 * | no byte was written | not run |
 * | the request cannot be written as HTTP | invalid: not run |
 * | a response that says that the request was not run, or that another incarnation or adapter is there | not run |
 * | any other failure whose body has no end | failed, without the body |
 * | other bytes without end that bring the response no closer to its own | broken: it may have run |
 * | a complete response that echoes the request's id | complete, or failed from status 500 on |
 * | a response that is unsigned, truncated or has another id; a reset; a close | broken: it may have run |
 * | nothing: the upstream is silent | none, until another attempt goes on in its place or the deadline passes |
 * | the attempt that this one would have replaced goes on | superseded: it may have run if it was written |
 */
export class Attempt implements ExchangeReceiver {
    readonly end: Promise<AttemptEnd>;
    /** Resolves once the request is written, or the attempt has ended without that, with whether it was written. */
    readonly written: Promise<boolean>;
    readonly silence = new SilenceWatch();
    private resolveEnd: (end: AttemptEnd) => void = () => {};
    private resolveWritten: (wasWritten: boolean) => void = () => {};
    private readonly exchange: Exchange;
    private readonly connection: UpstreamConnection;
    private readonly splitter = new EventSplitter();
    private readonly deadlineTimer: ScheduledRun;
    private startLimitTimer: ScheduledRun | undefined;
    private status = 0;
    private headers: RawHeaders = [];
    private head: ResponseHead | undefined;
    private readonly body = new BufferedBody();
    private bodyTimer: ScheduledRun | undefined;
    private wasWritten = false;
    private streamedMs: number | undefined;
    private lastEventAt = 0;
    private hasPassedEvents = false;
    private isCloseDelimited = false;
    private isPassing = false;
    /** Whether the upstream waits for the caller to read, which one drain listener ends. */
    private isPaused = false;
    private hasTakenOver = false;
    private ended: AttemptEnd | undefined;
    private dataAt: number | undefined;
    private longestSilence = 0;

    constructor(private readonly options: AttemptOptions) {
        this.end = new Promise(resolve => {
            this.resolveEnd = resolve;
        });
        this.written = new Promise(resolve => {
            this.resolveWritten = resolve;
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
            checkWanted: options.checkWanted,
            checkBeforeSend: () => {
                this.wasWritten = options.checkBeforeSend();
                this.dataAt = this.wasWritten ? options.readTime() : undefined;
                this.resolveWritten(this.wasWritten);
                if (this.wasWritten) {
                    this.silence.restart(options.silenceLimits.firstMs);
                }
                return this.wasWritten;
            },
        });
        this.deadlineTimer = scheduleAfterReads(
            () => this.finishBroken("timeout", "the request's deadline has passed"),
            options.timeLeftMs,
        );
        this.updateStartLimit();
        caller.onLeft(() => this.finish({ kind: "callerLeft" }));
        if (caller.hasLeft) {
            this.finish({ kind: "callerLeft" });
            return;
        }
        this.exchange.start();
    }

    /** VM that carries the connection; undefined for a direct one. */
    get via(): string | undefined {
        return this.connection.via;
    }

    /** Time for which events of a stream have arrived, in milliseconds; undefined before the first. */
    get answeringMs(): number | undefined {
        return this.streamedMs;
    }

    /** Longest time without data from the upstream since the request was written, in milliseconds. */
    get longestSilenceMs(): number {
        return this.longestSilence;
    }

    /** Whether an event of a stream has arrived. */
    private get hasStarted(): boolean {
        return this.streamedMs !== undefined;
    }

    /** Whether another upstream could still serve the request: the caller has no part of a plain response. */
    get isReplaceable(): boolean {
        return !this.isPassing;
    }

    private get isDone(): boolean {
        return this.ended !== undefined;
    }

    /** Whether the attempt has ended, and whether it was broken; undefined while it runs. */
    get ending(): "broken" | "other" | undefined {
        return this.ended === undefined ? undefined : this.ended.kind === "broken" ? "broken" : "other";
    }

    /** Whether the request has been written. */
    get isWritten(): boolean {
        return this.wasWritten;
    }

    /**
     * Ends the attempt in favour of another one.
     * @returns Whether the other attempt may go on: this one is broken, by this call or before.
     */
    endReplaced(): boolean {
        if (!this.isDone) {
            const silentMs = Math.round(this.options.readTime() - (this.dataAt ?? 0));
            this.finishBroken("upstreamSilent", `no data for ${silentMs} ms`);
        }
        return this.ending === "broken";
    }

    /** Cancels the attempt, since the one that it would have replaced goes on. */
    cancelSuperseded(): void {
        if (!this.hasTakenOver) {
            this.finish({ kind: "superseded", wasSent: this.wasWritten });
        }
    }

    /** Cancels an attempt whose request was quarantined, unless its response has started. */
    cancelQuarantined(): void {
        if (!this.isDone && this.wasWritten && this.status === 0) {
            this.finishBroken("quarantined", "the request was quarantined before its response started");
        }
    }

    /**
     * Updates the time limit for the start of a stream: its adapter version may have been replaced since the request was
     * sent. Plain requests have none: their responses don't show when the engine started to run them.
     */
    updateStartLimit(): void {
        const { route, readStartLimitMs } = this.options;
        if (this.isDone || this.hasStarted || route.kind !== "stream") {
            return;
        }
        this.startLimitTimer?.cancel();
        const startLimitMs = readStartLimitMs();
        if (startLimitMs !== Infinity) {
            this.startLimitTimer = scheduleAfterReads(() => this.cancelUnstarted(), Math.max(0, startLimitMs));
        }
    }

    receiveHead(status: number, headers: RawHeaders): void {
        this.recordData();
        const head = this.options.dialect.parseResponse(status, headers);
        this.status = status;
        this.headers = headers;
        this.head = head;
        this.isCloseDelimited = isEndedByClose(this.options.caller.method, status, headers);
        const { requestId, send: { upstreamName } } = this.options;
        this.options.onMetadata(readResponseMetadata(head, { requestId, upstreamName }));
        if (head.requestId !== undefined && head.requestId !== this.options.requestId) {
            this.finishBroken("wrongAnswer", `the response belongs to request ${head.requestId}`);
            return;
        }
        if (this.isStreaming()) {
            this.silence.restart(this.options.silenceLimits.firstMs);
            this.beginResponse();
            return;
        }
        this.restartSilence();
        const bodyLimitMs = readBodyLimitMs(status, head.isNotRun);
        if (bodyLimitMs !== Infinity && !this.mayPassPart()) {
            this.bodyTimer = scheduleAfterReads(() => this.finishWithoutBody(), bodyLimitMs);
        }
    }

    receiveData(chunk: Buffer): void {
        if (this.isDone) {
            return;
        }
        if (this.isStreaming()) {
            this.receiveStreamData(chunk);
            return;
        }
        if (this.body.recordData(chunk.length)) {
            this.recordData();
            this.restartSilence();
        }
        if (this.isPassing && this.status >= 500 && this.body.isTooLongForFailure) {
            this.finishBroken("wrongAnswer", "the body of a failure exceeds the maximum size");
            return;
        }
        if (this.isPassing) {
            this.pass(chunk);
            return;
        }
        this.body.push(chunk);
        if (!this.body.isTooLong) {
            return;
        }
        if (this.mayPassPart()) {
            this.startPassing();
        }
        else {
            this.finishWithoutBody();
        }
    }

    /** Whether the caller may receive a part of a plain response before the response is complete. */
    private mayPassPart(): boolean {
        const { caller, isLast = false } = this.options;
        const { isSigned = false, isNotRun = false } = this.head ?? {};
        return isSigned && !isNotRun && !caller.hasResponseHead && (this.status < 500 || isLast);
    }

    /** Ends an attempt by the head of its response, since the body does not end. */
    private finishWithoutBody(): void {
        const detail = `the response with status ${this.status} does not end`;
        const { isNotRun, isMisdirected } = this.head!;
        if (isNotRun) {
            this.finish({ kind: "notRun", wasSent: true, isMisdirected, detail, wasCut: true });
        }
        else if (this.status >= 500) {
            this.finish({ kind: "failed", status: this.status, headers: this.headers, body: undefined });
        }
        else {
            this.finishBroken("wrongAnswer", detail);
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
                detail: `responded with status ${this.status}`,
            });
            return;
        }
        if (this.isCloseDelimited) {
            void this.finishUnframed();
            return;
        }
        this.finishResponse();
    }

    /** Finishes a response whose end is marked only by the close of its connection, unless that may show a failure. */
    private async finishUnframed(): Promise<void> {
        if (this.connection.via !== undefined) {
            // The VM that carries the connection may have ended, which looks like the end of the response.
            this.finishBroken("truncatedAnswer", "the end of a tunnelled response is marked only by its close");
            return;
        }
        this.silence.pause();
        const mayHaveEnded = await this.options.checkEnded?.() === true;
        if (this.isDone) {
            return;
        }
        if (mayHaveEnded) {
            this.finishBroken("truncatedAnswer", "the upstream may have ended with the connection");
            return;
        }
        this.finishResponse();
    }

    private finishResponse(): void {
        if (this.isStreaming()) {
            this.finishStream();
            return;
        }
        if (this.options.caller.hasResponseHead && !this.isPassing && this.status < 500) {
            this.finishBroken("wrongAnswer", "the response does not continue the stream");
            return;
        }
        if (!this.head!.isSigned && this.status < 400) {
            this.finishBroken("wrongAnswer", "the response is not signed");
            return;
        }
        this.finishPlain();
    }

    receiveBreak(phase: ExchangePhase, detail: string): void {
        if (phase === "invalid") {
            this.finish({ kind: "invalid", detail });
            return;
        }
        if (phase === "wrongAnswer") {
            this.finishBroken("wrongAnswer", detail);
            return;
        }
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
        if (this.splitter.isTooLong) {
            this.finishBroken("wrongAnswer", "an event, or what comes between two events, exceeds the maximum size");
            return;
        }
        if (events.length === 0) {
            return;
        }
        if (events.some(({ isNew }) => isNew)) {
            this.recordData();
            this.restartSilence();
        }
        if (!this.hasStarted) {
            this.options.onStart();
        }
        this.recordStreamed(this.options.readTime());
        this.passEvents(events);
    }

    /** Records that the response made progress. */
    private recordData(): void {
        const now = this.options.readTime();
        this.recordSilence(now);
        this.dataAt = now;
        this.options.onData?.(now);
    }

    private recordSilence(now: number): void {
        this.longestSilence = Math.max(this.longestSilence, now - (this.dataAt ?? now));
    }

    /** Records that events arrived. */
    private recordStreamed(now: number): void {
        const before = this.streamedMs;
        const sinceLast = before === undefined ? 0 : Math.min(now - this.lastEventAt, maxCountedPauseMs);
        this.streamedMs = (before ?? 0) + sinceLast;
        this.lastEventAt = now;
        if ((before ?? 0) < stableRunMs && this.streamedMs >= stableRunMs) {
            this.options.onStable?.();
        }
    }

    private passEvents(events: StreamEvent[]): void {
        const { caller, progress, dialect } = this.options;
        const fresh = events.filter(event => !this.isRepeated(event));
        if (fresh.length === 0) {
            return;
        }
        if (!this.hasPassedEvents && this.options.checkFirstEvent?.() === false) {
            this.finishBroken("upstreamReplaced", "another incarnation of the upstream has registered");
            return;
        }
        this.hasPassedEvents = true;
        if (!caller.hasResponseHead) {
            caller.startResponse(this.status, createStreamHeaders(dialect.listResponseHeaders(this.headers)));
        }
        recordProgress(progress, fresh.length, this.options.readTime());
        progress.lastEventId = fresh.at(-1)!.id ?? progress.lastEventId;
        this.pass(Buffer.concat(fresh.map(event => event.bytes)));
    }

    /** Whether an event was already sent to the caller. A resumed stream must continue after the last event sent. */
    private isRepeated(event: StreamEvent): boolean {
        const last = Number(this.options.progress.lastEventId);
        return event.id !== undefined && Number.isFinite(last) && Number(event.id) <= last;
    }

    private pass(bytes: Buffer): void {
        const { caller } = this.options;
        if (caller.pass(bytes) || this.isPaused) {
            return;
        }
        this.isPaused = true;
        this.exchange.pause();
        this.silence.pause();
        this.options.onPaused?.(true);
        caller.onDrain(() => this.resume());
    }

    /** Reads on, since the caller has read what was written. */
    private resume(): void {
        this.isPaused = false;
        if (this.isDone) {
            return;
        }
        this.options.onPaused?.(false);
        this.restartSilence();
        this.exchange.resume();
    }

    /** Makes this attempt the one that the caller receives. @returns Whether it still runs. */
    private beginResponse(): boolean {
        if (!this.hasTakenOver && this.options.takeOver?.() === false) {
            this.cancelSuperseded();
            return false;
        }
        this.hasTakenOver = true;
        return true;
    }

    private startPassing(): void {
        if (!this.beginResponse()) {
            return;
        }
        const { caller, dialect } = this.options;
        this.isPassing = true;
        this.options.onStart();
        caller.startResponse(this.status, dialect.listResponseHeaders(this.headers));
        this.pass(this.body.popAll());
    }

    private finishStream(): void {
        const { caller } = this.options;
        if (!this.splitter.isAtBoundary || !caller.hasResponseHead) {
            this.finishBroken("truncatedAnswer", "the stream ended before its first event or within an event");
            return;
        }
        caller.endResponse();
        this.finish({ kind: "complete", status: this.status, isCloseDelimited: this.isCloseDelimited });
    }

    private finishPlain(): void {
        const { caller, dialect } = this.options;
        const body = this.body.popAll();
        if (this.status >= 500 && !this.isPassing) {
            this.finish({ kind: "failed", status: this.status, headers: this.headers, body });
            return;
        }
        if (!this.beginResponse()) {
            return;
        }
        if (this.isPassing) {
            caller.endResponse();
        }
        else if (this.isCloseDelimited) {
            caller.startResponse(this.status, dialect.listResponseHeaders(this.headers), true);
            caller.endResponse(body);
        }
        else {
            caller.startResponse(this.status, createBodyHeaders(dialect.listResponseHeaders(this.headers), body));
            caller.endResponse(body);
        }
        this.finish({ kind: "complete", status: this.status, isCloseDelimited: this.isCloseDelimited });
    }

    private restartSilence(): void {
        if (!this.isPaused) {
            this.silence.restart(this.options.silenceLimits.nextMs);
        }
    }

    /** Cancels an attempt that was written. An unwritten request is withheld by the check in the step of the write. */
    private cancelUnstarted(): void {
        if (!this.hasStarted && this.wasWritten) {
            this.finishBroken(
                "versionReplaced",
                "the stream did not start before its replaced adapter version expired",
            );
        }
    }

    private finishBroken(reason: BreakReason, detail: string): void {
        this.finish({ kind: "broken", reason, detail });
    }

    private finish(end: AttemptEnd): void {
        if (this.isDone) {
            return;
        }
        this.ended = end;
        this.recordSilence(this.options.readTime());
        this.deadlineTimer.cancel();
        this.startLimitTimer?.cancel();
        this.bodyTimer?.cancel();
        this.body.close();
        this.splitter.close();
        this.silence.end();
        this.resolveWritten(this.wasWritten);
        this.exchange.cancel();
        if (end.kind === "broken" || end.kind === "callerLeft" || end.kind === "superseded") {
            this.connection.cancel();
        }
        this.resolveEnd(end);
    }
}
