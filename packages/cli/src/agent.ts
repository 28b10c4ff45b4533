import { type Change, changeSchema, type Offerings, offeringsSchema } from "@radishreel/offerings";
import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import { z } from "zod";

/** Longest wait for an agent's answer, in milliseconds; an apply waits for every node. */
const timeoutMs = 30_000;

const inForceSchema = z.object({ version: z.number(), digest: z.string(), offerings: offeringsSchema });

const progressSchema = z.object({
    dataCentre: z.string(),
    nodes: z.number(),
    lowestVersion: z.number(),
    behind: z.array(z.string()),
});

const reportSchema = z.object({
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

/** What an agent says of an apply. */
export type ApplyReport = z.infer<typeof reportSchema>;
/** What an agent says of itself. */
export type AgentStatus = z.infer<typeof statusSchema>;

/** An apply as it is sent. */
export interface ApplyRequest {
    readonly applyId: string;
    readonly base: number;
    readonly digest: string;
    readonly author: string;
    readonly change: Change;
}

/** Why an agent gave no usable answer. `isRefusal` means that it answered, and said no. */
export interface AgentError {
    readonly message: string;
    readonly isRefusal: boolean;
}

/** Asks agents' operator listeners; the first that answers counts. */
export class AgentClient {
    constructor(private readonly addresses: readonly string[], private readonly key: string) {}

    readOfferings(): Promise<Result<{ version: number; digest: string; offerings: Offerings; }, AgentError>> {
        return this.ask("GET", "/operator/offerings", inForceSchema);
    }

    readStatus(): Promise<Result<AgentStatus, AgentError>> {
        return this.ask("GET", "/operator/status", statusSchema);
    }

    /** Safe to ask again, of any agent: the apply id tells one apply from another. */
    apply(apply: ApplyRequest): Promise<Result<ApplyReport, AgentError>> {
        return this.ask("POST", "/operator/apply", reportSchema, {
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
        const failures = this.addresses.length === 0 ? ["no agent is given; expected --agent host:port"] : [];
        for (const address of this.addresses) {
            const answer = await this.askOne(address, method, path, schema, body);
            if (answer.isOk() || answer.error.isRefusal) {
                return answer;
            }
            failures.push(`${address}: ${answer.error.message}`);
        }
        return err({ message: failures.join("; "), isRefusal: false });
    }

    private async askOne<Output>(
        address: string,
        method: "GET" | "POST",
        path: string,
        schema: z.ZodType<Output>,
        body: unknown,
    ): Promise<Result<Output, AgentError>> {
        try {
            const answer = await request(`http://${address}${path}`, {
                method,
                headers: { authorization: `Bearer ${this.key}` },
                body: body === undefined ? undefined : JSON.stringify(body),
                signal: AbortSignal.timeout(timeoutMs),
            });
            const text = await answer.body.text();
            if (answer.statusCode !== 200) {
                return err({ message: `status ${answer.statusCode}: ${text.trim()}`, isRefusal: true });
            }
            return ok(schema.parse(JSON.parse(text)));
        }
        catch (error) {
            return err({ message: (error as Error).message, isRefusal: false });
        }
    }
}
