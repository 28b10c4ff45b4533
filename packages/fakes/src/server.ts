import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import { type FaultRule, faultRuleSchema, FaultTable } from "./faults.js";

/** Options that every fake has. */
export interface FakeOptions {
    /** @default "127.0.0.1" */
    readonly host?: string;
    /** 0 lets the system choose. @default 0 */
    readonly port?: number;
}

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

async function readBody(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
}

/** Base of the fakes: an HTTP listener with a fault table that `PUT /faults` replaces. */
export abstract class FakeServer {
    readonly faults = new FaultTable();
    private readonly server: Server = createServer((request, response) => void this.receive(request, response));
    private readonly sockets = new Set<Socket>();
    private currentPort = 0;

    constructor(private readonly fakeOptions: FakeOptions = {}) {
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
    }

    get address(): string {
        return `${this.fakeOptions.host ?? "127.0.0.1"}:${this.currentPort}`;
    }

    /** Starts to listen. A second start after a stop takes the same port. */
    async start(): Promise<string> {
        const port = this.currentPort === 0 ? this.fakeOptions.port ?? 0 : this.currentPort;
        await new Promise<void>(resolve => this.server.listen(port, this.fakeOptions.host ?? "127.0.0.1", resolve));
        this.currentPort = (this.server.address() as AddressInfo).port;
        return this.address;
    }

    /** Stops at once, as a VM that fails does. */
    async stop(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        for (const socket of this.sockets) {
            socket.destroy();
        }
        await closed;
    }

    /** Names the operation of a request for the fault table. */
    protected abstract findOperation(request: FakeRequest): string;

    /** Acts on a request. Undefined where it has answered by itself. */
    protected abstract run(
        request: FakeRequest,
        response: ServerResponse,
        fault: FaultRule | undefined,
    ): Promise<FakeAnswer | undefined>;

    private async receive(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(incoming.url ?? "/", "http://fake");
        const request: FakeRequest = {
            method: incoming.method ?? "GET",
            path: url.pathname,
            query: url.searchParams,
            headers: incoming.headers,
            body: await readBody(incoming).catch(() => ""),
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
