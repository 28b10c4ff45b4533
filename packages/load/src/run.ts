import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";
import { type Arrival, createArrivals } from "./arrivals.js";
import { type LoadOptions, maxDurationSeconds, maxRequests } from "./options.js";
import { ClassRecorder, type LoadResult, SecondRecorder } from "./result.js";

const streamEndMarker = "data: [DONE]";

/** Size of the end of a response in which the end marker is searched, in bytes. */
const tailBytes = 64;

/** Sends the requests of a run at their scheduled times and collects the results. */
export class LoadRun {
    private readonly agent = new Agent({ pipelining: 1 });
    private readonly recorders = { paying: new ClassRecorder(), trial: new ClassRecorder() };
    private readonly seconds = new SecondRecorder();
    private startedAt = 0;
    private bytes = 0;
    private events = 0;
    private sentCount = 0;

    /** @param onProgress Called after each sent request with the number sent and the total. */
    constructor(
        private readonly options: LoadOptions,
        private readonly onProgress: (sent: number, total: number) => void,
    ) {}

    async run(): Promise<LoadResult> {
        const arrivals = this.checkBounds(createArrivals(this.options));
        this.startedAt = performance.now();
        const pending: Promise<void>[] = [];
        for (const arrival of arrivals) {
            const waitMs = this.startedAt + arrival.at - performance.now();
            if (waitMs > 1) {
                await sleep(waitMs);
            }
            pending.push(this.send(arrival));
            this.onProgress(pending.length, arrivals.length);
        }
        await Promise.all(pending);
        const durationSeconds = (performance.now() - this.startedAt) / 1000;
        await this.agent.close();
        return {
            durationSeconds,
            bytes: this.bytes,
            events: this.events,
            paying: this.recorders.paying.readResult(),
            trial: this.recorders.trial.readResult(),
            seconds: this.seconds.readResult(),
        };
    }

    private checkBounds(arrivals: Arrival[]): Arrival[] {
        if (arrivals.length > maxRequests || this.options.durationSeconds > maxDurationSeconds) {
            throw new Error(
                `a run is limited to ${maxRequests} requests and ${maxDurationSeconds} s; this one has ${arrivals.length} requests`,
            );
        }
        return arrivals;
    }

    private async send(arrival: Arrival): Promise<void> {
        const recorder = this.recorders[arrival.accountClass];
        recorder.recordSent();
        const target = this.options.targets[this.sentCount++ % this.options.targets.length]!;
        try {
            await (arrival.kind === "once" ? this.sendOnce(target, arrival) : this.sendCompletion(target, arrival));
        }
        catch (error) {
            recorder.recordFailure((error as { code?: string; }).code ?? "broken");
            this.seconds.recordFailure(arrival.at);
        }
    }

    private createHeaders(arrival: Arrival): Record<string, string> {
        const key = arrival.accountClass === "paying" ? this.options.payingKey : this.options.trialKey;
        return {
            authorization: `Bearer ${key}`,
            "content-type": "application/json",
            "x-deadline-ms": String(this.options.deadlineMs),
        };
    }

    private async sendCompletion(target: string, arrival: Arrival): Promise<void> {
        const { model, isStream: stream } = arrival;
        const body = JSON.stringify({
            model,
            stream,
            max_tokens: this.options.maxTokens,
            messages: [{ role: "user", content: "load" }],
        });
        await this.sendRequest(target, "/v1/chat/completions", arrival, this.createHeaders(arrival), body);
    }

    /** Obtains a request token, then sends the non-idempotent call with it. */
    private async sendOnce(target: string, arrival: Arrival): Promise<void> {
        const headers = this.createHeaders(arrival);
        const issued = await request(`http://${target}/v1/request-tokens`, {
            dispatcher: this.agent,
            method: "POST",
            headers,
        });
        const { tokens } = await issued.body.json() as { tokens?: string[]; };
        const path = this.options.onceCall ?? "";
        await this.sendRequest(target, path, arrival, { ...headers, "x-request-token": tokens?.[0] ?? "" }, "{}");
    }

    private async sendRequest(
        target: string,
        path: string,
        arrival: Arrival,
        headers: Record<string, string>,
        body: string,
    ): Promise<void> {
        // Latency counts from the scheduled time, so that a slow response does not hide the delay of later requests.
        const dueAt = this.startedAt + arrival.at;
        const recorder = this.recorders[arrival.accountClass];
        const response = await request(`http://${target}${path}`, {
            dispatcher: this.agent,
            method: "POST",
            headers,
            body,
        });
        let firstByteMs: number | undefined;
        let tail = "";
        for await (const chunk of response.body as AsyncIterable<Buffer>) {
            firstByteMs ??= performance.now() - dueAt;
            this.bytes += chunk.length;
            this.events++;
            tail = (tail + chunk.toString("latin1")).slice(response.statusCode === 200 ? -tailBytes : 0);
        }
        const isComplete = arrival.kind === "once" || !arrival.isStream || tail.includes(streamEndMarker);
        if (response.statusCode === 200 && isComplete) {
            recorder.recordComplete(firstByteMs ?? 0, performance.now() - dueAt);
            this.seconds.recordComplete(arrival.at, firstByteMs ?? 0);
            return;
        }
        recorder.recordFailure(response.statusCode === 200 ? "truncated" : readReason(tail, response.statusCode));
        this.seconds.recordFailure(arrival.at);
    }
}

function readReason(body: string, status: number): string {
    try {
        return (JSON.parse(body) as { reason?: string; }).reason ?? String(status);
    }
    catch {
        return String(status);
    }
}
