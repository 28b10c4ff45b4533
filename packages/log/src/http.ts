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

/** Options of {@link HttpLogClient} and {@link HttpVmListClient}. */
export interface PlatformClientOptions {
    /** `host:port` of the platform's service. */
    readonly address: string;
    /** Longest wait for a response, in milliseconds; a read adds its own `waitMs`. @default 2000 */
    readonly timeoutMs?: number;
}

const defaultTimeoutMs = 2000;
const poolConnections = 4;

/** Error codes of undici and the operating system that prove that no byte of the request was sent. */
const notSentCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

/** JSON client of one HTTP service of the platform. Each error states whether the request may have taken effect. */
class PlatformHttp {
    private readonly pool: Pool;
    private readonly timeoutMs: number;

    constructor(options: PlatformClientOptions) {
        this.pool = new Pool(`http://${options.address}`, {
            connections: poolConnections,
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
            // The signal covers the body too: a connection that stalls in the middle of a response is aborted.
            const signal = AbortSignal.timeout(this.timeoutMs + waitMs);
            const response = await this.pool.request({ method, path, body, signal });
            const text = await response.body.text();
            if (response.statusCode !== 200) {
                const isRefusal = response.statusCode === 429 || response.statusCode === 503
                    || response.statusCode < 500;
                return err({ effect: isRefusal ? "notDone" : "unknown", message: `status ${response.statusCode}` });
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

/** HTTP client of the append-only log. The protocol is described in docs/reference/platform.md. */
export class HttpLogClient implements LogClient {
    private readonly http: PlatformHttp;

    constructor(options: PlatformClientOptions) {
        this.http = new PlatformHttp(options);
    }

    async append(stream: string, data: string): Promise<Result<number, PlatformError>> {
        const response = await this.http.send(
            "POST",
            `/streams/${stream}`,
            z.object({ offset: z.number().int() }),
            data,
        );
        return response.map(({ offset }) => offset);
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

/** HTTP client of the VM list. The protocol is described in docs/reference/platform.md. */
export class HttpVmListClient implements VmListClient {
    private readonly http: PlatformHttp;

    constructor(options: PlatformClientOptions) {
        this.http = new PlatformHttp(options);
    }

    async list(): Promise<Result<Vm[], PlatformError>> {
        const response = await this.http.send("GET", "/vms", z.object({ vms: z.array(vmSchema) }));
        return response.map(({ vms }) => vms);
    }
}
