import { DecayingCount } from "../decayingcount.js";
import { type AccountUsage, NoAccountUsage } from "./accountusage.js";
import { type Claim, defaultPriority, type LoadOrder, type WaitingLoad } from "./order.js";

/**
 * One start in this number goes to a request that can meet its deadline but not its latency target, within its
 * priority: at any demand, late requests must not starve.
 */
export const lateStartInterval = 8;

/** How long a priority counts as in use after its last request, in milliseconds: some runs of long answers. */
const recentMs = 5000;

/**
 * Bounds of the adapter slots and concurrent loads that less urgent loads leave free while a more urgent priority is in
 * use. Of four concurrent loads, one stays available to every priority.
 */
const minReservedLoads = 1;
const maxReservedLoads = 3;

/** Options of {@link UrgencyOrder}. */
export interface UrgencyOrderOptions {
    /** @default all accounts are treated alike */
    readonly usage?: AccountUsage | undefined;
}

/** Whether a request can meet its latency target (0), only its deadline (1), or neither (2). */
type Lateness = 0 | 1 | 2;

interface RankedClaim {
    readonly priority: number;
    readonly lateness: Lateness;
    readonly usage: number;
    readonly onTimeUntil: number;
}

/**
 * Orders what waits by priority; then requests that can still meet their latency target before those that cannot; then
 * by the account's usage; then by the earlier end of the latency target.
 */
export class UrgencyOrder implements LoadOrder {
    private readonly usage: AccountUsage;
    /** Number of starts in time since the last late one, by priority. */
    private readonly startsInTime = new Map<number, number>();
    private readonly starts = new Map<number, DecayingCount>();
    /** Loads that a request began to wait for, by priority. */
    private readonly arrivals = new Map<number, { readonly count: DecayingCount; at: number; }>();

    constructor({ usage = new NoAccountUsage() }: UrgencyOrderOptions = {}) {
        this.usage = usage;
    }

    list(loads: Iterable<readonly [string, WaitingLoad]>, now: number, loadMs: number): string[] {
        const ranked = [...loads].map(([key, load]) => ({ item: key, rank: this.rankLoad(load, now, loadMs) }));
        return this.rankItems(ranked);
    }

    /**
     * Lists waiting requests, first to be served first.
     * @param leadMs Time that a request sent now spends behind others in the engine, in milliseconds.
     */
    rankRequests<T>(items: readonly T[], readClaim: (item: T) => Claim, now: number, leadMs: number): T[] {
        return this.rankItems(items.map(item => ({ item, rank: this.rankClaim(readClaim(item), now, leadMs) })));
    }

    recordArrival({ priority }: Claim, now: number): void {
        const arrivals = this.arrivals.get(priority) ?? { count: new DecayingCount(), at: now };
        arrivals.count.record(now);
        arrivals.at = now;
        this.arrivals.set(priority, arrivals);
    }

    recordStart(load: WaitingLoad, now: number, loadMs: number): void {
        const rank = this.rankLoad(load, now, loadMs);
        const starts = this.starts.get(rank.priority) ?? new DecayingCount();
        starts.record(now);
        this.starts.set(rank.priority, starts);
        this.countStart(rank);
    }

    /** Records that a waiting request was sent. */
    recordRequestStart(claim: Claim, now: number, leadMs: number): void {
        this.countStart(this.rankClaim(claim, now, leadMs));
    }

    /** An evicted adapter stays in host memory, and its next load takes a tenth of the load that waits for its slot. */
    readEvictablePopularity(): number {
        return Infinity;
    }

    /** Priorities of recent loads, most urgent first. */
    listPriorities(now: number): number[] {
        return [...this.arrivals].filter(([, { at }]) => now - at < recentMs).map(([priority]) => priority).sort();
    }

    /** Whether a more urgent priority is in use. */
    isOvertaken(priority: number, now: number): boolean {
        return this.listPriorities(now).some(other => other < priority);
    }

    /** Recent load starts of a priority per millisecond. */
    readStartRate(priority: number, now: number): number {
        return this.starts.get(priority)?.readRate(now) ?? 0;
    }

    /**
     * Reserves as many slots as more urgent requests are expected to need while the load and its runs occupy one: an
     * urgent request whose target is 507 ms cannot wait for both a slot and a load of 288 ms.
     */
    countReserved(load: WaitingLoad, now: number, loadMs: number): number {
        const { priority } = this.rankLoad(load, now, 0);
        const moreUrgent = [...this.arrivals].filter(([other, { at }]) => other < priority && now - at < recentMs);
        if (moreUrgent.length === 0) {
            return 0;
        }
        const perMs = moreUrgent.reduce((sum, [, { count }]) => sum + count.readRate(now), 0);
        const expected = Math.round(perMs * (loadMs + load.runMs));
        return Math.min(Math.max(expected, minReservedLoads), maxReservedLoads);
    }

    private countStart({ priority, lateness }: RankedClaim): void {
        const count = (this.startsInTime.get(priority) ?? 0) + 1;
        this.startsInTime.set(priority, lateness === 0 ? Math.min(count, lateStartInterval - 1) : 0);
    }

    private rankLoad(load: WaitingLoad, now: number, loadMs: number): RankedClaim {
        const { onTimeUntil, expiresAt } = load;
        const claims: Iterable<Claim> = load.claims.size > 0
            ? load.claims
            : [{ priority: defaultPriority, account: undefined, onTimeUntil, deadlineAt: expiresAt }];
        let first: RankedClaim | undefined;
        for (const claim of claims) {
            const rank = this.rankClaim(claim, now, loadMs);
            if (first === undefined || compareClaims(rank, first) < 0) {
                first = rank;
            }
        }
        return first!;
    }

    private rankClaim(claim: Claim, now: number, leadMs: number): RankedClaim {
        const { priority, account, onTimeUntil, deadlineAt } = claim;
        const sentAt = now + leadMs;
        const lateness = sentAt <= onTimeUntil ? 0 : sentAt <= deadlineAt ? 1 : 2;
        return { priority, lateness, usage: this.usage.readUsage(account, now), onTimeUntil };
    }

    /** Sorts items by rank, and moves late ones forward into the starts that are kept for them. */
    private rankItems<T>(ranked: { readonly item: T; readonly rank: RankedClaim; }[]): T[] {
        ranked.sort((left, right) => compareClaims(left.rank, right.rank));
        const sorted: T[] = [];
        for (const priority of new Set(ranked.map(({ rank }) => rank.priority))) {
            const group = ranked.filter(({ rank }) => rank.priority === priority);
            const inTime = group.filter(({ rank }) => rank.lateness === 0);
            const late = group.filter(({ rank }) => rank.lateness === 1);
            let count = this.startsInTime.get(priority) ?? 0;
            while (inTime.length + late.length > 0) {
                const isLateNext = inTime.length === 0 || (late.length > 0 && count >= lateStartInterval - 1);
                sorted.push((isLateNext ? late : inTime).shift()!.item);
                count = isLateNext ? 0 : count + 1;
            }
            sorted.push(...group.filter(({ rank }) => rank.lateness === 2).map(({ item }) => item));
        }
        return sorted;
    }
}

function compareClaims(left: RankedClaim, right: RankedClaim): number {
    return left.priority - right.priority
        || left.lateness - right.lateness
        || left.usage - right.usage
        || left.onTimeUntil - right.onTimeUntil;
}
