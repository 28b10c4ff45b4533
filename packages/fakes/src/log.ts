import type { FakeListenerOptions } from "./listener.js";
import { type FakeRequest, type FakeResponse, FakeServer } from "./server.js";

interface Stream {
    /** Offset of the first stored record. */
    earliest: number;
    records: string[];
    waiters: Set<() => void>;
}

/** Maximum number of records in one page. */
const pageSize = 500;

/** Fake of the platform's log service. Operations: `append`, `read`, `trim`. */
export class FakeLog extends FakeServer {
    private readonly streams = new Map<string, Stream>();

    constructor(options: FakeListenerOptions = {}) {
        super(options);
    }

    /** Drops all records below `offset`, as if their retention had ended. */
    removeBefore(streamName: string, offset: number): void {
        const stream = this.findStream(streamName);
        const dropped = Math.max(0, Math.min(offset - stream.earliest, stream.records.length));
        stream.records.splice(0, dropped);
        stream.earliest += dropped;
    }

    /** Lists the stored records of a stream. */
    listRecords(streamName: string): readonly string[] {
        return this.findStream(streamName).records;
    }

    protected findOperation(request: FakeRequest): string {
        if (request.path.startsWith("/trim/")) {
            return "trim";
        }
        return request.method === "POST" ? "append" : "read";
    }

    protected async run(request: FakeRequest): Promise<FakeResponse> {
        const [, root, name] = request.path.split("/");
        if (root === "trim" && name !== undefined) {
            this.removeBefore(name, Number(request.query.get("before")));
            return { status: 200, body: {} };
        }
        if (root !== "streams" || name === undefined) {
            return { status: 404, body: {} };
        }
        const stream = this.findStream(name);
        if (request.method === "POST") {
            return { status: 200, body: { offset: this.append(stream, request.body) } };
        }
        return this.read(stream, Number(request.query.get("from") ?? 0), Number(request.query.get("wait") ?? 0));
    }

    private append(stream: Stream, data: string): number {
        stream.records.push(data);
        for (const wake of stream.waiters) {
            wake();
        }
        stream.waiters.clear();
        return stream.earliest + stream.records.length - 1;
    }

    private async read(stream: Stream, from: number, waitMs: number): Promise<FakeResponse> {
        if (from >= stream.earliest + stream.records.length && waitMs > 0) {
            await new Promise<void>(resolve => {
                const timer = setTimeout(resolve, waitMs);
                stream.waiters.add(() => {
                    clearTimeout(timer);
                    resolve();
                });
            });
        }
        const start = Math.max(from, stream.earliest);
        const records = stream.records.slice(start - stream.earliest, start - stream.earliest + pageSize);
        return {
            status: 200,
            body: {
                earliest: stream.earliest,
                end: stream.earliest + stream.records.length,
                records: records.map((data, index) => ({ offset: start + index, data })),
            },
        };
    }

    private findStream(name: string): Stream {
        const stream = this.streams.get(name) ?? { earliest: 0, records: [], waiters: new Set() };
        this.streams.set(name, stream);
        return stream;
    }
}
