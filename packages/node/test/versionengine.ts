import {
    type EngineOrder,
    type EngineReport,
    formatAdapterKey,
    type OrderOutcome,
    prefillTokensPerMs,
} from "@radishreel/fleet";
import type { Schedule } from "./schedule.js";

/** The base model of all engines. */
export const model = "base";

/** Number of adapter slots of an engine. */
export const adapterSlots = 4;

/** Duration of a load, in milliseconds. */
const loadMs = 250;

/** A request as it arrives at an engine. */
export interface EngineRequest {
    readonly vm: string;
    readonly key: string;
    /** Version that must run the request; undefined for any version. */
    readonly version: number | undefined;
    readonly promptTokens: number;
    readonly runMs: number;
    /** When the request was written; Infinity until then. */
    sentAt: number;
    readonly onRejected: () => void;
    /** Called when the engine has read the prompt. */
    readonly onStart: () => void;
    readonly onEnd: () => void;
}

/** A request that an engine has started. */
export interface StartedRequest {
    readonly engine: string;
    readonly request: EngineRequest;
    readonly version: number;
    readonly at: number;
}

/** Simulated engine that reads one prompt at a time, holds versions of adapters, and carries out orders. */
export class VersionEngine {
    sequence = 0;
    /** Factor on all durations of the engine. */
    slowdownFactor = 1;
    readonly held = new Map<string, number>();
    private readonly loading = new Map<string, { readonly version: number; readonly at: number; }>();
    private readonly evicting = new Set<string>();
    private readonly queue: EngineRequest[] = [];
    private readonly running = new Set<EngineRequest>();
    private isReading = false;

    constructor(
        readonly name: string,
        private readonly schedule: Schedule,
        private readonly findNewest: (key: string) => number,
        private readonly onStarted: (started: StartedRequest) => void,
    ) {}

    receive(request: EngineRequest): void {
        const held = this.held.get(request.key);
        if (held === undefined || this.evicting.has(request.key) || (request.version ?? held) !== held) {
            request.onRejected();
            return;
        }
        this.queue.push(request);
        this.readNext();
    }

    /** Cancels a request whose caller has left or which was withdrawn. */
    cancel(request: EngineRequest): void {
        this.running.delete(request);
        const index = this.queue.indexOf(request);
        if (index >= 0) {
            this.queue.splice(index, 1);
        }
    }

    apply(order: EngineOrder): OrderOutcome {
        const key = formatAdapterKey(order.model, order.adapter!);
        const known = this.findRepeatedOutcome(order, key);
        if (known !== undefined) {
            return known;
        }
        if (order.expectedSequence !== this.sequence) {
            return "conflict";
        }
        this.sequence += 1;
        if (order.action === "unload") {
            this.evicting.add(key);
        }
        else {
            const version = order.version ?? this.findNewest(key);
            this.loading.set(key, { version, at: this.schedule.now + loadMs * this.slowdownFactor });
        }
        this.advance();
        return this.findRepeatedOutcome(order, key) ?? "accepted";
    }

    /** Completes due unloads and loads; they wait until no request uses their adapter. */
    advance(): void {
        for (const key of this.evicting) {
            if (!this.isInUse(key)) {
                this.evicting.delete(key);
                this.held.delete(key);
            }
        }
        for (const [key, { version, at }] of this.loading) {
            if (at <= this.schedule.now && !this.isInUse(key)) {
                this.loading.delete(key);
                this.held.set(key, version);
            }
        }
    }

    readReport(): EngineReport {
        const adapters = [...this.held].map(([key, version]) => ({ name: key.split("/")[1]!, version }));
        return {
            models: [{ name: model, version: 1, adapters }],
            coming: [...this.loading.keys()],
            sequence: this.sequence,
            isBusy: false,
        };
    }

    private findRepeatedOutcome(order: EngineOrder, key: string): OrderOutcome | undefined {
        const held = this.held.get(key);
        if (order.action === "unload") {
            return this.evicting.has(key) ? "accepted" : held === undefined ? "holds" : undefined;
        }
        const version = order.version ?? this.findNewest(key);
        if (this.loading.get(key)?.version === version) {
            return "accepted";
        }
        return held === version ? "holds" : undefined;
    }

    private isInUse(key: string): boolean {
        return this.queue.some(request => request.key === key)
            || [...this.running].some(request => request.key === key);
    }

    private readNext(): void {
        const next = this.isReading ? undefined : this.queue.shift();
        if (next === undefined) {
            return;
        }
        this.isReading = true;
        this.running.add(next);
        this.onStarted({ engine: this.name, request: next, version: this.held.get(next.key)!, at: this.schedule.now });
        this.schedule.add(next.promptTokens / prefillTokensPerMs * this.slowdownFactor, () => {
            this.isReading = false;
            if (this.running.has(next)) {
                next.onStart();
                this.schedule.add(next.runMs * this.slowdownFactor, () => this.finish(next));
            }
            this.readNext();
        });
    }

    private finish(request: EngineRequest): void {
        if (this.running.delete(request)) {
            request.onEnd();
        }
    }
}
