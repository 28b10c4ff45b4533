import * as z from "zod";

/**
 * Adapter transfers from the weight store that run at full speed, over all engines. The deployments under heavy load
 * state this figure for their weight store; each further transfer slows down all of them.
 */
export const defaultMaxTransfers = 40;

/** For how long the transfers of a lost owner still count, in milliseconds: a transfer takes some 300 ms. */
const lostOwnerMs = 500;

/**
 * Age at which a report no longer counts, in milliseconds. Transfers end sooner, and owners report each change within
 * about a second, so that an older report comes from an owner that is suspended.
 */
const reportTtlMs = 3000;

/** Transfers of one engine from the weight store. */
export const engineTransfersSchema = z.object({
    /** Transfers that were ordered and are not complete. */
    inFlight: z.number(),
    /** Loads that only the budget holds back. */
    waiting: z.number(),
});

/** See {@link engineTransfersSchema}. */
export type EngineTransfers = z.infer<typeof engineTransfersSchema>;

/**
 * Share of the limit from which on owners report each change soon. Below it, the usual statuses suffice, up to 1 s old
 * with 83 VMs: the sum over all engines is then still about right, though the single counts are not. With such reports
 * at the limit, owners would hold back loads for transfers that ended long ago: at 120 loads per second, 1,422 of 2,429
 * loads were started within 20 s (`test/transferworld.ts`).
 */
const nearLimitShare = 0.75;

/** Options of {@link TransferBudget}. */
export interface TransferBudgetOptions {
    /** @default defaultMaxTransfers */
    readonly maxTransfers?: number | undefined;
}

/** Sum of the transfers over all known engines. */
export interface TransferTotals extends EngineTransfers {
    /** Whether more transfers are in flight or waiting than the budget allows. */
    readonly isBinding: boolean;
    /** Whether the transfers in flight or waiting are close to the budget. */
    readonly isNearLimit: boolean;
}

interface EngineEntry {
    transfers: EngineTransfers;
    /** Since when the engine has had loads that wait, as far as other owners can know; Infinity before a report. */
    waitingSince: number;
    expiresAt: number;
}

/** An engine with loads that wait. */
interface WaitingEngine {
    readonly id: string;
    /** Transfers in flight, and those granted in the current division. */
    readonly count: number;
    readonly since: number;
}

/**
 * Divides the transfers from the weight store among engines. Every owner computes the division from the reports of all
 * owners: if more loads wait than the budget allows, engines with the fewest transfers in flight start first, and among
 * them those that have waited longest. Owners thus get transfers in proportion to their engines with waiting loads. A
 * load that was not reported yet comes last, since the other owners do not count it. Reports lag, so that the limit can
 * be exceeded for a moment; transfers in flight are never cancelled.
 */
export class TransferBudget {
    private readonly engines = new Map<string, EngineEntry>();
    private readonly maxTransfers: number;

    constructor({ maxTransfers = defaultMaxTransfers }: TransferBudgetOptions = {}) {
        this.maxTransfers = maxTransfers;
    }

    /** Sets the transfers of an owned engine, which no other owner knows yet. */
    setOwn(engine: string, transfers: EngineTransfers): void {
        this.setTransfers(engine, transfers, Infinity);
    }

    /** Applies a report: of another owner when it arrives, or of this VM when it is sent. */
    update(engine: string, transfers: EngineTransfers, isOwn: boolean, now: number): void {
        const entry = this.setTransfers(engine, transfers, isOwn ? Infinity : now + reportTtlMs);
        entry.waitingSince = transfers.waiting === 0 ? Infinity : Math.min(entry.waitingSince, now);
    }

    /** Records that the owner of an engine is lost. Its transfers count until they have ended or a new owner reports. */
    removeOwner(engine: string, now: number): void {
        const entry = this.engines.get(engine);
        if (entry !== undefined) {
            entry.transfers = { ...entry.transfers, waiting: 0 };
            entry.waitingSince = Infinity;
            entry.expiresAt = Math.min(entry.expiresAt, now + lostOwnerMs);
        }
    }

    /** Whether an owned engine may start a transfer now. */
    mayStart(engine: string, now: number): boolean {
        return !this.readTotals(now).isBinding || this.countGrants(engine, now) > 0;
    }

    /**
     * Whether a change of an owned engine's transfers must be reported soon: near the limit, and where others may hold
     * back loads for what was last reported.
     */
    isReportUrgent(engine: string, now: number): boolean {
        const hasReportedWait = (this.engines.get(engine)?.waitingSince ?? Infinity) < Infinity;
        return hasReportedWait || this.readTotals(now).isNearLimit;
    }

    /** Transfers of all engines, for logs and status pages. */
    readTotals(now: number): TransferTotals {
        this.expire(now);
        let [inFlight, waiting] = [0, 0];
        for (const { transfers } of this.engines.values()) {
            inFlight += transfers.inFlight;
            waiting += transfers.waiting;
        }
        const demand = inFlight + waiting;
        return {
            inFlight,
            waiting,
            isBinding: demand > this.maxTransfers,
            isNearLimit: demand >= this.maxTransfers * nearLimitShare,
        };
    }

    /** Number of transfers that an engine may start now, if more loads wait than the budget allows. */
    private countGrants(engine: string, now: number): number {
        const granted = new Map<string, number>();
        for (let free = this.maxTransfers - this.readTotals(now).inFlight; free > 0; free--) {
            const next = this.findNext(granted);
            if (next === undefined) {
                break;
            }
            granted.set(next, (granted.get(next) ?? 0) + 1);
        }
        return granted.get(engine) ?? 0;
    }

    /** Finds the engine that starts the next transfer. */
    private findNext(granted: ReadonlyMap<string, number>): string | undefined {
        let next: WaitingEngine | undefined;
        for (const [id, { transfers, waitingSince: since }] of this.engines) {
            const grants = granted.get(id) ?? 0;
            if (transfers.waiting <= grants) {
                continue;
            }
            const count = transfers.inFlight + grants;
            if (next === undefined || isBefore({ id, count, since }, next)) {
                next = { id, count, since };
            }
        }
        return next?.id;
    }

    private setTransfers(engine: string, transfers: EngineTransfers, expiresAt: number): EngineEntry {
        const entry = this.engines.get(engine) ?? { transfers, waitingSince: Infinity, expiresAt };
        entry.transfers = transfers;
        entry.expiresAt = expiresAt;
        this.engines.set(engine, entry);
        return entry;
    }

    private expire(now: number): void {
        for (const [engine, { expiresAt }] of this.engines) {
            if (expiresAt <= now) {
                this.engines.delete(engine);
            }
        }
    }
}

/** Whether an engine gets the next transfer before another one. */
function isBefore(left: WaitingEngine, right: WaitingEngine): boolean {
    const [isLeftReported, isRightReported] = [left.since < Infinity, right.since < Infinity];
    if (isLeftReported !== isRightReported) {
        return isLeftReported;
    }
    if (left.count !== right.count) {
        return left.count < right.count;
    }
    return left.since < right.since || (left.since === right.since && left.id < right.id);
}
