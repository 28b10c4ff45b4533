import { createParser } from "eventsource-parser";
import { request } from "undici";

/** Response to a caller. */
export interface CallerResult {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly body: string;
    /** The connection broke before the end of the response. */
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

/** Sends a request as a caller does, and reads the response to its end. */
export async function sendRequest(address: string, path: string, options: CallerOptions = {}): Promise<CallerResult> {
    const { method = "POST", key = "paying-key", headers, body, signal } = options;
    const response = await request(`http://${address}${path}`, {
        method,
        headers: { authorization: `Bearer ${key}`, "content-type": "application/json", ...headers },
        body: body === undefined ? undefined : typeof body === "string" ? body : JSON.stringify(body),
        signal,
    });
    const chunks: Buffer[] = [];
    let isBroken = false;
    try {
        for await (const chunk of response.body) {
            chunks.push(chunk as Buffer);
        }
    }
    catch {
        isBroken = true;
    }
    return {
        status: response.statusCode,
        headers: response.headers,
        body: Buffer.concat(chunks).toString("utf8"),
        isBroken,
    };
}

/** Completion as a caller receives it. */
export interface CompletionResult extends CallerResult {
    /** Concatenated content of the response. */
    readonly text: string;
    /** All models named in the response. */
    readonly models: ReadonlySet<string>;
    readonly hasEndMark: boolean;
}

/** Requests a completion, by default as a stream. */
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
    const addData = (data: string): void => {
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
        addData(result.body);
        return { text, models, hasEndMark: true };
    }
    createParser({ onEvent: event => addData(event.data) }).feed(result.body);
    return { text, models, hasEndMark };
}
