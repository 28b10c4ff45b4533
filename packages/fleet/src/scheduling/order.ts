/** Priority of a request that states none, as engines assume it. */
export const defaultPriority = 5;

/** A waiting request, as far as its order is concerned. Times in milliseconds. */
export interface Claim {
    /** From 0 to 9; 0 is the most urgent. */
    readonly priority: number;
    /** Name of the client account; undefined if the request has none. */
    readonly account: string | undefined;
    /** Until when the request can be sent and still meet its latency target. */
    readonly onTimeUntil: number;
    /** Until when the request can be sent before its caller leaves. */
    readonly deadlineAt: number;
}

/** The load requests for one adapter, as far as their order is concerned. Times in milliseconds. */
export interface WaitingLoad {
    /** Time for which the shortest waiting run will occupy the slot. */
    readonly runMs: number;
    /** Until when a request that waits for the adapter can be sent and still meet its latency target. */
    readonly onTimeUntil: number;
    readonly since: number;
    readonly expiresAt: number;
    /** The waiting requests; empty where the owner does not state them and for a load without a waiting request. */
    readonly claims: ReadonlySet<Claim>;
}

/** Order of adapter loads at one engine. */
export interface LoadOrder {
    /**
     * Lists adapter keys in load order.
     * @param loadMs Duration of a load, in milliseconds, which decides what can still meet its latency target.
     */
    list(loads: Iterable<readonly [string, WaitingLoad]>, now: number, loadMs: number): string[];
    /** Records that a request waits for a load that no other request waits for. */
    recordArrival(claim: Claim, now: number): void;
    /** Records the start of a load. */
    recordStart(load: WaitingLoad, now: number, loadMs: number): void;
    /** Highest popularity, in recent uses, of an idle adapter that is evicted for a load. */
    readEvictablePopularity(load: WaitingLoad, loadMs: number): number;
    /** Number of adapter slots, and of concurrent loads, that a load must leave to more urgent ones. */
    countReserved(load: WaitingLoad, now: number, loadMs: number): number;
}
