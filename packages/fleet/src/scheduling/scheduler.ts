import type { EngineLimits } from "@radishreel/routing";
import { readQueueMs } from "../enginecosts.js";
import type { LoadRequest } from "../loadqueue.js";
import type { AdmissionRequest, UpstreamLoad } from "../types.js";
import type { AccountUsage } from "./accountusage.js";
import type { Claim } from "./order.js";
import { EngineRoom, type ExpectedEnd } from "./room.js";
import { countDemand, type Ticket } from "./tickets.js";
import { lateStartInterval, UrgencyOrder } from "./urgencyorder.js";

/**
 * Share of the expected wait that a caller's time limit must cover for the request to stay queued. Expected ends of runs
 * are off by half either way, so that a wait often turns out shorter.
 */
export const immediateWaitShare = 0.6;

/** Fewer loads ahead say little about the starts that are left: an idle engine starts four at once. */
const minOvertakenLoads = 3;

/** Load starts per millisecond that a priority is expected to get at least: one in 2 s. */
const minStartsPerMs = 1 / 2000;

/** A request that could be sent, and what precedes it. */
export interface RoomQuery {
    readonly request: AdmissionRequest;
    readonly load: Readonly<UpstreamLoad>;
    readonly claim: Claim;
    /** All waiting requests. */
    readonly waiting: readonly Ticket[];
    /** Waiting requests that come before this one. */
    readonly ahead: readonly Ticket[];
    /** Whether the request waits for the load of its adapter to start. */
    readonly needsLoad: boolean;
    /** Expected time until the adapter is loaded, by the slots and the queued loads, in milliseconds; 0 if it is. */
    readonly slotMs: number;
    readonly now: number;
}

/** Decides the order of the requests that wait for an engine, and which of them it has room for. */
export interface RequestScheduler {
    /** Order of the loads; undefined for the slot planner's default, which does not depend on requests' claims. */
    readonly loadOrder: UrgencyOrder | undefined;
    /** Records a request on its arrival. */
    recordArrival(request: AdmissionRequest, now: number): void;
    /** Records that a request is sent. */
    recordStart(claim: Claim, load: Readonly<UpstreamLoad>, now: number): void;
    /** Lists waiting requests, first to be served first. */
    rank<T extends Pick<Ticket, "claim">>(tickets: readonly T[], load: Readonly<UpstreamLoad>, now: number): T[];
    /** Lists the waiting requests that come before a further one, where they delay it. */
    listAhead(claim: Claim, waiting: readonly Ticket[], load: Readonly<UpstreamLoad>, now: number): Ticket[];
    /** Has the expected waits of the requests that a further one overtakes recomputed at the next opportunity. */
    scheduleReviews(claim: Claim, waiting: readonly Ticket[]): void;
    /** Creates the load request of a waiting request. */
    createLoadRequest(ticket: Ticket, now: number): LoadRequest;
    /** Share of the expected wait that a caller's time limit must cover for a request to be queued on arrival. */
    readonly requiredWaitShare: number;
    /** Whether the engine has room for a request now. */
    hasRoom(query: Pick<RoomQuery, "request" | "load" | "now">): boolean;
    /** Expected time until a request can be sent, in milliseconds. */
    readWaitMs(query: RoomQuery, listEnds: () => readonly ExpectedEnd[]): number;
}

/** Sends each request as soon as its adapter is loaded, whatever the load of the engine. */
export class ImmediateScheduler implements RequestScheduler {
    readonly loadOrder = undefined;
    readonly requiredWaitShare = immediateWaitShare;

    recordArrival(): void {}

    recordStart(): void {}

    rank<T>(tickets: readonly T[]): T[] {
        return [...tickets];
    }

    listAhead(): Ticket[] {
        return [];
    }

    scheduleReviews(): void {}

    createLoadRequest(ticket: Ticket, now: number): LoadRequest {
        return createLoadRequest(ticket, now);
    }

    hasRoom(): boolean {
        return true;
    }

    readWaitMs({ slotMs }: RoomQuery): number {
        return slotMs;
    }
}

/** Options of {@link UrgencyScheduler}. */
export interface UrgencySchedulerOptions {
    readonly limits: Pick<EngineLimits, "batchSlots" | "kvTokens">;
    /** @default all accounts are treated alike */
    readonly usage?: AccountUsage | undefined;
}

/** Sends requests in the order of their urgency, while the engine has room. */
export class UrgencyScheduler implements RequestScheduler {
    /** Loads and requests are started in the same order, but their starts are counted separately. */
    readonly loadOrder: UrgencyOrder;
    readonly requiredWaitShare = 1;
    private readonly order: UrgencyOrder;
    private readonly room: EngineRoom;

    constructor({ limits, usage }: UrgencySchedulerOptions) {
        this.loadOrder = new UrgencyOrder({ usage });
        this.order = new UrgencyOrder({ usage });
        this.room = new EngineRoom(limits);
    }

    recordArrival(request: AdmissionRequest, now: number): void {
        this.room.recordArrival(request, now);
    }

    recordStart(claim: Claim, load: Readonly<UpstreamLoad>, now: number): void {
        this.order.recordRequestStart(claim, now, readQueueMs(load));
    }

    rank<T extends Pick<Ticket, "claim">>(tickets: readonly T[], load: Readonly<UpstreamLoad>, now: number): T[] {
        return tickets.length > 1
            ? this.order.rankRequests(tickets, ticket => ticket.claim, now, readQueueMs(load))
            : [...tickets];
    }

    listAhead(claim: Claim, waiting: readonly Ticket[], load: Readonly<UpstreamLoad>, now: number): Ticket[] {
        const ranked = this.rank<Pick<Ticket, "claim">>([...waiting, { claim }], load, now);
        const position = ranked.findIndex(other => other.claim === claim);
        const claimsAhead = new Set(ranked.slice(0, position).map(other => other.claim));
        return waiting.filter(other => claimsAhead.has(other.claim));
    }

    scheduleReviews({ priority }: Claim, waiting: readonly Ticket[]): void {
        for (const ticket of waiting) {
            if (ticket.claim.priority > priority) {
                ticket.reviewedAt = -Infinity;
            }
        }
    }

    createLoadRequest(ticket: Ticket, now: number): LoadRequest {
        return { ...createLoadRequest(ticket, now), claim: ticket.claim };
    }

    hasRoom({ load, request, now }: Pick<RoomQuery, "request" | "load" | "now">): boolean {
        return this.room.hasRoom(load, request, now);
    }

    readWaitMs(query: RoomQuery, listEnds: () => readonly ExpectedEnd[]): number {
        const { load, request, ahead, now } = query;
        const roomMs = this.room.readWaitMs(load, request, countDemand(ahead), listEnds(), now);
        return Math.max(roomMs, query.needsLoad ? this.readLoadWaitMs(query) : query.slotMs);
    }

    /**
     * Expected time until the load for a request starts, by the recent starts within its priority: these show what more
     * urgent requests leave to it. A request that will be late gets only the starts that are kept for late ones.
     */
    private readLoadWaitMs({ claim, request, waiting, ahead, now, slotMs }: RoomQuery): number {
        const { priority, onTimeUntil } = claim;
        const countLoads = (tickets: readonly Ticket[], isLate: boolean): number =>
            new Set(
                tickets.filter(other =>
                    !other.holdsAdapter && other.claim.priority === priority && other.request.key !== request.key
                    && other.claim.onTimeUntil < now === isLate
                ).map(other => other.request.key),
            ).size;
        const [inTime, late] = [countLoads(ahead, false), countLoads(waiting, true)];
        const perMs = Math.max(this.loadOrder.readStartRate(priority, now), minStartsPerMs);
        const isOvertaken = inTime >= minOvertakenLoads && this.loadOrder.isOvertaken(priority, now);
        const inTimeMs = Math.max(slotMs, isOvertaken ? inTime / perMs : 0);
        return now + inTimeMs <= onTimeUntil || late === 0
            ? inTimeMs
            : Math.max(inTimeMs, onTimeUntil - now + late * lateStartInterval / perMs);
    }
}

function createLoadRequest({ request, claim }: Ticket, now: number): LoadRequest {
    const { version, runMs } = request;
    return { key: request.key!, version, runMs, onTimeMs: claim.onTimeUntil - now, lifeMs: claim.deadlineAt - now };
}
