/** Maximum size of one event, in bytes. An attempt fails if its stream sends more without ending the event. */
const maxEventBytes = 1024 * 1024;

/** One complete event of a stream. */
export interface StreamEvent {
    /** Bytes of the event, including the empty line at its end. */
    readonly bytes: Buffer;
    /** Value of the event's `id` field; undefined if it has none. */
    readonly id: string | undefined;
}

const lineFeed = 10;

/**
 * Splits a stream of server-sent events into complete events. Bytes after the last complete event are buffered, so that
 * an event that an upstream did not finish never reaches a caller.
 */
export class EventSplitter {
    private pendingBytes: Buffer = Buffer.alloc(0);

    /** Whether the bytes received so far end with a complete event. */
    get isAtBoundary(): boolean {
        return this.pendingBytes.length === 0;
    }

    /** Whether the unfinished event exceeds the maximum size. */
    get isTooLong(): boolean {
        return this.pendingBytes.length > maxEventBytes;
    }

    receive(chunk: Buffer): StreamEvent[] {
        const bytes = this.pendingBytes.length === 0 ? chunk : Buffer.concat([this.pendingBytes, chunk]);
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = findEventEnd(bytes, start); end >= 0; end = findEventEnd(bytes, start)) {
            const event = bytes.subarray(start, end);
            events.push({ bytes: event, id: parseEventId(event) });
            start = end;
        }
        this.pendingBytes = bytes.subarray(start);
        return events;
    }
}

/** Finds the position after the empty line that ends the event at `start`; -1 if the empty line has not arrived yet. */
function findEventEnd(bytes: Buffer, start: number): number {
    let lineStart = start;
    for (let feed = bytes.indexOf(lineFeed, start); feed >= 0; feed = bytes.indexOf(lineFeed, feed + 1)) {
        const isEmptyLine = feed === lineStart || (feed === lineStart + 1 && bytes[lineStart] === 13);
        if (isEmptyLine && lineStart > start) {
            return feed + 1;
        }
        lineStart = feed + 1;
    }
    return -1;
}

function parseEventId(event: Buffer): string | undefined {
    const match = /(?:^|\n)id: ?([^\r\n]*)/.exec(event.toString("latin1"));
    return match?.[1];
}
