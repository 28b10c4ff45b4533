import { type Change, changeSchema, type Offerings, offeringsSchema } from "@radishreel/offerings";
import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import { z } from "zod";

/** Longest wait for an agent's response, in milliseconds; an agent that receives an apply waits for all nodes. */
const timeoutMs = 30_000;

const inForceSchema = z.object({ version: z.number(), digest: z.string(), offerings: offeringsSchema });

const progressSchema = z.object({
    dataCentre: z.string(),
    nodes: z.number(),
    lowestVersion: z.number(),
    behind: z.array(z.string()),
});

const applyReportSchema = z.object({
    result: z.discriminatedUnion("kind", [
        z.object({ kind: z.literal("accepted"), version: z.number() }),
        z.object({ kind: z.literal("void"), reason: z.string() }),
        z.object({ kind: z.literal("notInForce"), message: z.string() }),
        z.object({ kind: z.literal("unknown"), message: z.string() }),
    ]),
    progress: z.array(progressSchema),
    behind: z.array(z.string()),
});

const statusSchema = z.looseObject({
    id: z.string(),
    dataCentre: z.string(),
    version: z.number(),
    isKnown: z.boolean(),
    isLogReachable: z.boolean(),
    progress: z.array(progressSchema),
});

/** Response of an agent to an apply. */
export type ApplyReport = z.infer<typeof applyReportSchema>;
/** Status of an agent. */
export type AgentStatus = z.infer<typeof statusSchema>;

/** Body of an apply request. */
export interface ApplyRequest {
    readonly applyId: string;
    readonly base: number;
    readonly digest: string;
    readonly author: string;
    readonly change: Change;
}

/** Why no usable response was received. `isRefusal`: an agent responded with a status other than 200. */
export interface AgentError {
    readonly message: string;
    readonly isRefusal: boolean;
}

/** Client of the agents' listeners for operators. Tries the addresses in order; the first response counts. */
export class AgentClient {
    constructor(private readonly addresses: readonly string[], private readonly key: string) {}

    readOfferings(): Promise<Result<{ version: number; digest: string; offerings: Offerings; }, AgentError>> {
        return this.ask("GET", "/operator/offerings", inForceSchema);
    }

    readStatus(): Promise<Result<AgentStatus, AgentError>> {
        return this.ask("GET", "/operator/status", statusSchema);
    }

    /** Sends an apply. A retry, also to another agent, is safe: the apply id makes the request idempotent. */
    apply(apply: ApplyRequest): Promise<Result<ApplyReport, AgentError>> {
        return this.ask("POST", "/operator/apply", applyReportSchema, {
            ...apply,
            change: changeSchema.parse(apply.change),
        });
    }

    explain(model: string): Promise<Result<unknown, AgentError>> {
        return this.ask("GET", `/operator/explain?model=${encodeURIComponent(model)}`, z.unknown());
    }

    drain(upstream: string): Promise<Result<unknown, AgentError>> {
        return this.ask("POST", `/operator/drain?upstream=${encodeURIComponent(upstream)}`, z.unknown());
    }

    private async ask<Output>(
        method: "GET" | "POST",
        path: string,
        schema: z.ZodType<Output>,
        body?: unknown,
    ): Promise<Result<Output, AgentError>> {
        const failures = this.addresses.length === 0 ? ["no agent was specified; use --agent host:port"] : [];
        for (const address of this.addresses) {
            const response = await this.askAgent(address, method, path, schema, body);
            if (response.isOk() || response.error.isRefusal) {
                return response;
            }
            failures.push(`${address}: ${response.error.message}`);
        }
        return err({ message: failures.join("; "), isRefusal: false });
    }

    private async askAgent<Output>(
        address: string,
        method: "GET" | "POST",
        path: string,
        schema: z.ZodType<Output>,
        body: unknown,
    ): Promise<Result<Output, AgentError>> {
        try {
            const response = await request(`http://${address}${path}`, {
                method,
                headers: { authorization: `Bearer ${this.key}` },
                body: body === undefined ? undefined : JSON.stringify(body),
                signal: AbortSignal.timeout(timeoutMs),
            });
            const text = await response.body.text();
            if (response.statusCode !== 200) {
                return err({ message: `status ${response.statusCode}: ${text.trim()}`, isRefusal: true });
            }
            return ok(schema.parse(JSON.parse(text)));
        }
        catch (error) {
            return err({ message: (error as Error).message, isRefusal: false });
        }
    }
}
