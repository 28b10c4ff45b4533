/** Shortest time after which a refused caller is told to return, in milliseconds: less would only repeat the refusal. */
const minReturnMs = 100;

/** Part of their remaining time up to which callers honour a return time. */
const maxReturnShare = 1 / 3;

/** Time that a refusal takes to its caller, in milliseconds; the caller's remaining time is shorter by then. */
const refusalTransitMs = 20;

/** How long a reservation is kept after its time, in milliseconds. */
const reservationGraceMs = 1000;

/** How much before its time a return still counts as on time, in milliseconds: clocks of callers and VMs differ. */
const earlyToleranceMs = 20;

/** Weight of one reservation in the moving share of those that callers used, and the bounds of that share. */
const usedShareWeight = 0.05;
const initialUsedShare = 0.9;
const minUsedShare = 0.1;

/** Most return times that one engine remembers. Beyond that, the one that was told first is dropped. */
const maxReturns = 2000;

/**
 * Time constants over which the admitted work of each priority is averaged, in milliseconds. The larger average counts:
 * a rise must be noticed at once, and a pause between two requests is no fall.
 */
const admittedWindowsMs = [500, 2000] as const;

/** Largest part of the engine that more urgent requests may take for the return of others to be predictable. */
const maxUrgentShare = 0.7;

/** Number of priorities. */
const priorityCount = 10;

/** A refused request that may return. */
export interface RefusedReturn {
    /** Identifies this refusal among those of the engine. */
    readonly id: string;
    /** Identifies the request; the same when its caller returns. Undefined if the return cannot be recognized. */
    readonly key: string | undefined;
    /** Priority, from 0 to 9; 0 is the most urgent. */
    readonly priority: number;
    /** Wait behind the work of equal or higher priority that runs or waits now, in milliseconds. */
    readonly queueMs: number;
    /** How long the request may wait after its return and still meet its latency target, in milliseconds. */
    readonly slackMs: number;
    /** Time that the request takes from all others on the engine, in milliseconds. */
    readonly workMs: number;
    /** Time that the request needs from its start to its end, in milliseconds. */
    readonly runMs: number;
    /** Remaining time of the caller, in milliseconds. */
    readonly leftMs: number;
}

/** A request that arrives at the engine, for the first time or again. */
export interface ReturnArrival extends Pick<RefusedReturn, "key" | "priority" | "workMs"> {
    /** Wait behind the requests that run or wait, in milliseconds. */
    readonly queueMs: number;
}

/** What is known about an arriving request. */
export type ReturnVerdict =
    /** The request returns at its time: room is reserved for it. */
    | { readonly kind: "due"; readonly waitMs: number; }
    /** The request returns before its time, which is in `waitMs`. */
    | { readonly kind: "early"; readonly waitMs: number; }
    /**
     * The request has no reservation. Its expected wait includes the reserved work that goes before it, if there is any,
     * and more urgent requests that arrive meanwhile.
     */
    | { readonly kind: "new"; readonly waitMs: number; readonly hasReservedBefore: boolean; };

/** When a refused caller may return. */
export interface ReturnTime {
    /** Time until the return, in milliseconds; longer than the caller can wait if nothing is reserved. */
    readonly returnMs: number;
    readonly isReserved: boolean;
    /** Whether the caller was told this time before, and returned early. */
    readonly isRepeated: boolean;
}

interface ToldReturn {
    readonly id: string;
    readonly key: string | undefined;
    readonly priority: number;
    readonly workMs: number;
    /** When the caller may return. */
    readonly at: number;
    /** When the engine is expected to have room for the request. */
    readonly startAt: number;
    readonly isReserved: boolean;
}

/** Moving average of the part of the engine's time that admitted requests take. */
interface WorkAverage {
    readonly windowMs: number;
    share: number;
    /** When the average was last changed. */
    at: number;
}

/**
 * The times at which the refused callers of one engine were told to return, kept by the engine's owner. Each refusal
 * reserves the first time at which the work of equal or higher priority and the reservations made before leave room.
 * Requests without a reservation count the reserved work as work that goes before them.
 */
export class ReturnSchedule {
    /** By expected start. */
    private returns: ToldReturn[] = [];
    private readonly byKey = new Map<string, ToldReturn>();
    private usedShare = initialUsedShare;
    /** Part of the engine's time that admitted requests of each priority take, at the time of the last of them. */
    private readonly admitted: WorkAverage[][] = Array.from(
        { length: priorityCount },
        () => admittedWindowsMs.map(windowMs => ({ windowMs, share: 0, at: 0 })),
    );

    /** Number of reservations. */
    get count(): number {
        return this.returns.filter(({ isReserved }) => isReserved).length;
    }

    /** Sum of the reserved work, in milliseconds. */
    get reservedMs(): number {
        return this.returns.reduce((sum, { isReserved, workMs }) => sum + (isReserved ? workMs : 0), 0);
    }

    /**
     * Reserves the return of a refused request. A request that was refused before and returns early is told the same
     * time again. If the request cannot be served in its time, nothing is reserved, and the time told is longer than
     * its caller can wait.
     */
    scheduleReturn(refused: RefusedReturn, now: number): ReturnTime {
        this.expire(now);
        const { id, key, priority, workMs, leftMs, runMs } = refused;
        const previous = key === undefined ? undefined : this.byKey.get(key);
        if (previous !== undefined && this.isEarly(previous, now)) {
            const returnMs = Math.max(minReturnMs, previous.at - now);
            return { returnMs, isReserved: previous.isReserved, isRepeated: true };
        }
        if (previous !== undefined) {
            this.remove(previous);
        }
        const startMs = this.findStart({ priority, workMs }, refused.queueMs, now);
        const earliestMs = Math.max(minReturnMs, startMs - refused.slackMs);
        const remainingMs = leftMs - refusalTransitMs;
        const isPredictable = this.readUrgentShare(priority, now) < maxUrgentShare;
        const isReserved = isPredictable && earliestMs <= remainingMs * maxReturnShare
            && Math.max(startMs, earliestMs) + runMs <= remainingMs;
        const returnMs = isReserved ? earliestMs : Math.max(earliestMs, leftMs);
        const startAt = now + Math.max(startMs, returnMs);
        this.add({ id, key, priority, workMs, at: now + returnMs, startAt, isReserved });
        return { returnMs, isReserved, isRepeated: false };
    }

    /** Tells whether an arriving request has a reservation, and which wait it must expect. */
    checkArrival({ key, priority, workMs, queueMs }: ReturnArrival, now: number): ReturnVerdict {
        this.expire(now);
        const told = key === undefined ? undefined : this.byKey.get(key);
        if (told !== undefined && this.isEarly(told, now)) {
            return { kind: "early", waitMs: told.at - now };
        }
        if (told?.isReserved === true) {
            return { kind: "due", waitMs: queueMs };
        }
        return {
            kind: "new",
            waitMs: this.findStart({ priority, workMs }, queueMs, now),
            hasReservedBefore: this.returns.some(other => other.isReserved && other.priority <= priority),
        };
    }

    /** Records that a request is admitted or waits for admission, and ends its reservation. */
    recordAdmitted({ key, priority, workMs }: Omit<ReturnArrival, "queueMs">, now: number): void {
        for (const average of this.admitted[Math.min(priority, priorityCount - 1)]!) {
            average.share = readDecayed(average, now) + workMs / average.windowMs;
            average.at = now;
        }
        const told = key === undefined ? undefined : this.byKey.get(key);
        if (told !== undefined) {
            this.remove(told);
            this.recordUse(told, true);
        }
    }

    /** Cancels the reservation of a refusal whose caller was told another time, or is served elsewhere. */
    cancel(id: string): void {
        const told = this.returns.find(other => other.id === id);
        if (told !== undefined) {
            this.remove(told);
        }
    }

    /** Removes reservations whose callers have not returned in time. */
    expire(now: number): void {
        for (const told of this.returns.filter(({ at }) => now > at + reservationGraceMs)) {
            this.remove(told);
            this.recordUse(told, false);
        }
    }

    /** Finds the first time from which the reservations of equal or higher priority leave room, in milliseconds. */
    private findStart(
        { priority, workMs }: Pick<ToldReturn, "priority" | "workMs">,
        fromMs: number,
        now: number,
    ): number {
        const stretch = 1 / (1 - Math.min(this.readUrgentShare(priority, now), maxUrgentShare));
        let startMs = fromMs * stretch;
        for (const reservation of this.returns) {
            if (!reservation.isReserved || reservation.priority > priority) {
                continue;
            }
            const dueMs = reservation.startAt - now;
            if (dueMs >= startMs + workMs * stretch) {
                break;
            }
            // Work that is reserved before `fromMs` delays what waits by then.
            startMs = Math.max(startMs, dueMs) + reservation.workMs * this.usedShare * stretch;
        }
        return startMs;
    }

    /** Part of the engine's time that more urgent requests take. */
    private readUrgentShare(priority: number, now: number): number {
        const moreUrgent = this.admitted.slice(0, priority);
        const shares = admittedWindowsMs.map((_, index) =>
            moreUrgent.reduce((sum, averages) => sum + readDecayed(averages[index]!, now), 0)
        );
        return Math.max(...shares);
    }

    private isEarly(told: ToldReturn, now: number): boolean {
        return told.at - earlyToleranceMs > now;
    }

    private add(told: ToldReturn): void {
        if (this.returns.length >= maxReturns) {
            this.remove(this.returns[0]!);
        }
        const index = this.returns.findIndex(({ startAt }) => startAt > told.startAt);
        this.returns.splice(index < 0 ? this.returns.length : index, 0, told);
        if (told.key !== undefined) {
            this.byKey.set(told.key, told);
        }
    }

    private remove(told: ToldReturn): void {
        this.returns = this.returns.filter(other => other !== told);
        if (told.key !== undefined && this.byKey.get(told.key) === told) {
            this.byKey.delete(told.key);
        }
    }

    /** Learns which share of the reservations callers use, so that the others do not keep the engine idle. */
    private recordUse({ isReserved }: ToldReturn, isUsed: boolean): void {
        if (isReserved) {
            const next = this.usedShare + ((isUsed ? 1 : 0) - this.usedShare) * usedShareWeight;
            this.usedShare = Math.max(next, minUsedShare);
        }
    }
}

function readDecayed({ windowMs, share, at }: WorkAverage, now: number): number {
    return share * Math.exp(-Math.max(0, now - at) / windowMs);
}
