import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import type { Readable } from "node:stream";
import { z } from "zod";
import type { Output } from "./commands.js";
import { type ExitCode, exitCodes } from "./exit.js";

/** Events of an engine or another upstream that may have affected its requests. */
const upstreamEvents = new Set([
    "order",
    "engineClaimed",
    "engineGivenUp",
    "ordersAllowed",
    "upstreamEnded",
    "upstreamGone",
]);

/** Upstream events are shown from this long before a request's start, in ms: a load or a change of owner takes less. */
const lookBackMs = 3000;

/** Most upstream events buffered until all lines of the request are read: what 10 VMs log in some minutes. */
const maxBufferedLines = 200_000;

/** A decision line: a JSON log line of an event on a VM. Its other fields depend on the event. */
const lineSchema = z.looseObject({
    at: z.iso.datetime(),
    vm: z.string(),
    event: z.string(),
    request: z.string().optional(),
    engine: z.string().optional(),
    upstream: z.string().optional(),
    adapter: z.string().optional(),
    /** `MODEL/ADAPTER` of an adapter that the request waits for. */
    key: z.string().optional(),
    /** Duration of the logged operation, in milliseconds. */
    ms: z.number().optional(),
});

/** See {@link lineSchema}. */
export type DecisionLine = z.infer<typeof lineSchema>;

/** Parses a log line, ignoring any text before its JSON; undefined if it is not a decision line. */
export function parseDecisionLine(text: string): DecisionLine | undefined {
    const start = text.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        return lineSchema.safeParse(JSON.parse(text.slice(start))).data;
    }
    catch {
        // A log file may also contain truncated lines and lines of other programs.
        return undefined;
    }
}

/** Collects the lines that concern one request. Lines of all VMs may be added in any order. */
export class RequestTrace {
    private readonly requestLines: DecisionLine[] = [];
    private readonly upstreamLines: DecisionLine[] = [];

    constructor(private readonly request: string) {}

    add(line: DecisionLine): void {
        if (line.request === this.request) {
            this.requestLines.push(line);
        }
        else if (upstreamEvents.has(line.event)) {
            this.upstreamLines.push(line);
            if (this.upstreamLines.length > maxBufferedLines) {
                this.upstreamLines.shift();
            }
        }
    }

    /**
     * Lists the lines of the request and the concurrent events of the engines and upstreams that handled it; orders
     * only for its adapter. Sorted by time; empty if no line has the request's id.
     */
    list(): DecisionLine[] {
        const startedAt = Math.min(...this.requestLines.map(readStart)) - lookBackMs;
        const endedAt = Math.max(...this.requestLines.map(line => Date.parse(line.at)));
        const usedUpstreams = new Set(this.requestLines.flatMap(line => [line.engine, line.upstream]));
        const adapters = new Set(this.requestLines.map(line => line.adapter ?? line.key?.split("/")[1]));
        const related = this.upstreamLines.filter(line => {
            const at = Date.parse(line.at);
            const isUsed = usedUpstreams.has(line.engine ?? line.upstream ?? "");
            return isUsed && at >= startedAt && at <= endedAt && (line.event !== "order" || adapters.has(line.adapter));
        });
        return [...this.requestLines, ...related].sort((left, right) => Date.parse(left.at) - Date.parse(right.at));
    }
}

/** Prints the lines that concern one request, from log files or, if none are specified, from standard input. */
export async function runTrace(request: string, files: readonly string[], output: Output): Promise<ExitCode> {
    const trace = new RequestTrace(request);
    const inputs = files.length === 0 ? [process.stdin] : files.map(file => createReadStream(file));
    try {
        for (const input of inputs) {
            await readLines(input, trace);
        }
    }
    catch (error) {
        const { message } = error as Error;
        output.fail({ error: message }, `cannot read the logs: ${message}`);
        return exitCodes.mistakes;
    }
    const lines = trace.list();
    if (lines.length === 0) {
        output.fail(
            { request, lines },
            `no log line has the request id ${request}; pass the logs of all VMs from the time of the request`,
        );
        return exitCodes.notFound;
    }
    output.print({ request, lines }, formatTrace(lines));
    return exitCodes.done;
}

async function readLines(input: Readable, trace: RequestTrace): Promise<void> {
    for await (const text of createInterface({ input, crlfDelay: Infinity })) {
        const line = parseDecisionLine(text);
        if (line !== undefined) {
            trace.add(line);
        }
    }
}

/** Start time of the operation that a line logs, in milliseconds. */
function readStart(line: DecisionLine): number {
    return Date.parse(line.at) - (line.ms ?? 0);
}

/** Formats each entry as one line: time since the first entry, VM, event and the other fields. */
function formatTrace(lines: readonly DecisionLine[]): string {
    const firstMs = Date.parse(lines[0]!.at);
    return lines.map(({ at, vm, event, ...fields }) => {
        const fieldTexts = Object.entries(fields)
            .filter(([name]) => name !== "program" && name !== "request")
            .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
        return [`+${Date.parse(at) - firstMs} ms`, vm, event, ...fieldTexts].join("  ");
    }).join("\n");
}
