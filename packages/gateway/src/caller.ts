import { createProblem, type FailureVerdict, problemMediaType, type Verdict } from "@radishreel/verdict";
import type { ServerResponse } from "node:http";

/** Content types that the gateway itself sends. */
export const jsonMediaType = "application/json";

/** Seconds after which a caller may ask what became of a request that may have run. */
export const askAgainSeconds = 1;

/** An answer that is kept aside while it is sent. */
export interface CapturedAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: Buffer;
}

/** Options of {@link CallerAnswer}. */
export interface CallerAnswerOptions {
    readonly response: ServerResponse;
    /** Most bytes of the answer that are captured; 0 captures nothing. */
    readonly captureBytes: number;
    /** Asks the caller to open another connection, since this process is stopping. */
    readonly closesConnection: boolean;
}

/** The answer to one caller. Whatever is sent is either whole or visibly broken. */
export class CallerAnswer {
    private readonly response: ServerResponse;
    private readonly captured: Buffer[] = [];
    private capturedLength = 0;
    private status = 0;
    private contentType = "";
    private isEnded = false;

    constructor(private readonly options: CallerAnswerOptions) {
        this.response = options.response;
        if (options.closesConnection) {
            this.response.setHeader("connection", "close");
        }
    }

    get hasBegun(): boolean {
        return this.status !== 0;
    }

    /** Calls back once if the caller goes away, or is given up, before the end. */
    onGone(listener: () => void): void {
        this.response.once("close", () => {
            if (!this.isEnded) {
                listener();
            }
        });
    }

    /** Calls back whenever the caller has read what was buffered. */
    onDrain(listener: () => void): void {
        this.response.on("drain", listener);
    }

    begin(status: number, headers: Record<string, string>): void {
        this.status = status;
        this.contentType = headers["content-type"] ?? "";
        this.response.writeHead(status, headers);
    }

    /** Sends bytes on. Returns false when the caller reads too slowly and the upstream should pause. */
    write(chunk: Buffer): boolean {
        this.recordCaptured(chunk);
        return this.response.destroyed || this.response.write(chunk);
    }

    /** Ends a whole answer. */
    end(): void {
        this.isEnded = true;
        this.response.end();
    }

    /** Breaks an answer off in a way that cannot be taken for its end. */
    cancel(): void {
        this.response.destroy();
    }

    /** Sends a whole answer at once. */
    send(status: number, contentType: string, body: Buffer | string): void {
        this.begin(status, { "content-type": contentType, "content-length": String(Buffer.byteLength(body)) });
        this.isEnded = true;
        this.response.end(body);
    }

    /** Tells the caller how its request ended, and returns it; an answer that has begun is broken off. */
    sendFailure(verdict: FailureVerdict): FailureVerdict {
        if (this.hasBegun || this.response.destroyed) {
            this.cancel();
            return verdict;
        }
        const problem = createProblem(verdict);
        if (problem.retryAfterSeconds !== undefined) {
            this.response.setHeader("retry-after", String(problem.retryAfterSeconds));
        }
        this.send(problem.status, problemMediaType, JSON.stringify(problem) + "\n");
        return verdict;
    }

    /** Finishes the answer as `verdict` says. */
    finish(verdict: Verdict): void {
        if (verdict.kind === "complete") {
            this.end();
            return;
        }
        this.sendFailure(verdict);
    }

    /** The answer that was sent; undefined if it was too large to keep. */
    readCaptured(): CapturedAnswer | undefined {
        if (this.capturedLength > this.options.captureBytes) {
            return undefined;
        }
        return { status: this.status, contentType: this.contentType, body: Buffer.concat(this.captured) };
    }

    private recordCaptured(chunk: Buffer): void {
        if (this.options.captureBytes === 0 || this.capturedLength > this.options.captureBytes) {
            return;
        }
        this.capturedLength += chunk.length;
        if (this.capturedLength > this.options.captureBytes) {
            this.captured.length = 0;
            return;
        }
        this.captured.push(chunk);
    }
}
