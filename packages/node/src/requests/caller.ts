import type { IncomingMessage, ServerResponse } from "node:http";
import type { RawHeaders } from "../ports.js";

/** Why this program ends a request itself. Each is a label of the counters. */
export type RefusalReason =
    | "noConfiguration"
    | "unknownRoute"
    | "unknownService"
    | "bodyTooLarge"
    | "noUpstream"
    | "upstreamsBusy"
    | "enginesFull"
    /** All upstreams have asked this VM for rest, for longer than the request can wait. */
    | "upstreamsRest"
    | "retryBudgetSpent"
    | "attemptsSpent"
    /** Each upstream that ran it has ended. */
    | "endsUpstreams"
    /** No account of the configuration in force has its key. */
    | "unknownKey"
    /** The configuration was last known to be the newest too long ago to tell whether its key still counts. */
    | "configurationOld"
    /** Its account is over its limit. */
    | "quotaSpent"
    /** No coordinator could be asked what is left of its account's quota, or it cannot know. */
    | "quotaUnknown"
    | "timeout"
    | "connectionLost"
    | "upstreamSilent"
    | "versionReplaced"
    | "wrongAnswer"
    | "truncatedAnswer";

/** An answer of this program's own. */
export interface OwnAnswer {
    readonly status: number;
    readonly reason: RefusalReason;
    /** Seconds after which asking again may help. */
    readonly retryAfterSeconds?: number;
    /** What else the log says of it. */
    readonly detail?: object;
}

/** One request of a caller: its body, its answer, and whether the caller is still there. */
export class CallerExchange {
    /** Resolves when the caller leaves. */
    readonly left: Promise<undefined>;
    private readonly leftListeners: (() => void)[] = [];
    private isLeft = false;
    private isUnframed = false;
    /** Parts of an upstream's answer that were written to this caller, and their bytes. */
    partsPassed = 0;
    bytesPassed = 0;

    constructor(
        readonly request: IncomingMessage,
        private readonly response: ServerResponse,
    ) {
        this.left = new Promise(resolve => this.leftListeners.push(() => resolve(undefined)));
        response.on("close", () => this.receiveClose());
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

    /** Whether the caller closed its connection before its answer was complete. */
    get hasLeft(): boolean {
        return this.isLeft;
    }

    /** Whether a part of an answer has been written. */
    get hasHead(): boolean {
        return this.response.headersSent;
    }

    /** Whether the answer ends with its connection. */
    get hasNoFrame(): boolean {
        return this.isUnframed;
    }

    /** Called once when the caller leaves. */
    onLeft(listener: () => void): void {
        this.leftListeners.push(listener);
    }

    /** Reads the whole body; undefined if it is longer than allowed or the caller left. */
    async readBody(maxBytes: number): Promise<Buffer | undefined> {
        const chunks: Buffer[] = [];
        let length = 0;
        try {
            for await (const chunk of this.request) {
                length += (chunk as Buffer).length;
                if (length > maxBytes) {
                    return undefined;
                }
                chunks.push(chunk as Buffer);
            }
        }
        catch {
            // The caller broke off; its close is reported by itself.
            return undefined;
        }
        return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
    }

    /** Makes this the last answer on its connection, also where its head has been written already. */
    closeAfterAnswer(): void {
        if (!this.response.headersSent) {
            this.response.shouldKeepAlive = false;
            return;
        }
        const { socket } = this.request;
        this.response.once("finish", () => socket.end());
    }

    /**
     * Writes the head of an upstream's answer.
     * @param isUnframed Whether the answer has no length and ends with its connection. Nobody can tell a whole one from
     * one that was cut short, so the caller gets it in the same form: this program must not vouch for its end.
     */
    startAnswer(status: number, headers: readonly string[], isUnframed = false): void {
        if (this.isLeft) {
            return;
        }
        if (isUnframed) {
            this.response.shouldKeepAlive = false;
            this.response.removeHeader("Transfer-Encoding");
        }
        this.isUnframed = isUnframed;
        this.response.writeHead(status, headers as string[]);
    }

    /** Writes a part of an upstream's answer. @returns False if the caller reads too slowly for more. */
    pass(bytes: Buffer): boolean {
        if (this.isLeft) {
            return true;
        }
        this.partsPassed += 1;
        this.bytesPassed += bytes.length;
        return this.response.write(bytes);
    }

    /** Calls back once the caller has read what was written. */
    onDrain(listener: () => void): void {
        this.response.once("drain", listener);
    }

    /** Completes an upstream's answer. */
    endAnswer(bytes?: Buffer): void {
        this.response.end(bytes);
    }

    /** Breaks off an answer that has begun, so that it cannot look complete. */
    cancelAnswer(): void {
        this.response.destroy();
    }

    /** Answers by itself; breaks the answer off if one has begun. */
    refuse(answer: OwnAnswer): void {
        if (this.hasHead) {
            this.cancelAnswer();
            return;
        }
        const text = JSON.stringify({ status: answer.status, reason: answer.reason });
        const headers = ["Content-Type", "application/problem+json", "Content-Length", String(Buffer.byteLength(text))];
        if (answer.retryAfterSeconds !== undefined) {
            headers.push("Retry-After", answer.retryAfterSeconds.toFixed(2));
        }
        if (!this.request.complete) {
            // The rest of the body is not read: the connection cannot carry another request.
            this.response.shouldKeepAlive = false;
        }
        this.startAnswer(answer.status, headers);
        this.endAnswer(Buffer.from(text));
    }

    private receiveClose(): void {
        if (this.response.writableFinished || this.isLeft) {
            return;
        }
        this.isLeft = true;
        for (const listener of this.leftListeners) {
            listener();
        }
    }
}
