import { createMayHaveRun, createNotRun, type Reason, type Verdict } from "@radishreel/verdict";
import type { IncomingHttpHeaders } from "node:http";
import { notRunHeader } from "./completion.js";
import {
    type Attempt,
    createBreakVerdict,
    type Exchange,
    type ExchangeEnd,
    type UpstreamConnections,
} from "./exchange.js";

/** Receives the response to a service call. */
export interface CallReceiver {
    receiveHead(status: number, headers: IncomingHttpHeaders): void;
    receiveData(chunk: Buffer): void;
}

/** A call of a plain service. */
export interface CallOptions {
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Record<string, string>;
    readonly body: Buffer | undefined;
    /** Longest time without any byte from the service, in milliseconds. */
    readonly silenceMs: number;
    readonly receiver: CallReceiver;
}

/** How a call ended. `isLeaving`: the service reported that it is leaving. */
export interface CallEnd {
    readonly verdict: Exclude<Verdict, { kind: "refused"; }>;
    readonly isLeaving: boolean;
}

/** A call in progress. */
export type Call = Attempt<CallEnd>;

/** Calls plain services. */
export interface ServiceClient {
    open(options: CallOptions): Call;
}

/** Calls plain services over HTTP. A response that arrives in full completes the call, whatever its status. */
export class HttpServiceClient implements ServiceClient {
    constructor(private readonly connections: UpstreamConnections) {}

    open(options: CallOptions): Call {
        return new HttpCall(this.connections, options);
    }
}

class HttpCall implements Call {
    readonly end: Promise<CallEnd>;
    private readonly exchange: Exchange;
    private isRefused = false;
    private isLeaving = false;
    private missingBytes = 0;

    constructor(connections: UpstreamConnections, private readonly options: CallOptions) {
        const { receiver: _receiver, ...rest } = options;
        this.exchange = connections.open({
            ...rest,
            receiver: {
                receiveHead: (status, headers) => this.receiveHead(status, headers),
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

    private receiveHead(status: number, headers: IncomingHttpHeaders): void {
        this.isLeaving = headers["x-upstream-state"] === "leaving";
        this.isRefused = headers[notRunHeader] === "1";
        // Responses to HEAD, 204 and 304 have no body, but may declare the content-length of a GET response.
        const hasBody = this.options.method !== "HEAD" && status !== 204 && status !== 304;
        this.missingBytes = hasBody ? Number(headers["content-length"] ?? 0) : 0;
        if (!this.isRefused) {
            this.options.receiver.receiveHead(status, headers);
        }
    }

    private receiveData(chunk: Buffer): void {
        this.missingBytes -= chunk.length;
        if (!this.isRefused) {
            this.options.receiver.receiveData(chunk);
        }
    }

    private createEnd(end: ExchangeEnd): CallEnd {
        const { isLeaving } = this;
        if (end.kind === "broken") {
            return { verdict: createBreakVerdict(end.phase, end.reason, end.detail), isLeaving };
        }
        if (this.isRefused) {
            return { verdict: createNotRun("upstreamRefused", "the service refused before acting"), isLeaving };
        }
        if (this.missingBytes > 0) {
            return {
                verdict: createMayHaveRun("truncatedAnswer", "the service's answer is shorter than it says"),
                isLeaving,
            };
        }
        return { verdict: { kind: "complete" }, isLeaving };
    }
}
