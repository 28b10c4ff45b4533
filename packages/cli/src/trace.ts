import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import type { Readable } from "node:stream";
import { z } from "zod";
import type { Output } from "./commands.js";
import { type ExitCode, exitCodes } from "./exit.js";

/** Events of an engine or an upstream that explain what a request met there. */
const upstreamEvents = new Set([
    "order",
    "engineClaimed",
    "engineGivenUp",
    "ordersAllowed",
    "upstreamEnded",
    "upstreamGone",
]);

/** How long before a request's start such events are shown, in milliseconds: a load or a change of owner takes less. */
const lookBackMs = 3000;

/** Most of them kept while the request's own lines are still being read: some minutes of ten VMs. */
const maxKeptLines = 200_000;

/** A decision line; what is left of its fields depends on the event. */
const lineSchema = z.looseObject({
    at: z.iso.datetime(),
    vm: z.string(),
    event: z.string(),
    request: z.string().optional(),
    engine: z.string().optional(),
    upstream: z.string().optional(),
    adapter: z.string().optional(),
    /** MODEL/ADAPTER of an adapter that is waited for. */
    key: z.string().optional(),
    /** Time that what the line tells took, in milliseconds. */
    ms: z.number().optional(),
});

/** See {@link lineSchema}. */
export type DecisionLine = z.infer<typeof lineSchema>;

/** Reads one line of a log, whatever stands before its JSON; undefined if it is no decision line. */
export function parseDecisionLine(text: string): DecisionLine | undefined {
    const start = text.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        return lineSchema.safeParse(JSON.parse(text.slice(start))).data;
    }
    catch {
        // Other programs' lines, and lines that were cut, may stand in the same file.
        return undefined;
    }
}

/** Collects what touched one request, from the lines of all VMs in any order. */
export class RequestTrace {
    private readonly own: DecisionLine[] = [];
    private readonly others: DecisionLine[] = [];

    constructor(private readonly request: string) {}

    add(line: DecisionLine): void {
        if (line.request === this.request) {
            this.own.push(line);
        }
        else if (upstreamEvents.has(line.event)) {
            this.others.push(line);
            if (this.others.length > maxKeptLines) {
                this.others.shift();
            }
        }
    }

    /**
     * The request's own lines, and what happened meanwhile to the engines and upstreams that it met: orders only for its
     * adapter. By time; empty if no line names the request.
     */
    list(): DecisionLine[] {
        const startedAt = Math.min(...this.own.map(readStart)) - lookBackMs;
        const endedAt = Math.max(...this.own.map(line => Date.parse(line.at)));
        const met = new Set(this.own.flatMap(line => [line.engine, line.upstream]));
        const adapters = new Set(this.own.map(line => line.adapter ?? line.key?.split("/")[1]));
        const related = this.others.filter(line => {
            const at = Date.parse(line.at);
            const isMet = met.has(line.engine ?? line.upstream ?? "");
            return isMet && at >= startedAt && at <= endedAt && (line.event !== "order" || adapters.has(line.adapter));
        });
        return [...this.own, ...related].sort((left, right) => Date.parse(left.at) - Date.parse(right.at));
    }
}

/** Prints the story of one request from files, or from standard input where none is named. */
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
        output.fail({ request, lines }, `no line names request ${request}: gather the logs of all VMs of its time`);
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

/** When what a line tells began, in milliseconds. */
function readStart(line: DecisionLine): number {
    return Date.parse(line.at) - (line.ms ?? 0);
}

/** One line each: time since the first one, VM, event and the other fields. */
function formatTrace(lines: readonly DecisionLine[]): string {
    const first = Date.parse(lines[0]!.at);
    return lines.map(({ at, vm, event, ...fields }) => {
        const shown = Object.entries(fields)
            .filter(([name]) => name !== "program" && name !== "request")
            .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
        return [`+${Date.parse(at) - first} ms`, vm, event, ...shown].join("  ");
    }).join("\n");
}
