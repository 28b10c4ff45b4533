import { EventEndFinder } from "./eventend.js";
import { KeptBytes } from "./responsememory.js";

/** Maximum size of one event, in bytes. An attempt fails if its stream sends more without ending the event. */
const maxEventBytes = 1024 * 1024;

/** Maximum bytes between two new events: comments, and events that were already received. */
const maxBytesBetweenEvents = 256 * 1024;

/** One complete event of a stream. */
export interface StreamEvent {
    /** Bytes of the event, including the empty line at its end. */
    readonly bytes: Buffer;
    /** Value of the event's `id` field; undefined if it has none. */
    readonly id: string | undefined;
    /** Whether the stream makes progress by the event: it is no comment, and has not been received before. */
    readonly isNew: boolean;
}

const fieldPatterns = { id: /(?:^|\n)id: ?([^\r\n]*)/, data: /(?:^|\n)data: ?([^\r\n]*)/ };

/**
 * Splits a stream of server-sent events into complete events. Bytes after the last complete event are buffered, so that
 * an event that an upstream did not finish never reaches a caller.
 */
export class EventSplitter {
    private readonly pendingBytes = new KeptBytes();
    private readonly finder = new EventEndFinder();
    private bytesSinceNew = 0;
    private lastId = -Infinity;

    /** Whether the bytes received so far end with a complete event. */
    get isAtBoundary(): boolean {
        return this.pendingBytes.length === 0;
    }

    /** Whether the unfinished event, or what came since the last new event, exceeds its maximum size. */
    get isTooLong(): boolean {
        const isUnfinishedTooLong = this.pendingBytes.length > maxEventBytes || this.pendingBytes.isRefused;
        return isUnfinishedTooLong || this.bytesSinceNew > maxBytesBetweenEvents;
    }

    /** Drops the bytes of the unfinished event. */
    close(): void {
        this.pendingBytes.close();
    }

    receive(chunk: Buffer): StreamEvent[] {
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = this.finder.find(chunk, start); end >= 0; end = this.finder.find(chunk, start)) {
            events.push(this.parseEvent(this.finishEvent(chunk.subarray(start, end))));
            start = end;
        }
        this.pendingBytes.push(chunk.subarray(start));
        return events;
    }

    /** Returns the bytes of an event whose last bytes have arrived. */
    private finishEvent(last: Buffer): Buffer {
        if (this.pendingBytes.length === 0) {
            return last;
        }
        this.pendingBytes.push(last);
        return this.pendingBytes.popAll();
    }

    private parseEvent(bytes: Buffer): StreamEvent {
        const text = bytes.toString("latin1");
        const id = parseField(text, "id");
        const isNew = this.isNew(id, text);
        this.bytesSinceNew = isNew ? 0 : this.bytesSinceNew + bytes.length;
        return { bytes, id, isNew };
    }

    private isNew(id: string | undefined, text: string): boolean {
        const number = Number(id);
        if (id === undefined || Number.isNaN(number)) {
            return parseField(text, "data") !== undefined;
        }
        if (number <= this.lastId) {
            return false;
        }
        this.lastId = number;
        return true;
    }
}

/** Parses a field of an event; undefined if the event has none. */
function parseField(event: string, name: "id" | "data"): string | undefined {
    const match = fieldPatterns[name].exec(event);
    return match?.[1];
}
