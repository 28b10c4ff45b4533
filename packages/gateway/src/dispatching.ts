import {
    type AccountClass,
    type AttemptOutcome,
    type DispatchCommand,
    Dispatcher,
    type DispatcherOptions,
    type DispatchEvent,
    type DispatchRequest,
    type LeasedEngine,
    type LoadOutlook,
    type ModelDemand,
} from "@radishreel/dispatch";
import type { Reason, RefusedVerdict } from "@radishreel/verdict";

/** The upstream chosen for a request. */
export interface Placement {
    readonly engineId: string;
    readonly stallMs: number;
    readonly fullness: number;
}

/** Callbacks of a waiting request: `dispatch` once per attempt, and at most one `refuse` at the end. */
export interface WaitingRequest {
    dispatch(placement: Placement): void;
    refuse(verdict: RefusedVerdict): void;
}

/** Drives one dispatcher with the clock of the VM. */
export class DispatchTask {
    private readonly dispatcher: Dispatcher;
    private readonly waiting = new Map<string, WaitingRequest>();
    private readonly knownEngineIds = new Set<string>();
    private timer: NodeJS.Timeout | undefined;

    constructor(options: DispatcherOptions, private readonly onRetry: (reason: Reason) => void) {
        this.dispatcher = new Dispatcher(options);
    }

    get openRequests(): number {
        return this.dispatcher.openRequests;
    }

    /** Applies the options of new offerings. */
    setOptions(options: DispatcherOptions): void {
        this.dispatcher.setOptions(options);
    }

    /** Queues a request. */
    arrive(request: DispatchRequest, waiting: WaitingRequest): void {
        this.waiting.set(request.id, waiting);
        this.run({ type: "arrive", request });
    }

    /** Removes a request that has not been dispatched. */
    cancel(requestId: string): void {
        this.waiting.delete(requestId);
        this.run({ type: "cancel", requestId });
    }

    /** Ends one attempt. Unless the outcome is `notRun`, the request has ended too. */
    end(requestId: string, engineId: string, outcome: AttemptOutcome, reason?: Reason): void {
        if (outcome !== "notRun") {
            this.waiting.delete(requestId);
        }
        this.run({ type: "ended", requestId, engineId, outcome, reason });
    }

    /** Replaces the known upstreams. */
    setEngines(engines: readonly LeasedEngine[]): void {
        const present = new Set(engines.map(engine => engine.id));
        for (const engineId of this.knownEngineIds) {
            if (!present.has(engineId)) {
                this.knownEngineIds.delete(engineId);
                this.run({ type: "engineGone", engineId });
            }
        }
        for (const engine of engines) {
            this.knownEngineIds.add(engine.id);
            this.run({ type: "engine", engine });
        }
    }

    setOutlook(outlook: LoadOutlook): void {
        this.run({ type: "outlook", outlook });
    }

    readDemand(isUrgent: boolean): ModelDemand[] {
        return this.dispatcher.readDemand(performance.now(), isUrgent);
    }

    readWholeDemand(): ModelDemand[] {
        return this.dispatcher.readWholeDemand(performance.now());
    }

    stop(): void {
        clearTimeout(this.timer);
    }

    private run(event: DispatchEvent): void {
        const now = performance.now();
        for (const command of this.dispatcher.decide(event, now)) {
            this.runCommand(command);
        }
        this.schedule(now);
    }

    private runCommand(command: DispatchCommand): void {
        switch (command.type) {
            case "dispatch":
                this.waiting.get(command.request.id)?.dispatch(command);
                return;
            case "refuse": {
                const waiting = this.waiting.get(command.request.id);
                this.waiting.delete(command.request.id);
                waiting?.refuse(command.verdict);
                return;
            }
            case "retry":
                this.onRetry(command.reason);
        }
    }

    private schedule(now: number): void {
        clearTimeout(this.timer);
        const wakeAt = this.dispatcher.findNextWake(now);
        if (wakeAt !== undefined) {
            this.timer = setTimeout(() => this.run({ type: "tick" }), Math.max(1, Math.ceil(wakeAt - now)));
        }
    }
}

/** Priority of each account class that is sent to engines; higher runs first. */
export const priorityByClass: Record<AccountClass, number> = { paying: 10, trial: 0 };
