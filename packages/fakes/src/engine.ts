import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { request as sendRequest } from "undici";
import type { FaultRule } from "./faults.js";
import type { FakeListenerOptions } from "./listener.js";
import { type FakeRequest, type FakeResponse, FakeServer } from "./server.js";

/** Options of {@link FakeEngine}. */
export interface FakeEngineOptions extends FakeListenerOptions {
    readonly id: string;
    /** Number of adapter slots. @default 4 */
    readonly slots?: number;
    /** Maximum number of requests in a batch, as the status reports it. @default 8 */
    readonly batchRoom?: number;
    /** Time for each token, in milliseconds. @default 5 */
    readonly tokenMs?: number;
    /** Maximum number of tokens in a response; `max_tokens` of a request can lower it. @default 8 */
    readonly tokens?: number;
    /** `host:port` of the weight store. Without a store, a load takes `loadMs`. */
    readonly store?: string;
    /** Time of a load without a weight store, in milliseconds. @default 20 */
    readonly loadMs?: number;
    /** Accepts orders with any fencing token. @default false */
    readonly ignoresFence?: boolean;
    /** Serves the base model if the adapter is not loaded, as some engines do. @default false */
    readonly servesBaseModel?: boolean;
    /** Age of the reported counts of running requests, in milliseconds. @default 0 */
    readonly reportLagMs?: number;
}

/** Completion that the engine started. */
export interface EngineRun {
    readonly callId: string | undefined;
    readonly model: string;
    readonly servedBy: string;
    /** `user` of the request, by which a test identifies the request. */
    readonly user: string | undefined;
    /** Wall-clock time, in milliseconds since the epoch. */
    readonly startedAt: number;
    ended: boolean;
}

/** Eviction of an adapter in use by running requests. The owner of an engine must never order one. */
export interface UnsafeEviction {
    readonly model: string;
    readonly running: number;
}

interface CompletionBody {
    readonly model?: string;
    readonly stream?: boolean;
    readonly max_tokens?: number;
    readonly user?: string;
}

interface Order {
    readonly model?: string;
    readonly fence: number;
    readonly role?: string;
}

interface RunningSnapshot {
    readonly recordedAt: number;
    readonly running: Record<string, number>;
}

/**
 * Fake model engine. Each token of its responses holds the model name, so that a caller can tell which model served it.
 * Operations: `completion`, `load`, `unload`, `claim`, `role`, `status`.
 */
export class FakeEngine extends FakeServer {
    readonly id: string;
    readonly runs: EngineRun[] = [];
    readonly unsafeEvictions: UnsafeEviction[] = [];
    private instance = createInstance();
    private fence = 0;
    private role = "decode";
    private isLeaving = false;
    private readonly loaded = new Set<string>();
    private readonly running = new Map<string, number>();
    private runningSnapshots: RunningSnapshot[] = [];

    constructor(private readonly options: FakeEngineOptions) {
        super(options);
        this.id = options.id;
    }

    /** Resets instance, fencing token, leaving state and adapters, as a restart of the process does. */
    restart(): void {
        this.instance = createInstance();
        this.fence = 0;
        this.isLeaving = false;
        this.loaded.clear();
        this.runningSnapshots = [];
    }

    /** Announces from now on that the engine is leaving. The engine continues to serve. */
    setLeaving(): void {
        this.isLeaving = true;
    }

    listLoadedAdapters(): string[] {
        return [...this.loaded];
    }

    protected findOperation(request: FakeRequest): string {
        if (request.path.startsWith("/v1/")) {
            return "completion";
        }
        return request.path.startsWith("/orders/") ? request.path.slice("/orders/".length) : "status";
    }

    protected async run(
        request: FakeRequest,
        response: ServerResponse,
        fault: FaultRule | undefined,
    ): Promise<FakeResponse | undefined> {
        if (request.path === "/status") {
            return { status: 200, body: this.readStatus() };
        }
        if (request.path === "/runs") {
            return { status: 200, body: { runs: this.runs, unsafeEvictions: this.unsafeEvictions } };
        }
        if (request.path === "/restart") {
            this.restart();
            return { status: 200, body: {} };
        }
        if (request.path === "/leave") {
            this.setLeaving();
            return { status: 200, body: {} };
        }
        if (request.path.startsWith("/orders/")) {
            return this.runOrder(request.path.slice("/orders/".length), JSON.parse(request.body) as Order);
        }
        return this.runCompletion(request, response, fault);
    }

    /** Creates the header with which a leaving engine announces itself in its streams. */
    private createStateHeader(): Record<string, string> {
        return this.isLeaving ? { "x-upstream-state": "leaving" } : {};
    }

    private readStatus(): unknown {
        this.recordRunningCounts();
        const newestVisibleAt = performance.now() - (this.options.reportLagMs ?? 0);
        const snapshot = this.runningSnapshots.findLast(entry => entry.recordedAt <= newestVisibleAt);
        return {
            instance: this.instance,
            state: this.isLeaving ? "leaving" : "live",
            role: this.role,
            fence: this.fence,
            slots: this.options.slots ?? 4,
            batchRoom: this.options.batchRoom ?? 8,
            adapters: [...this.loaded].map(model => ({ model, running: snapshot?.running[model] ?? 0 })),
        };
    }

    private recordRunningCounts(): void {
        this.runningSnapshots.push({ recordedAt: performance.now(), running: Object.fromEntries(this.running) });
        const newestVisibleAt = performance.now() - (this.options.reportLagMs ?? 0);
        while (this.runningSnapshots.length > 1 && this.runningSnapshots[1]!.recordedAt <= newestVisibleAt) {
            this.runningSnapshots.shift();
        }
    }

    private async runOrder(kind: string, order: Order): Promise<FakeResponse> {
        if (!this.options.ignoresFence && order.fence < this.fence) {
            return { status: 409, body: { error: { code: "stale_fence", fence: this.fence } } };
        }
        this.fence = Math.max(this.fence, order.fence);
        switch (kind) {
            case "claim":
                return { status: 200, body: { fence: this.fence } };
            case "role":
                this.role = order.role ?? this.role;
                return { status: 200, body: { role: this.role } };
            case "load":
                return this.load(order.model ?? "");
            case "unload":
                return this.evict(order.model ?? "");
            default:
                return { status: 404, body: { error: { code: "unknown_order" } } };
        }
    }

    private async load(model: string): Promise<FakeResponse> {
        if (this.loaded.has(model)) {
            return { status: 200, body: { model } };
        }
        const { instance } = this;
        if (this.options.store === undefined) {
            await sleep(this.options.loadMs ?? 20);
        }
        else {
            const weights = await sendRequest(`http://${this.options.store}/weights/${encodeURIComponent(model)}`)
                .catch(() => undefined);
            await weights?.body.dump();
            if (weights?.statusCode !== 200) {
                return { status: 503, body: { error: { code: "store_failed" } } };
            }
        }
        if (instance !== this.instance || this.loaded.size >= (this.options.slots ?? 4)) {
            return { status: 507, body: { error: { code: "no_slot" } } };
        }
        this.loaded.add(model);
        return { status: 200, body: { model } };
    }

    private evict(model: string): FakeResponse {
        const running = this.running.get(model) ?? 0;
        if (running > 0) {
            this.unsafeEvictions.push({ model, running });
        }
        this.loaded.delete(model);
        return { status: 200, body: { model } };
    }

    private async runCompletion(
        request: FakeRequest,
        response: ServerResponse,
        fault: FaultRule | undefined,
    ): Promise<FakeResponse | undefined> {
        const body = JSON.parse(request.body) as CompletionBody;
        const model = body.model ?? "";
        if (!this.loaded.has(model) && !this.options.servesBaseModel) {
            return { status: 404, headers: { "x-not-run": "1" }, body: { error: { code: "not_loaded" } } };
        }
        const servedBy = this.loaded.has(model) ? model : "base";
        const callId = request.headers["x-call-id"];
        const run: EngineRun = {
            callId: typeof callId === "string" ? callId : undefined,
            model,
            servedBy,
            user: body.user,
            startedAt: Date.now(),
            ended: false,
        };
        this.runs.push(run);
        this.running.set(servedBy, (this.running.get(servedBy) ?? 0) + 1);
        this.recordRunningCounts();
        try {
            const echoedModel = fault?.action === "wrongModel" ? "other@1" : servedBy;
            const tokens = Math.min(body.max_tokens ?? Infinity, this.options.tokens ?? 8);
            if (body.stream) {
                await this.sendStream(response, echoedModel, tokens, fault);
                return undefined;
            }
            await sleep(tokens * (this.options.tokenMs ?? 5));
            return { status: 200, headers: { "x-served-by": this.id }, body: createCompletion(echoedModel, tokens) };
        }
        finally {
            run.ended = true;
            this.running.set(servedBy, (this.running.get(servedBy) ?? 1) - 1);
            this.recordRunningCounts();
        }
    }

    private async sendStream(
        response: ServerResponse,
        model: string,
        tokens: number,
        fault: FaultRule | undefined,
    ): Promise<void> {
        if (fault?.action === "loseAnswer") {
            response.socket?.destroy();
            return;
        }
        if (fault?.action === "fail") {
            response.writeHead(500, { "content-type": "application/json" }).end("{}");
            return;
        }
        if (fault?.action === "silent") {
            return;
        }
        response.writeHead(200, {
            "content-type": "text/event-stream",
            "x-served-by": this.id,
            ...this.createStateHeader(),
        });
        let remainingBytes = fault?.action === "truncate" || fault?.action === "cleanTruncate" ? fault.bytes : Infinity;
        const closed = new Promise<void>(resolve => response.once("close", resolve));
        for (const event of listEvents(model, tokens)) {
            if (response.destroyed) {
                return;
            }
            const part = remainingBytes === Infinity ? event : event.slice(0, remainingBytes);
            remainingBytes -= part.length;
            // If the connection closes while bytes are buffered, the callback of the write is never called.
            await Promise.race([new Promise<void>(resolve => response.write(part, () => resolve())), closed]);
            if (remainingBytes <= 0) {
                if (fault?.action === "truncate") {
                    response.socket?.destroy();
                }
                else {
                    response.end();
                }
                return;
            }
            if (this.options.tokenMs !== 0) {
                await sleep(this.options.tokenMs ?? 5);
            }
        }
        response.end();
    }
}

function createInstance(): string {
    return `${Date.now()}-${Math.floor(Math.random() * 1e9)}`;
}

/** Lists the events of a streamed response, with the end mark last. */
function* listEvents(model: string, tokens: number): Generator<string> {
    for (let index = 0; index < tokens; index++) {
        const choices = [{ index: 0, delta: { content: `${model}#${index} ` }, finish_reason: null }];
        yield `data: ${JSON.stringify({ id: "c", object: "chat.completion.chunk", model, choices })}\n\n`;
    }
    yield "data: [DONE]\n\n";
}

function createCompletion(model: string, tokens: number): unknown {
    const content = Array.from({ length: tokens }, (_, index) => `${model}#${index} `).join("");
    return {
        id: "c",
        object: "chat.completion",
        model,
        choices: [{ index: 0, message: { role: "assistant", content }, finish_reason: "stop" }],
        usage: { prompt_tokens: 1, completion_tokens: tokens, total_tokens: tokens + 1 },
    };
}
