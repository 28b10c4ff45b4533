import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { Pool } from "undici";
import { z } from "zod";
import {
    type LogClient,
    type LogPage,
    logPageSchema,
    type PlatformError,
    type Vm,
    type VmListClient,
    vmSchema,
} from "./types.js";

/** Options of the platform's clients. */
export interface PlatformClientOptions {
    /** `host:port` of the platform's service. */
    readonly address: string;
    /** Longest wait for an answer, in milliseconds, on top of a read's own wait. @default 2000 */
    readonly timeoutMs?: number;
}

const defaultTimeoutMs = 2000;
const connections = 4;

/** Errors of undici that prove that no byte of the request was sent. */
const notSentCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

/** JSON over HTTP to one service of the platform, with the effect of every failure. */
class PlatformHttp {
    private readonly pool: Pool;
    private readonly timeoutMs: number;

    constructor(options: PlatformClientOptions) {
        this.pool = new Pool(`http://${options.address}`, {
            connections,
            pipelining: 1,
            connectTimeout: defaultTimeoutMs,
        });
        this.timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
    }

    async send<Output>(
        method: "GET" | "POST",
        path: string,
        schema: z.ZodType<Output>,
        body?: string,
        waitMs = 0,
    ): Promise<Result<Output, PlatformError>> {
        try {
            // The signal covers the body too: a connection that goes silent in the middle of an answer is given up.
            const signal = AbortSignal.timeout(this.timeoutMs + waitMs);
            const answer = await this.pool.request({ method, path, body, signal });
            const text = await answer.body.text();
            if (answer.statusCode !== 200) {
                const isRefusal = answer.statusCode === 429 || answer.statusCode === 503 || answer.statusCode < 500;
                return err({ effect: isRefusal ? "notDone" : "unknown", message: `status ${answer.statusCode}` });
            }
            const parsed = schema.safeParse(JSON.parse(text));
            return parsed.success ? ok(parsed.data) : err({ effect: "unknown", message: "malformed answer" });
        }
        catch (error) {
            const code = (error as { code?: string; }).code ?? "";
            return err({ effect: notSentCodes.has(code) ? "notDone" : "unknown", message: (error as Error).message });
        }
    }
}

/** Log service over HTTP. Wire form: docs/reference/platform.md. */
export class HttpLogClient implements LogClient {
    private readonly http: PlatformHttp;

    constructor(options: PlatformClientOptions) {
        this.http = new PlatformHttp(options);
    }

    async append(stream: string, data: string): Promise<Result<number, PlatformError>> {
        const answer = await this.http.send("POST", `/streams/${stream}`, z.object({ offset: z.number().int() }), data);
        return answer.map(({ offset }) => offset);
    }

    read(stream: string, offset: number, waitMs: number): Promise<Result<LogPage, PlatformError>> {
        return this.http.send(
            "GET",
            `/streams/${stream}?from=${offset}&wait=${waitMs}`,
            logPageSchema,
            undefined,
            waitMs,
        );
    }
}

/** VM list over HTTP. Wire form: docs/reference/platform.md. */
export class HttpVmListClient implements VmListClient {
    private readonly http: PlatformHttp;

    constructor(options: PlatformClientOptions) {
        this.http = new PlatformHttp(options);
    }

    async list(): Promise<Result<Vm[], PlatformError>> {
        const answer = await this.http.send("GET", "/vms", z.object({ vms: z.array(vmSchema) }));
        return answer.map(({ vms }) => vms);
    }
}
