import type { AccountClass, LeasedEngine, ResolvedDispatcherOptions } from "./types.js";

/** Maximum pause of an engine that fails repeatedly, in milliseconds. */
const maxPauseMs = 30_000;

/** Share of the batch room that is used after an engine's cold start; each completed request adds one to the room. */
const coldStartRoomShare = 0.25;

/** Weight of a new measurement in the moving average of request durations. */
const durationSmoothing = 0.1;

/** A gateway's view of one engine: its lease, the requests on it and its recent failures. */
export class EngineView {
    models = new Set<string>();
    ownPaying = 0;
    ownTrial = 0;
    private lease: LeasedEngine;
    private failures = 0;
    private pausedUntil = -Infinity;
    /** Batch room while the engine warms up after a cold start. */
    private warmUpRoom: number;
    private meanDuration: number | undefined;

    constructor(lease: LeasedEngine, private readonly options: ResolvedDispatcherOptions) {
        this.lease = lease;
        this.warmUpRoom = lease.batchRoom;
        this.models = createLeasedModels(lease);
    }

    get id(): string {
        return this.lease.id;
    }

    get isLeaving(): boolean {
        return this.lease.isLeaving;
    }

    /** Moving average of the time from dispatch to completion, in milliseconds; undefined before any completion. */
    get meanDurationMs(): number | undefined {
        return this.meanDuration;
    }

    /** Applies a new lease. Returns the models that the previous lease did not contain. */
    setLease(lease: LeasedEngine): string[] {
        if (lease.instance !== this.lease.instance) {
            this.warmUpRoom = Math.max(1, Math.floor(lease.batchRoom * coldStartRoomShare));
            this.failures = 0;
            this.pausedUntil = -Infinity;
        }
        this.lease = lease;
        const models = createLeasedModels(lease);
        const added = [...models].filter(model => !this.models.has(model));
        this.models = models;
        return added;
    }

    /** Requests on the engine, including those of other gateways according to the lease. */
    get inFlight(): number {
        return this.ownPaying + this.ownTrial + this.lease.othersPaying + this.lease.othersTrial;
    }

    get fullness(): number {
        return this.inFlight / this.lease.batchRoom;
    }

    /**
     * Whether the engine may take a request of the class. For a paying request, trial requests do not count, since the
     * engine serves by priority. Trial requests get only their share of the batch while paying requests use the engine.
     */
    hasRoom(accountClass: AccountClass, now: number): boolean {
        if (this.lease.isLeaving || now < this.pausedUntil) {
            return false;
        }
        const room = this.readRoom(now);
        const paying = this.ownPaying + this.lease.othersPaying;
        if (accountClass === "paying") {
            return paying < room;
        }
        const trial = this.ownTrial + this.lease.othersTrial;
        const trialRoom = paying > 0 ? Math.max(1, Math.floor(room * this.options.trialBatchShare)) : room;
        return trial < trialRoom && paying + trial < room;
    }

    /** Returns the usable batch room: smaller after a cold start, and 1 while a failing engine is probed. */
    readRoom(now: number): number {
        if (this.failures >= this.options.breakerFailures && now >= this.pausedUntil) {
            return 1;
        }
        return Math.min(this.lease.batchRoom, this.warmUpRoom);
    }

    recordDispatch(accountClass: AccountClass): void {
        this.addOwnRequests(accountClass, 1);
    }

    recordEnd(accountClass: AccountClass): void {
        this.addOwnRequests(accountClass, -1);
    }

    recordSuccess(durationMs: number): void {
        this.failures = 0;
        this.warmUpRoom = Math.min(this.warmUpRoom + 1, this.lease.batchRoom);
        this.meanDuration = this.meanDuration === undefined
            ? durationMs
            : this.meanDuration + durationSmoothing * (durationMs - this.meanDuration);
    }

    recordFailure(now: number): void {
        this.failures++;
        const excess = this.failures - this.options.breakerFailures;
        if (excess >= 0) {
            this.pausedUntil = now + Math.min(this.options.breakerPauseMs * 2 ** excess, maxPauseMs);
        }
    }

    /** Returns the end of the engine's pause; undefined if the engine is not paused. */
    findPauseEnd(now: number): number | undefined {
        return now < this.pausedUntil ? this.pausedUntil : undefined;
    }

    private addOwnRequests(accountClass: AccountClass, count: number): void {
        if (accountClass === "paying") {
            this.ownPaying += count;
        }
        else {
            this.ownTrial += count;
        }
    }
}

/** Returns the models of a lease; none for a leaving engine, since it gets no new requests. */
function createLeasedModels(lease: LeasedEngine): Set<string> {
    return new Set(lease.isLeaving ? [] : lease.models);
}
