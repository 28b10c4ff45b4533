import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import { type FaultRule, faultRuleSchema, FaultTable } from "./faults.js";
import { FakeListener, readBody } from "./listener.js";

/** Request to a fake, with its complete body. */
export interface FakeRequest {
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
}

/** Response of a fake. */
export interface FakeResponse {
    readonly status: number;
    readonly headers?: Record<string, string>;
    readonly body: unknown;
}

/** Base class of the fakes: a listener with a fault table, whose rules `PUT /faults` replaces. */
export abstract class FakeServer extends FakeListener {
    readonly faults = new FaultTable();

    /** Returns the name of a request's operation in the fault table. */
    protected abstract findOperation(request: FakeRequest): string;

    /** Runs a request. Returns undefined if it has sent the response itself. */
    protected abstract run(
        request: FakeRequest,
        response: ServerResponse,
        fault: FaultRule | undefined,
    ): Promise<FakeResponse | undefined>;

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
            sendResponse(response, { status: 200, body: {} });
            return;
        }
        try {
            await this.receiveOperation(request, response);
        }
        catch (error) {
            refuseMalformed(response, error);
        }
    }

    private async receiveOperation(request: FakeRequest, response: ServerResponse): Promise<void> {
        const fault = this.faults.findFault(this.findOperation(request));
        switch (fault?.action) {
            case "delay":
                await sleep(fault.delayMs);
                break;
            case "refuse":
                sendResponse(response, {
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
        const fakeResponse = await this.run(request, response, fault);
        if (fakeResponse === undefined) {
            return;
        }
        this.sendWithFault(response, fakeResponse, fault);
    }

    private sendWithFault(response: ServerResponse, fakeResponse: FakeResponse, fault: FaultRule | undefined): void {
        switch (fault?.action) {
            case "loseAnswer":
                response.socket?.destroy();
                return;
            case "silent":
                return;
            case "fail":
                sendResponse(response, { status: 500, body: { error: { code: "failed" } } });
                return;
            case "truncate": {
                const text = formatBody(fakeResponse.body);
                response.writeHead(fakeResponse.status, {
                    ...fakeResponse.headers,
                    "content-length": Buffer.byteLength(text),
                });
                response.write(Buffer.from(text).subarray(0, fault.bytes), () => response.socket?.destroy());
                return;
            }
            case "cleanTruncate": {
                const text = Buffer.from(formatBody(fakeResponse.body)).subarray(0, fault.bytes);
                response.writeHead(fakeResponse.status, {
                    "content-type": "application/json",
                    ...fakeResponse.headers,
                });
                response.end(text);
                return;
            }
            default:
                sendResponse(response, fakeResponse);
        }
    }
}

/** Refuses a request whose body is no JSON, as a client whose own server had the same port before may send it. */
function refuseMalformed(response: ServerResponse, error: unknown): void {
    if (!(error instanceof SyntaxError) || response.headersSent) {
        throw error;
    }
    sendResponse(response, { status: 400, body: { error: { code: "malformed", message: error.message } } });
}

function formatBody(body: unknown): string {
    return typeof body === "string" ? body : JSON.stringify(body);
}

/** Sends a complete response. */
export function sendResponse(response: ServerResponse, fakeResponse: FakeResponse): void {
    const text = formatBody(fakeResponse.body);
    response.writeHead(fakeResponse.status, {
        "content-type": "application/json",
        ...fakeResponse.headers,
        "content-length": Buffer.byteLength(text),
    });
    response.end(text);
}
