import type { GatewayMetrics } from "@radishreel/telemetry";
import type { Attempt } from "@radishreel/upstreams";
import { createRefused, type Verdict } from "@radishreel/verdict";
import { askAgainSeconds, type CallerAnswer } from "./caller.js";
import type { ControlTask } from "./control.js";
import type { DispatchTask, Placement } from "./dispatching.js";
import type { CallerRequest } from "./request.js";

/** What every run needs of the gateway. */
export interface RunContext {
    readonly dispatch: DispatchTask;
    readonly control: ControlTask;
    readonly metrics: GatewayMetrics;
    /** Longest time for which a caller may leave its answer unread, in milliseconds. */
    readonly callerSilenceMs: number;
    /** A request was queued or refused: demand has changed. */
    readonly onArrival: () => void;
    /** Address of an upstream; undefined once it is not known any more. */
    readonly findAddress: (upstreamId: string) => string | undefined;
}

/** How one attempt ended. */
export interface UpstreamEnd {
    readonly verdict: Exclude<Verdict, { kind: "refused"; }>;
    readonly isLeaving: boolean;
    /** The upstream itself said how it ended. */
    readonly isSure?: boolean;
}

/** Options of {@link UpstreamRun}. */
export interface UpstreamRunOptions {
    readonly context: RunContext;
    readonly request: CallerRequest;
    readonly answer: CallerAnswer;
    /** The run goes on when its caller goes away, since its outcome is kept. */
    readonly survivesCaller: boolean;
}

/** One request, from its arrival to its verdict, over all its attempts. Only what was not run is tried again. */
export abstract class UpstreamRun {
    readonly verdict: Promise<Verdict>;
    protected readonly request: CallerRequest;
    protected readonly answer: CallerAnswer;
    private readonly context: RunContext;
    private finishRun: (verdict: Verdict) => void = () => {};
    private attempt: Attempt<UpstreamEnd> | undefined;
    private isCallerGone = false;
    private attempts = 0;
    private unreadTimer: NodeJS.Timeout | undefined;

    constructor(options: UpstreamRunOptions) {
        this.context = options.context;
        this.request = options.request;
        this.answer = options.answer;
        this.verdict = new Promise(resolve => {
            this.finishRun = resolve;
        });
        if (!options.survivesCaller) {
            this.answer.onGone(() => this.cancel());
        }
        this.answer.onDrain(() => this.resume());
    }

    /** Starts one attempt at the chosen upstream. */
    protected abstract open(placement: Placement, callId: string): Attempt<UpstreamEnd>;

    /** Called at the end of each attempt. */
    protected recordEnd(_upstreamId: string, _end: UpstreamEnd): void {}

    /** Queues the request for what it needs. */
    protected arrive(model: string, prefix?: string): void {
        const { id, customer, arrivedAt, deadlineAt } = this.request;
        this.context.dispatch.arrive(
            {
                id,
                model,
                customer: customer.name,
                customerClass: customer.class,
                weight: customer.weight,
                arrivedAt,
                deadlineAt,
                prefix,
            },
            { dispatch: placement => this.start(placement), refuse: verdict => this.finishRun(verdict) },
        );
        this.context.onArrival();
    }

    /** Passes bytes to the caller, at the caller's speed. */
    protected passOn(chunk: Buffer): void {
        if (this.answer.write(chunk)) {
            return;
        }
        this.attempt?.pause();
        clearTimeout(this.unreadTimer);
        this.unreadTimer = setTimeout(() => this.answer.cancel(), this.context.callerSilenceMs);
    }

    private resume(): void {
        clearTimeout(this.unreadTimer);
        this.attempt?.resume();
    }

    private start(placement: Placement): void {
        const waitedSeconds = (performance.now() - this.request.arrivedAt) / 1000;
        this.context.metrics.queueTime.observe({ class: this.request.customer.class }, waitedSeconds);
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
        if (this.isCallerGone) {
            dispatch.end(id, upstreamId, "cancelled", verdict.reason);
            this.finishRun(verdict);
            return;
        }
        if (verdict.kind === "notRun") {
            // Either another attempt is dispatched, or the request is refused.
            dispatch.end(id, upstreamId, "notRun", verdict.reason);
            return;
        }
        dispatch.end(id, upstreamId, "mayHaveRun", verdict.reason);
        this.finishRun({ ...verdict, retryAfterSeconds: askAgainSeconds });
    }

    private cancel(): void {
        this.isCallerGone = true;
        if (this.attempt !== undefined) {
            this.attempt.cancel("callerGone");
            return;
        }
        this.context.dispatch.cancel(this.request.id);
        this.finishRun(createRefused("callerGone", "the caller went away before its request was sent on"));
    }
}
