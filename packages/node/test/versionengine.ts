import {
    type EngineOrder,
    type EngineReport,
    formatAdapterKey,
    type OrderAnswer,
    prefillTokensPerMs,
} from "@radishreel/fleet";
import type { Schedule } from "./schedule.js";

/** The base model of all engines. */
export const model = "base";

/** Adapter places of an engine. */
export const adapterPlaces = 4;

/** Time of a load, in milliseconds. */
const loadMs = 250;

/** A request as it comes to an engine. */
export interface EngineRequest {
    readonly vm: string;
    readonly key: string;
    /** Version that must answer; undefined if none is named. */
    readonly version: number | undefined;
    readonly promptTokens: number;
    readonly runMs: number;
    /** When it was written; Infinity until then. */
    sentAt: number;
    readonly onRejected: () => void;
    /** The prompt is read. */
    readonly onBegin: () => void;
    readonly onEnd: () => void;
}

/** A request that an engine has begun. */
export interface BegunRequest {
    readonly engine: string;
    readonly request: EngineRequest;
    readonly version: number;
    readonly at: number;
}

/** An engine that reads prompts one after the other, holds adapters in versions, and carries orders out, some of them late. */
export class VersionEngine {
    sequence = 0;
    /** Factor on all of its times. */
    slowness = 1;
    readonly held = new Map<string, number>();
    private readonly coming = new Map<string, { readonly version: number; readonly at: number; }>();
    private readonly going = new Set<string>();
    private readonly queue: EngineRequest[] = [];
    private readonly running = new Set<EngineRequest>();
    private isReading = false;

    constructor(
        readonly name: string,
        private readonly schedule: Schedule,
        private readonly findNewest: (key: string) => number,
        private readonly onBegun: (begun: BegunRequest) => void,
    ) {}

    receive(request: EngineRequest): void {
        const held = this.held.get(request.key);
        if (held === undefined || this.going.has(request.key) || (request.version ?? held) !== held) {
            request.onRejected();
            return;
        }
        this.queue.push(request);
        this.readNext();
    }

    /** Its caller has gone, or it is taken back. */
    cancel(request: EngineRequest): void {
        this.running.delete(request);
        const index = this.queue.indexOf(request);
        if (index >= 0) {
            this.queue.splice(index, 1);
        }
    }

    apply(order: EngineOrder): OrderAnswer {
        const key = formatAdapterKey(order.model, order.adapter!);
        const known = this.findKnown(order, key);
        if (known !== undefined) {
            return known;
        }
        if (order.expectedSequence !== this.sequence) {
            return "conflict";
        }
        this.sequence += 1;
        if (order.action === "unload") {
            this.going.add(key);
        }
        else {
            const version = order.version ?? this.findNewest(key);
            this.coming.set(key, { version, at: this.schedule.now + loadMs * this.slowness });
        }
        this.advance();
        return this.findKnown(order, key) ?? "accepted";
    }

    /** Ends what is due: unloads and replacements wait for the runs of their adapter. */
    advance(): void {
        for (const key of this.going) {
            if (!this.isInUse(key)) {
                this.going.delete(key);
                this.held.delete(key);
            }
        }
        for (const [key, { version, at }] of this.coming) {
            if (at <= this.schedule.now && !this.isInUse(key)) {
                this.coming.delete(key);
                this.held.set(key, version);
            }
        }
    }

    readReport(): EngineReport {
        const adapters = [...this.held].map(([key, version]) => ({ name: key.split("/")[1]!, version }));
        return {
            models: [{ name: model, version: 1, adapters }],
            coming: [...this.coming.keys()],
            sequence: this.sequence,
            isBusy: false,
        };
    }

    private findKnown(order: EngineOrder, key: string): OrderAnswer | undefined {
        const held = this.held.get(key);
        if (order.action === "unload") {
            return this.going.has(key) ? "accepted" : held === undefined ? "holds" : undefined;
        }
        const version = order.version ?? this.findNewest(key);
        if (this.coming.get(key)?.version === version) {
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
        this.onBegun({ engine: this.name, request: next, version: this.held.get(next.key)!, at: this.schedule.now });
        this.schedule.add(next.promptTokens / prefillTokensPerMs * this.slowness, () => {
            this.isReading = false;
            if (this.running.has(next)) {
                next.onBegin();
                this.schedule.add(next.runMs * this.slowness, () => this.finish(next));
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
