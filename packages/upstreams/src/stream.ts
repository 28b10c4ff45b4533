import { createParser, type EventSourceParser } from "eventsource-parser";
import { z } from "zod";

/** End marker of an OpenAI-compatible event stream; a complete response ends with it. */
const endMark = /(?:^|\n)data: ?\[DONE\](?:\r?\n)*$/;

/** Bytes kept of the stream's end, to find the end marker in. */
const tailBytes = 32;

/** Largest number of bytes held back until the first event names its model. */
export const maxHeldBytes = 256 * 1024;

const eventSchema = z.object({ model: z.string() });

/** What to do with the bytes received so far. */
export type StreamStep =
    /** The first event is incomplete: no byte may be passed to the caller. */
    | { readonly kind: "held"; }
    /** These bytes may be passed to the caller. */
    | { readonly kind: "pass"; readonly chunk: Buffer; }
    /** The first event names another model, or cannot be parsed. */
    | { readonly kind: "reject"; readonly reason: "wrongModel" | "malformedAnswer"; readonly detail: string; };

/**
 * Checks an event stream without parsing all of it. The first event is parsed, because it names the model that
 * responds; later bytes pass unchanged. The last bytes are kept, to tell a complete response from a truncated one.
 */
export class StreamChecker {
    private heldChunks: Buffer[] = [];
    private heldBytes = 0;
    private isVerified = false;
    private tail: Buffer = Buffer.alloc(0);
    private readonly decoder = new TextDecoder();
    private readonly parser: EventSourceParser;
    private firstEvent: string | undefined;

    constructor(private readonly model: string) {
        this.parser = createParser({
            onEvent: event => {
                this.firstEvent ??= event.data;
            },
        });
    }

    receive(chunk: Buffer): StreamStep {
        this.updateTail(chunk);
        if (this.isVerified) {
            return { kind: "pass", chunk };
        }
        this.heldChunks.push(chunk);
        this.heldBytes += chunk.length;
        this.parser.feed(this.decoder.decode(chunk, { stream: true }));
        if (this.firstEvent === undefined) {
            const isTooLong = this.heldBytes > maxHeldBytes;
            return isTooLong
                ? { kind: "reject", reason: "malformedAnswer", detail: "no event in the answer's start" }
                : { kind: "held" };
        }
        return this.checkFirstEvent(this.firstEvent);
    }

    /** Whether the bytes received so far end with the end marker. */
    get isComplete(): boolean {
        return this.isVerified && endMark.test(this.tail.toString("latin1"));
    }

    private checkFirstEvent(data: string): StreamStep {
        const model = parseModel(data);
        if (model === undefined) {
            return { kind: "reject", reason: "malformedAnswer", detail: "the first event names no model" };
        }
        if (model !== this.model) {
            return { kind: "reject", reason: "wrongModel", detail: `asked for ${this.model}, answered by ${model}` };
        }
        this.isVerified = true;
        const chunk = this.heldChunks.length === 1 ? this.heldChunks[0]! : Buffer.concat(this.heldChunks);
        this.heldChunks = [];
        return { kind: "pass", chunk };
    }

    private updateTail(chunk: Buffer): void {
        if (chunk.length >= tailBytes) {
            // Copied, because a view would keep the whole chunk in memory until the next one arrives.
            this.tail = Buffer.from(chunk.subarray(-tailBytes));
            return;
        }
        this.tail = Buffer.concat([this.tail, chunk]).subarray(-tailBytes);
    }
}

/** The `model` member of a JSON text; undefined if the text is not JSON or has no such member. */
export function parseModel(text: string): string | undefined {
    try {
        return eventSchema.safeParse(JSON.parse(text)).data?.model;
    }
    catch {
        return undefined;
    }
}
