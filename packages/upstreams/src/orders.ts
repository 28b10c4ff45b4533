import { ByteBuffer } from "@radishreel/wire";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { type ExchangeOptions, UpstreamConnections } from "./exchange.js";

/** Status that an engine reports. */
export const engineStatusSchema = z.object({
    instance: z.string(),
    state: z.enum(["live", "leaving"]),
    /** Highest fencing token that the engine has seen. */
    fence: z.number().int().nonnegative(),
    slots: z.number().int().positive(),
    batchRoom: z.number().int().positive(),
    /** Loaded adapters and their running requests; the counts may lag. */
    adapters: z.array(z.object({ model: z.string(), running: z.number().int().nonnegative() })),
});

/** See {@link engineStatusSchema}. */
export type EngineStatus = z.infer<typeof engineStatusSchema>;

const upstreamStatusSchema = z.object({ instance: z.string(), state: z.enum(["live", "leaving"]) });

/** See {@link OrderClient.readServiceStatus}. */
export type ServiceStatus = z.infer<typeof upstreamStatusSchema>;

/** Why an order was not carried out. */
export interface OrderError {
    /**
     * `staleFence`: the engine has seen a higher fencing token of another owner.
     * `failed`: the order was not sent, or the engine refused it.
     * `unknown`: the engine may have carried out the order.
     */
    readonly kind: "staleFence" | "failed" | "unknown";
    readonly message: string;
}

/** Whether the sender may still give the order; called in the same event-loop turn as the write. */
export type OrderGuard = () => boolean;

/** Gives orders to engines and reads the status of upstreams. */
export interface OrderClient {
    readEngineStatus(address: string): Promise<Result<EngineStatus, OrderError>>;
    readServiceStatus(address: string): Promise<Result<ServiceStatus, OrderError>>;
    claimEngine(address: string, fence: number, guard: OrderGuard): Promise<Result<void, OrderError>>;
    /** Settles when the adapter is loaded. */
    loadModel(address: string, model: string, fence: number, guard: OrderGuard): Promise<Result<void, OrderError>>;
    evictModel(address: string, model: string, fence: number, guard: OrderGuard): Promise<Result<void, OrderError>>;
    /** Changes the engine's role in a disaggregated deployment. */
    setRole(address: string, role: string, fence: number, guard: OrderGuard): Promise<Result<void, OrderError>>;
}

/** Options of {@link HttpOrderClient}. */
export interface OrderClientOptions {
    /** Longest silence before a status request or an order other than a load fails, in milliseconds. @default 1000 */
    readonly timeoutMs?: number;
    /** Longest silence before a load fails, in milliseconds. @default 60000 */
    readonly loadTimeoutMs?: number;
}

const defaultTimeoutMs = 1000;
const defaultLoadTimeoutMs = 60_000;

/** Maximum bytes of a status or of the response to an order. A status takes some kilobytes. */
const maxResponseBytes = 256 * 1024;

/** Gives orders over HTTP. Wire format: docs/reference/engines.md. */
export class HttpOrderClient implements OrderClient {
    private readonly connections: UpstreamConnections;
    private readonly timeoutMs: number;
    private readonly loadTimeoutMs: number;

    constructor(options: OrderClientOptions = {}) {
        this.timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
        this.loadTimeoutMs = options.loadTimeoutMs ?? defaultLoadTimeoutMs;
        this.connections = new UpstreamConnections({
            connectTimeoutMs: this.timeoutMs,
            maxBodyBytes: maxResponseBytes,
        });
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
        const response = await this.send({
            address,
            method: "GET",
            path: "/status",
            body: undefined,
            silenceMs: this.timeoutMs,
        });
        return response.andThen(text => parseStatus(text, schema));
    }

    private async sendOrder(
        address: string,
        order: string,
        body: object,
        guard: OrderGuard,
        silenceMs: number,
    ): Promise<Result<void, OrderError>> {
        const response = await this.send({
            address,
            method: "POST",
            path: `/orders/${order}`,
            body: Buffer.from(JSON.stringify(body)),
            silenceMs,
            checkBeforeSend: guard,
        });
        return response.map(() => undefined);
    }

    private async send(options: Omit<ExchangeOptions, "headers" | "receiver">): Promise<Result<string, OrderError>> {
        let status = 0;
        const bytes = new ByteBuffer();
        const end = await this.connections.open({
            ...options,
            headers: { "content-type": "application/json" },
            receiver: {
                receiveHead: responseStatus => {
                    status = responseStatus;
                },
                receiveData: chunk => bytes.push(chunk),
            },
        }).end;
        if (end.kind === "broken") {
            return err({ kind: end.phase === "connecting" ? "failed" : "unknown", message: end.detail });
        }
        if (status === 409) {
            return err({ kind: "staleFence", message: "the engine has seen a higher fencing token" });
        }
        return status === 200
            ? ok(bytes.popAll().toString("utf8"))
            : err({ kind: "failed", message: `the upstream responded with status ${status}` });
    }
}

function parseStatus<Output>(text: string, schema: z.ZodType<Output>): Result<Output, OrderError> {
    try {
        const parsed = schema.safeParse(JSON.parse(text));
        return parsed.success ? ok(parsed.data) : err({ kind: "unknown", message: parsed.error.message });
    }
    catch {
        return err({ kind: "unknown", message: "the status response is not JSON" });
    }
}
