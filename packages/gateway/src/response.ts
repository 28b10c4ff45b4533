import { createProblem, type FailureVerdict, problemMediaType, type Verdict } from "@radishreel/verdict";
import type { ServerResponse } from "node:http";

/** Content type of the gateway's own responses. */
export const jsonMediaType = "application/json";

/** `Retry-After` for a request that may have run, in seconds: the caller may then ask for its outcome. */
export const outcomeRetrySeconds = 1;

/** Copy of a response that was sent. */
export interface CapturedResponse {
    readonly status: number;
    readonly contentType: string;
    readonly body: Buffer;
}

/** Options of {@link CallerResponse}. */
export interface CallerResponseOptions {
    readonly response: ServerResponse;
    /** Maximum size of a response that is captured, in bytes; 0 captures nothing. */
    readonly captureBytes: number;
    /** Whether to ask the caller to close its connection, because this process is stopping. */
    readonly closesConnection: boolean;
}

/** The response to one caller. A response that cannot be completed is aborted, so that it never looks complete. */
export class CallerResponse {
    private readonly response: ServerResponse;
    private readonly captured: Buffer[] = [];
    private capturedLength = 0;
    private status = 0;
    private contentType = "";
    private isEnded = false;

    constructor(private readonly options: CallerResponseOptions) {
        this.response = options.response;
        if (options.closesConnection) {
            this.response.setHeader("connection", "close");
        }
    }

    get hasStarted(): boolean {
        return this.status !== 0;
    }

    /** Calls the listener once if the connection closes before the response ends. */
    onDisconnect(listener: () => void): void {
        this.response.once("close", () => {
            if (!this.isEnded) {
                listener();
            }
        });
    }

    /** Calls the listener whenever the buffered bytes have been sent to the caller. */
    onDrain(listener: () => void): void {
        this.response.on("drain", listener);
    }

    begin(status: number, headers: Record<string, string>): void {
        this.status = status;
        this.contentType = headers["content-type"] ?? "";
        if (!this.response.req.complete) {
            // The rest of the body is not read, so the connection cannot carry another request.
            this.response.setHeader("connection", "close");
        }
        this.response.writeHead(status, headers);
    }

    /** Writes bytes. Returns false if the caller reads too slowly and the upstream should pause. */
    write(chunk: Buffer): boolean {
        this.recordCaptured(chunk);
        return this.response.destroyed || this.response.write(chunk);
    }

    /** Ends a complete response. */
    end(): void {
        this.isEnded = true;
        this.response.end();
    }

    /** Aborts the connection, so that the caller cannot take the response for complete. */
    cancel(): void {
        this.response.destroy();
    }

    /** Sends a complete response. */
    send(status: number, contentType: string, body: Buffer | string): void {
        this.begin(status, { "content-type": contentType, "content-length": String(Buffer.byteLength(body)) });
        this.isEnded = true;
        this.response.end(body);
    }

    /** Sends a failure to the caller and returns its verdict; a response that has started is aborted. */
    sendFailure(verdict: FailureVerdict): FailureVerdict {
        if (this.hasStarted || this.response.destroyed) {
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

    /** Ends the response, or sends the failure in `verdict`. */
    finish(verdict: Verdict): void {
        if (verdict.kind === "complete") {
            this.end();
            return;
        }
        this.sendFailure(verdict);
    }

    /** Returns the response that was sent, or undefined if it was too large to store. */
    readCaptured(): CapturedResponse | undefined {
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
