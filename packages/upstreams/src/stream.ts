import { createParser, type EventSourceParser } from "eventsource-parser";
import { z } from "zod";

/** End mark of an OpenAI-compatible event stream, as it stands at the very end of a whole answer. */
const endMark = /(?:^|\n)data: ?\[DONE\](?:\r?\n)*$/;

/** Bytes of the end of a stream that are kept to find the end mark. */
const tailBytes = 32;

/** Most bytes held back until the first event names its model. */
export const maxHeldBytes = 256 * 1024;

const eventSchema = z.object({ model: z.string() });

/** What a stream's bytes may do next. */
export type StreamStep =
    /** The first event is not whole yet: nothing may go to the caller. */
    | { readonly kind: "held"; }
    /** These bytes may go to the caller. */
    | { readonly kind: "pass"; readonly chunk: Buffer; }
    /** Another model answers, or the first event cannot be read. */
    | { readonly kind: "reject"; readonly reason: "wrongModel" | "malformedAnswer"; readonly detail: string; };

/**
 * Watches an event stream as bytes. Only the first event is parsed, since it proves which model answers; what follows
 * passes untouched, and only the last bytes are remembered, to tell a whole answer from a truncated one.
 */
export class StreamChecker {
    private held: Buffer[] = [];
    private heldLength = 0;
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
        this.recordTail(chunk);
        if (this.isVerified) {
            return { kind: "pass", chunk };
        }
        this.held.push(chunk);
        this.heldLength += chunk.length;
        this.parser.feed(this.decoder.decode(chunk, { stream: true }));
        if (this.firstEvent === undefined) {
            const isTooLong = this.heldLength > maxHeldBytes;
            return isTooLong
                ? { kind: "reject", reason: "malformedAnswer", detail: "no event in the answer's start" }
                : { kind: "held" };
        }
        return this.checkFirstEvent(this.firstEvent);
    }

    /** Whether the bytes so far end as a whole answer does. */
    get isWhole(): boolean {
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
        const chunk = this.held.length === 1 ? this.held[0]! : Buffer.concat(this.held);
        this.held = [];
        return { kind: "pass", chunk };
    }

    private recordTail(chunk: Buffer): void {
        if (chunk.length >= tailBytes) {
            // Copied, since a view would keep the whole chunk alive until the next one.
            this.tail = Buffer.from(chunk.subarray(-tailBytes));
            return;
        }
        this.tail = Buffer.concat([this.tail, chunk]).subarray(-tailBytes);
    }
}

/** The model that an answer's JSON names; undefined if it is no such JSON. */
export function parseModel(text: string): string | undefined {
    try {
        return eventSchema.safeParse(JSON.parse(text)).data?.model;
    }
    catch {
        return undefined;
    }
}
