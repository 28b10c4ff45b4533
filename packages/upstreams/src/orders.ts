import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { type ExchangeOptions, UpstreamConnections } from "./exchange.js";

/** What an engine says of itself. */
export const engineStatusSchema = z.object({
    instance: z.string(),
    state: z.enum(["live", "leaving"]),
    /** Highest fencing token it has seen. */
    fence: z.number().int().nonnegative(),
    slots: z.number().int().positive(),
    batchRoom: z.number().int().positive(),
    /** Loaded adapters, with running counts that may be late. */
    adapters: z.array(z.object({ model: z.string(), running: z.number().int().nonnegative() })),
});

/** See {@link engineStatusSchema}. */
export type EngineStatus = z.infer<typeof engineStatusSchema>;

const upstreamStatusSchema = z.object({ instance: z.string(), state: z.enum(["live", "leaving"]) });

/** See {@link OrderClient.readServiceStatus}. */
export type ServiceStatus = z.infer<typeof upstreamStatusSchema>;

/** Why an order was not carried out. */
export interface OrderError {
    /** `staleFence`: another owner gave a higher token. `failed`: the engine refused. `unknown`: it may have acted. */
    readonly kind: "staleFence" | "failed" | "unknown";
    readonly message: string;
}

/** Asked in the same step as the write of an order: whether its sender may still give it. */
export type OrderGuard = () => boolean;

/** Orders to engines, and what upstreams say of themselves. */
export interface OrderClient {
    readEngineStatus(address: string): Promise<Result<EngineStatus, OrderError>>;
    readServiceStatus(address: string): Promise<Result<ServiceStatus, OrderError>>;
    claimEngine(address: string, fence: number, guard: OrderGuard): Promise<Result<void, OrderError>>;
    /** Settles when the adapter is loaded. */
    loadModel(address: string, model: string, fence: number, guard: OrderGuard): Promise<Result<void, OrderError>>;
    evictModel(address: string, model: string, fence: number, guard: OrderGuard): Promise<Result<void, OrderError>>;
    /** Changes what the engine does in a disaggregated deployment. */
    setRole(address: string, role: string, fence: number, guard: OrderGuard): Promise<Result<void, OrderError>>;
}

/** Options of {@link HttpOrderClient}. */
export interface OrderClientOptions {
    /** Longest silence before a status or a short order is given up, in milliseconds. @default 1000 */
    readonly timeoutMs?: number;
    /** Longest wait for a load, in milliseconds. @default 60000 */
    readonly loadTimeoutMs?: number;
}

const defaultTimeoutMs = 1000;
const defaultLoadTimeoutMs = 60_000;

/** Orders over HTTP. Wire form: docs/reference/engines.md. */
export class HttpOrderClient implements OrderClient {
    private readonly connections: UpstreamConnections;
    private readonly timeoutMs: number;
    private readonly loadTimeoutMs: number;

    constructor(options: OrderClientOptions = {}) {
        this.timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
        this.loadTimeoutMs = options.loadTimeoutMs ?? defaultLoadTimeoutMs;
        this.connections = new UpstreamConnections({ connectTimeoutMs: this.timeoutMs });
    }

    readEngineStatus(address: string): Promise<Result<EngineStatus, OrderError>> {
        return this.readStatus(address, engineStatusSchema);
    }

    readServiceStatus(address: string): Promise<Result<ServiceStatus, OrderError>> {
        return this.readStatus(address, upstreamStatusSchema);
    }

    claimEngine(address: string, fence: number, guard: OrderGuard): Promise<Result<void, OrderError>> {
        return this.sendOrder(address, "claim", { fence }, guard, this.timeoutMs);
    }

    loadModel(address: string, model: string, fence: number, guard: OrderGuard): Promise<Result<void, OrderError>> {
        return this.sendOrder(address, "load", { model, fence }, guard, this.loadTimeoutMs);
    }

    evictModel(address: string, model: string, fence: number, guard: OrderGuard): Promise<Result<void, OrderError>> {
        return this.sendOrder(address, "unload", { model, fence }, guard, this.timeoutMs);
    }

    setRole(address: string, role: string, fence: number, guard: OrderGuard): Promise<Result<void, OrderError>> {
        return this.sendOrder(address, "role", { role, fence }, guard, this.timeoutMs);
    }

    private async readStatus<Output>(address: string, schema: z.ZodType<Output>): Promise<Result<Output, OrderError>> {
        const answer = await this.send({
            address,
            method: "GET",
            path: "/status",
            body: undefined,
            silenceMs: this.timeoutMs,
        });
        return answer.andThen(text => parseStatus(text, schema));
    }

    private async sendOrder(
        address: string,
        order: string,
        body: object,
        guard: OrderGuard,
        silenceMs: number,
    ): Promise<Result<void, OrderError>> {
        const answer = await this.send({
            address,
            method: "POST",
            path: `/orders/${order}`,
            body: Buffer.from(JSON.stringify(body)),
            silenceMs,
            checkBeforeSend: guard,
        });
        return answer.map(() => undefined);
    }

    private async send(options: Omit<ExchangeOptions, "headers" | "receiver">): Promise<Result<string, OrderError>> {
        let status = 0;
        const chunks: Buffer[] = [];
        const end = await this.connections.open({
            ...options,
            headers: { "content-type": "application/json" },
            receiver: {
                receiveHead: head => {
                    status = head;
                },
                receiveData: chunk => chunks.push(chunk),
            },
        }).end;
        if (end.kind === "broken") {
            return err({ kind: end.phase === "connecting" ? "failed" : "unknown", message: end.detail });
        }
        if (status === 409) {
            return err({ kind: "staleFence", message: "another owner gave a higher token" });
        }
        return status === 200
            ? ok(Buffer.concat(chunks).toString("utf8"))
            : err({ kind: "failed", message: `status ${status}` });
    }
}

function parseStatus<Output>(text: string, schema: z.ZodType<Output>): Result<Output, OrderError> {
    try {
        const parsed = schema.safeParse(JSON.parse(text));
        return parsed.success ? ok(parsed.data) : err({ kind: "unknown", message: parsed.error.message });
    }
    catch {
        return err({ kind: "unknown", message: "the status is not JSON" });
    }
}
