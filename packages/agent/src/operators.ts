import { changeSchema, type Offerings } from "@radishreel/offerings";
import type { Logger } from "@radishreel/telemetry";
import { createHttpServer } from "@radishreel/wire";
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import polka from "polka";
import readRawBody from "raw-body";
import { z } from "zod";
import type { ApplyRequest, ApplyResult } from "./configuration.js";
import type { Progress } from "./progress.js";

/** Status of an agent, for operators. */
export interface AgentStatus {
    readonly id: string;
    readonly dataCentre: string;
    readonly version: number;
    readonly isKnown: boolean;
    readonly hasGap: boolean;
    readonly isLogReachable: boolean;
    readonly placer: string | undefined;
    readonly agents: string[];
    readonly gateways: string[];
    readonly ownedEngines: readonly unknown[];
    readonly progress: readonly Progress[];
}

/** Result of an apply, with the progress of each data centre. */
export interface AppliedReport {
    readonly result: ApplyResult;
    readonly progress: readonly Progress[];
    /** Data centres in which some node is not known to have the version. */
    readonly behind: readonly string[];
}

/** Actions that operators may request from an agent. */
export interface OperatorActions {
    readStatus(): AgentStatus;
    readOfferings(): { version: number; digest: string; offerings: Offerings; };
    apply(request: ApplyRequest): Promise<AppliedReport>;
    explain(model: string): Promise<unknown>;
    drainUpstream(upstreamId: string): boolean;
}

/** Options of {@link OperatorListener}. */
export interface OperatorListenerOptions {
    readonly host: string;
    readonly port: number;
    /** Most connections at a time. Beyond that, the one that has been idle for longest closes. */
    readonly maxConnections: number;
    readonly keyDigests: readonly string[];
    readonly actions: OperatorActions;
    readonly logger: Logger;
}

/** Maximum size of an apply, in bytes: several times the size of 130,000 adapters. */
const maxApplyBytes = 256 * 1024 * 1024;

const applySchema = z.strictObject({
    applyId: z.string().min(1).max(100),
    base: z.number().int().min(-1),
    digest: z.string(),
    author: z.string().max(200),
    change: changeSchema,
});

type Handler = (request: IncomingMessage, query: URLSearchParams) => Promise<{ status: number; body: unknown; }>;

/** HTTP listener for operators. Every request needs an operator's key. */
export class OperatorListener {
    private readonly server: Server;

    constructor(private readonly options: OperatorListenerOptions) {
        const { maxConnections } = options;
        this.server = createHttpServer({ maxConnections }).server;
    }

    /** Starts listening and returns the port. */
    async start(): Promise<number> {
        const { host, port, actions } = this.options;
        const app = polka({
            server: this.server,
            onNoMatch: (_request, response) => send(response, 404, { message: "no such path" }),
        });
        const add = (method: "get" | "post", path: string, handler: Handler): void => {
            app[method](path, (request, response) => void this.receive(request, response, handler));
        };
        add("get", "/operator/status", async () => ({ status: 200, body: actions.readStatus() }));
        add("get", "/operator/offerings", async () => ({ status: 200, body: actions.readOfferings() }));
        add(
            "get",
            "/operator/explain",
            async (_request, query) => ({ status: 200, body: await actions.explain(query.get("model") ?? "") }),
        );
        add("post", "/operator/apply", request => this.apply(request));
        add("post", "/operator/drain", async (_request, query) => this.drain(query.get("upstream") ?? ""));
        await new Promise<void>(resolve => app.listen(port, host, () => resolve()));
        return (this.server.address() as AddressInfo).port;
    }

    /** Accepts no more connections; resolves when every request has ended. */
    async stop(): Promise<void> {
        await new Promise<void>(resolve => {
            this.server.close(() => resolve());
            this.server.closeIdleConnections();
        });
    }

    private async receive(request: IncomingMessage, response: ServerResponse, handler: Handler): Promise<void> {
        if (!this.isOperator(request)) {
            send(response, 401, { message: "expected an operator's key in the header Authorization: Bearer" });
            return;
        }
        const query = new URL(request.url ?? "/", "http://agent").searchParams;
        const { status, body } = await handler(request, query);
        send(response, status, body);
    }

    private isOperator(request: IncomingMessage): boolean {
        const key = /^Bearer (.+)$/i.exec(request.headers.authorization ?? "")?.[1];
        if (key === undefined) {
            return false;
        }
        const digest = createHash("sha256").update(key).digest();
        return this.options.keyDigests.some(knownDigest => timingSafeEqual(Buffer.from(knownDigest, "hex"), digest));
    }

    private async apply(request: IncomingMessage): Promise<{ status: number; body: unknown; }> {
        const parsed = applySchema.safeParse(await readJson(request));
        if (!parsed.success) {
            return { status: 400, body: { message: z.prettifyError(parsed.error) } };
        }
        this.options.logger.info("apply", {
            author: parsed.data.author,
            base: parsed.data.base,
            applyId: parsed.data.applyId,
        });
        return { status: 200, body: await this.options.actions.apply(parsed.data) };
    }

    private drain(upstreamId: string): { status: number; body: unknown; } {
        const isDone = this.options.actions.drainUpstream(upstreamId);
        return isDone
            ? { status: 200, body: { upstream: upstreamId, state: "leaving" } }
            : {
                status: 404,
                body: { message: `upstream "${upstreamId}" is not known in this data centre, or is leaving already` },
            };
    }
}

async function readJson(request: IncomingMessage): Promise<unknown> {
    try {
        return JSON.parse((await readRawBody(request, { limit: maxApplyBytes })).toString("utf8"));
    }
    catch {
        return undefined;
    }
}

function send(response: ServerResponse, status: number, body: unknown): void {
    if (!response.req.complete) {
        response.setHeader("connection", "close");
    }
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body) + "\n");
}
