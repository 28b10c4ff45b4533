import type { CustomerClass, LeasedEngine, ResolvedDispatcherOptions } from "./types.js";

/** Longest pause of an engine that keeps failing, in milliseconds. */
const maxPauseMs = 30_000;

/** Part of its batch room that an engine gets after a cold start; each completion adds one. */
const coldStartShare = 0.25;

/** Weight of a new measurement in the mean duration of requests. */
const durationGain = 0.1;

/** One engine in the eyes of one gateway. */
export class EngineView {
    models = new Set<string>();
    ownPaying = 0;
    ownTrial = 0;
    private lease: LeasedEngine;
    private failures = 0;
    private pausedUntil = -Infinity;
    /** Batch room while the engine warms up after a cold start. */
    private warmRoom: number;
    private meanDuration: number | undefined;

    constructor(lease: LeasedEngine, private readonly options: ResolvedDispatcherOptions) {
        this.lease = lease;
        this.warmRoom = lease.batchRoom;
        this.models = createModels(lease);
    }

    get id(): string {
        return this.lease.id;
    }

    get isLeaving(): boolean {
        return this.lease.isLeaving;
    }

    /** Mean time from dispatch to the end, in milliseconds; undefined before the first. */
    get meanDurationMs(): number | undefined {
        return this.meanDuration;
    }

    /** Takes a new lease. Returns the models that are leased anew. */
    setLease(lease: LeasedEngine): string[] {
        if (lease.instance !== this.lease.instance) {
            this.warmRoom = Math.max(1, Math.floor(lease.batchRoom * coldStartShare));
            this.failures = 0;
            this.pausedUntil = -Infinity;
        }
        this.lease = lease;
        const models = createModels(lease);
        const added = [...models].filter(model => !this.models.has(model));
        this.models = models;
        return added;
    }

    /** Requests on the engine, those of other gateways as last heard. */
    get inFlight(): number {
        return this.ownPaying + this.ownTrial + this.lease.othersPaying + this.lease.othersTrial;
    }

    get fullness(): number {
        return this.inFlight / this.lease.batchRoom;
    }

    /**
     * Whether the engine may take a request. A paying one does not count trial ones, since the engine serves by
     * priority; a trial one leaves the batch to paying ones save for its share.
     */
    hasRoom(customerClass: CustomerClass, now: number): boolean {
        if (this.lease.isLeaving || now < this.pausedUntil) {
            return false;
        }
        const room = this.readRoom(now);
        const paying = this.ownPaying + this.lease.othersPaying;
        if (customerClass === "paying") {
            return paying < room;
        }
        const trial = this.ownTrial + this.lease.othersTrial;
        const trialRoom = paying > 0 ? Math.max(1, Math.floor(room * this.options.trialBatchShare)) : room;
        return trial < trialRoom && paying + trial < room;
    }

    /** Batch room, smaller after a cold start, and 1 while a failing engine is tried again. */
    readRoom(now: number): number {
        if (this.failures >= this.options.breakerFailures && now >= this.pausedUntil) {
            return 1;
        }
        return Math.min(this.lease.batchRoom, this.warmRoom);
    }

    recordDispatch(customerClass: CustomerClass): void {
        this.addOwn(customerClass, 1);
    }

    recordEnd(customerClass: CustomerClass): void {
        this.addOwn(customerClass, -1);
    }

    recordSuccess(durationMs: number): void {
        this.failures = 0;
        this.warmRoom = Math.min(this.warmRoom + 1, this.lease.batchRoom);
        this.meanDuration = this.meanDuration === undefined
            ? durationMs
            : this.meanDuration + durationGain * (durationMs - this.meanDuration);
    }

    recordFailure(now: number): void {
        this.failures++;
        const excess = this.failures - this.options.breakerFailures;
        if (excess >= 0) {
            this.pausedUntil = now + Math.min(this.options.breakerPauseMs * 2 ** excess, maxPauseMs);
        }
    }

    /** When a pause ends; undefined if there is none. */
    findPauseEnd(now: number): number | undefined {
        return now < this.pausedUntil ? this.pausedUntil : undefined;
    }

    private addOwn(customerClass: CustomerClass, count: number): void {
        if (customerClass === "paying") {
            this.ownPaying += count;
        }
        else {
            this.ownTrial += count;
        }
    }
}

/** What a leaving engine holds is as good as not loaded: it gets nothing new. */
function createModels(lease: LeasedEngine): Set<string> {
    return new Set(lease.isLeaving ? [] : lease.models);
}
