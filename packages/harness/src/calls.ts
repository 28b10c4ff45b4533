import { createParser } from "eventsource-parser";
import { request } from "undici";

/** What a caller got. */
export interface CallerResult {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly body: string;
    /** The connection broke before the answer's end. */
    readonly isBroken: boolean;
}

/** Options of {@link sendRequest}. */
export interface CallerOptions {
    readonly method?: "GET" | "POST" | "PUT" | "DELETE";
    readonly key?: string;
    readonly headers?: Record<string, string>;
    readonly body?: unknown;
    readonly signal?: AbortSignal;
}

/** Sends a request as a caller does, and reads the answer to its end. */
export async function sendRequest(address: string, path: string, options: CallerOptions = {}): Promise<CallerResult> {
    const { method = "POST", key = "paying-key", headers, body, signal } = options;
    const answer = await request(`http://${address}${path}`, {
        method,
        headers: { authorization: `Bearer ${key}`, "content-type": "application/json", ...headers },
        body: body === undefined ? undefined : typeof body === "string" ? body : JSON.stringify(body),
        signal,
    });
    const chunks: Buffer[] = [];
    let isBroken = false;
    try {
        for await (const chunk of answer.body) {
            chunks.push(chunk as Buffer);
        }
    }
    catch {
        isBroken = true;
    }
    return {
        status: answer.statusCode,
        headers: answer.headers,
        body: Buffer.concat(chunks).toString("utf8"),
        isBroken,
    };
}

/** One completion as a caller sees it. */
export interface CompletionResult extends CallerResult {
    /** Words of the answer, in order. */
    readonly text: string;
    /** Every model that the answer named. */
    readonly models: ReadonlySet<string>;
    readonly hasEndMark: boolean;
}

/** Asks for a completion, streamed unless told otherwise. */
export async function sendCompletion(
    address: string,
    model: string,
    options: CallerOptions & { readonly isStream?: boolean; readonly tokens?: number; readonly user?: string; } = {},
): Promise<CompletionResult> {
    const isStream = options.isStream ?? true;
    const body = {
        model,
        stream: isStream,
        max_tokens: options.tokens,
        user: options.user,
        messages: [{ role: "user", content: "What is in the parcel?" }],
    };
    const result = await sendRequest(address, "/v1/chat/completions", { ...options, body });
    return { ...result, ...readCompletion(result, isStream) };
}

interface CompletionPart {
    readonly model?: string;
    readonly choices?: readonly { readonly delta?: { content?: string; }; readonly message?: { content?: string; }; }[];
}

function readCompletion(
    result: CallerResult,
    isStream: boolean,
): Pick<CompletionResult, "text" | "models" | "hasEndMark"> {
    const models = new Set<string>();
    let text = "";
    let hasEndMark = false;
    const add = (data: string): void => {
        if (data === "[DONE]") {
            hasEndMark = true;
            return;
        }
        const part = JSON.parse(data) as CompletionPart;
        if (part.model !== undefined) {
            models.add(part.model);
        }
        text += part.choices?.[0]?.delta?.content ?? part.choices?.[0]?.message?.content ?? "";
    };
    if (result.status !== 200) {
        return { text, models, hasEndMark };
    }
    if (!isStream) {
        add(result.body);
        return { text, models, hasEndMark: true };
    }
    createParser({ onEvent: event => add(event.data) }).feed(result.body);
    return { text, models, hasEndMark };
}
