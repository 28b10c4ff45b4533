import type { GatewayMetrics } from "@radishreel/telemetry";
import type { Attempt } from "@radishreel/upstreams";
import { createRefused, type Verdict } from "@radishreel/verdict";
import type { ControlTask } from "./control.js";
import type { DispatchTask, Placement } from "./dispatching.js";
import type { CallerRequest } from "./request.js";
import { type CallerResponse, outcomeRetrySeconds } from "./response.js";

/** Parts of the gateway that every run uses. */
export interface RunContext {
    readonly dispatch: DispatchTask;
    readonly control: ControlTask;
    readonly metrics: GatewayMetrics;
    /** Maximum time for which a caller may leave its response unread, in milliseconds. */
    readonly callerSilenceMs: number;
    /** Called when a request was queued or refused, which changes the demand. */
    readonly onArrival: () => void;
    /** Returns the address of an upstream, or undefined if the upstream is no longer known. */
    readonly findAddress: (upstreamId: string) => string | undefined;
}

/** Result of one attempt. */
export interface UpstreamEnd {
    readonly verdict: Exclude<Verdict, { kind: "refused"; }>;
    readonly isLeaving: boolean;
    /** Whether the upstream itself confirmed that the request ended. */
    readonly isConfirmed?: boolean;
}

/** Options of {@link UpstreamRun}. */
export interface UpstreamRunOptions {
    readonly context: RunContext;
    readonly request: CallerRequest;
    readonly response: CallerResponse;
    /** Whether the run continues after its caller disconnects, because its outcome is stored for a later retry. */
    readonly continuesAfterDisconnect: boolean;
}

/** One request from its arrival to its verdict, with all its attempts. Only attempts that did not run are retried. */
export abstract class UpstreamRun {
    readonly verdict: Promise<Verdict>;
    protected readonly request: CallerRequest;
    protected readonly response: CallerResponse;
    private readonly context: RunContext;
    private finishRun: (verdict: Verdict) => void = () => {};
    private attempt: Attempt<UpstreamEnd> | undefined;
    private hasCallerDisconnected = false;
    private attempts = 0;
    private unreadTimer: NodeJS.Timeout | undefined;

    constructor(options: UpstreamRunOptions) {
        this.context = options.context;
        this.request = options.request;
        this.response = options.response;
        this.verdict = new Promise(resolve => {
            this.finishRun = resolve;
        });
        if (!options.continuesAfterDisconnect) {
            this.response.onDisconnect(() => this.cancel());
        }
        this.response.onDrain(() => this.resume());
    }

    /** Starts one attempt at the chosen upstream. */
    protected abstract open(placement: Placement, callId: string): Attempt<UpstreamEnd>;

    /** Called at the end of each attempt. */
    protected recordEnd(_upstreamId: string, _end: UpstreamEnd): void {}

    /** Queues the request for an upstream that serves `model`: a model or, for calls, a service. */
    protected arrive(model: string, prefix?: string): void {
        const { id, account, arrivedAt, deadlineAt } = this.request;
        this.context.dispatch.arrive(
            {
                id,
                model,
                account: account.name,
                accountClass: account.class,
                weight: account.weight,
                arrivedAt,
                deadlineAt,
                prefix,
            },
            { dispatch: placement => this.start(placement), refuse: verdict => this.finishRun(verdict) },
        );
        this.context.onArrival();
    }

    /** Forwards bytes to the caller and pauses the upstream while the caller reads too slowly. */
    protected forwardChunk(chunk: Buffer): void {
        if (this.response.write(chunk)) {
            return;
        }
        this.attempt?.pause();
        clearTimeout(this.unreadTimer);
        this.unreadTimer = setTimeout(() => this.response.cancel(), this.context.callerSilenceMs);
    }

    private resume(): void {
        clearTimeout(this.unreadTimer);
        this.attempt?.resume();
    }

    private start(placement: Placement): void {
        const waitedSeconds = (performance.now() - this.request.arrivedAt) / 1000;
        this.context.metrics.queueTime.observe({ class: this.request.account.class }, waitedSeconds);
        const attempt = this.open(placement, `${this.request.id}.${++this.attempts}`);
        this.attempt = attempt;
        void attempt.end.then(end => this.receiveEnd(placement.engineId, end));
    }

    private receiveEnd(upstreamId: string, end: UpstreamEnd): void {
        const { dispatch, control } = this.context;
        const { verdict } = end;
        const { id } = this.request;
        this.attempt = undefined;
        clearTimeout(this.unreadTimer);
        this.recordEnd(upstreamId, end);
        if (end.isLeaving) {
            control.sendLeaving(upstreamId);
        }
        if (verdict.kind === "complete") {
            dispatch.end(id, upstreamId, "complete");
            this.finishRun(verdict);
            return;
        }
        if (this.hasCallerDisconnected) {
            dispatch.end(id, upstreamId, "cancelled", verdict.reason);
            this.finishRun(verdict);
            return;
        }
        if (verdict.kind === "notRun") {
            // The dispatcher either starts another attempt or refuses the request.
            dispatch.end(id, upstreamId, "notRun", verdict.reason);
            return;
        }
        dispatch.end(id, upstreamId, "mayHaveRun", verdict.reason);
        this.finishRun({ ...verdict, retryAfterSeconds: outcomeRetrySeconds });
    }

    private cancel(): void {
        this.hasCallerDisconnected = true;
        if (this.attempt !== undefined) {
            this.attempt.cancel("callerGone");
            return;
        }
        this.context.dispatch.cancel(this.request.id);
        this.finishRun(createRefused("callerGone", "the caller went away before its request was sent on"));
    }
}
