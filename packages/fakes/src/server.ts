import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import { type FaultRule, faultRuleSchema, FaultTable } from "./faults.js";
import { FakeListener, readBody } from "./listener.js";

/** One request at a fake, read whole. */
export interface FakeRequest {
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
}

/** Answer of a fake. */
export interface FakeAnswer {
    readonly status: number;
    readonly headers?: Record<string, string>;
    readonly body: unknown;
}

/** Base of the fakes: a listener with a fault table that `PUT /faults` replaces. */
export abstract class FakeServer extends FakeListener {
    readonly faults = new FaultTable();

    /** Names the operation of a request for the fault table. */
    protected abstract findOperation(request: FakeRequest): string;

    /** Acts on a request. Undefined where it has answered by itself. */
    protected abstract run(
        request: FakeRequest,
        response: ServerResponse,
        fault: FaultRule | undefined,
    ): Promise<FakeAnswer | undefined>;

    protected override async receive(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(incoming.url ?? "/", "http://fake");
        const request: FakeRequest = {
            method: incoming.method ?? "GET",
            path: url.pathname,
            query: url.searchParams,
            headers: incoming.headers,
            body: await readBody(incoming).then(bytes => bytes.toString("utf8")).catch(() => ""),
        };
        if (request.method === "PUT" && request.path === "/faults") {
            this.faults.setRules(z.array(faultRuleSchema).parse(JSON.parse(request.body)));
            sendAnswer(response, { status: 200, body: {} });
            return;
        }
        await this.receiveOperation(request, response);
    }

    private async receiveOperation(request: FakeRequest, response: ServerResponse): Promise<void> {
        const fault = this.faults.findFault(this.findOperation(request));
        switch (fault?.action) {
            case "delay":
                await sleep(fault.delayMs);
                break;
            case "refuse":
                sendAnswer(response, {
                    status: 503,
                    headers: { "x-not-run": "1" },
                    body: { error: { code: "refused" } },
                });
                return;
            case "dropBefore":
                response.socket?.destroy();
                return;
            case "silentBefore":
                return;
            default:
        }
        const answer = await this.run(request, response, fault);
        if (answer === undefined) {
            return;
        }
        this.sendWithFault(response, answer, fault);
    }

    private sendWithFault(response: ServerResponse, answer: FakeAnswer, fault: FaultRule | undefined): void {
        switch (fault?.action) {
            case "loseAnswer":
                response.socket?.destroy();
                return;
            case "silent":
                return;
            case "fail":
                sendAnswer(response, { status: 500, body: { error: { code: "failed" } } });
                return;
            case "truncate": {
                const text = formatBody(answer.body);
                response.writeHead(answer.status, { ...answer.headers, "content-length": Buffer.byteLength(text) });
                response.write(Buffer.from(text).subarray(0, fault.bytes), () => response.socket?.destroy());
                return;
            }
            case "cleanTruncate": {
                const text = Buffer.from(formatBody(answer.body)).subarray(0, fault.bytes);
                response.writeHead(answer.status, { "content-type": "application/json", ...answer.headers });
                response.end(text);
                return;
            }
            default:
                sendAnswer(response, answer);
        }
    }
}

function formatBody(body: unknown): string {
    return typeof body === "string" ? body : JSON.stringify(body);
}

/** Sends one answer whole. */
export function sendAnswer(response: ServerResponse, answer: FakeAnswer): void {
    const text = formatBody(answer.body);
    response.writeHead(answer.status, {
        "content-type": "application/json",
        ...answer.headers,
        "content-length": Buffer.byteLength(text),
    });
    response.end(text);
}
