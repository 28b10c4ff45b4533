/** Most bytes of one event: a stream that sends more without an end of event is broken off. */
const maxEventBytes = 1024 * 1024;

/** One whole event of a stream. */
export interface StreamEvent {
    /** Its bytes, the empty line at its end included. */
    readonly bytes: Buffer;
    /** Its id; undefined if it has none. */
    readonly id: string | undefined;
}

const lineFeed = 10;

/**
 * Cuts a stream of server-sent events into whole events. Bytes after the last whole event are held back, so that an
 * event that an upstream did not finish never reaches a caller.
 */
export class EventSplitter {
    private rest: Buffer = Buffer.alloc(0);

    /** Whether the bytes so far end with a whole event. */
    get isAtBoundary(): boolean {
        return this.rest.length === 0;
    }

    /** Whether an event is longer than any real one. */
    get isOverlong(): boolean {
        return this.rest.length > maxEventBytes;
    }

    receive(chunk: Buffer): StreamEvent[] {
        const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = findEventEnd(bytes, start); end >= 0; end = findEventEnd(bytes, start)) {
            const event = bytes.subarray(start, end);
            events.push({ bytes: event, id: parseEventId(event) });
            start = end;
        }
        this.rest = bytes.subarray(start);
        return events;
    }
}

/** Position after the empty line that ends the event at `start`; -1 if it is not there yet. */
function findEventEnd(bytes: Buffer, start: number): number {
    let lineStart = start;
    for (let feed = bytes.indexOf(lineFeed, start); feed >= 0; feed = bytes.indexOf(lineFeed, feed + 1)) {
        const isEmpty = feed === lineStart || (feed === lineStart + 1 && bytes[lineStart] === 13);
        if (isEmpty && lineStart > start) {
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
