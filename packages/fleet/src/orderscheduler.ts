import type { PlannerStep } from "./orders.js";

/**
 * Delay before a report is requested after an order that the engine did not accept, in milliseconds: reports lag
 * behind.
 */
export const reportDelayMs = 250;

/**
 * Shortest and longest pause between two attempts to reach an engine, in milliseconds: a crashed engine is down for
 * seconds.
 */
const minReconnectPauseMs = 60;
const maxReconnectPauseMs = 240;

/**
 * Time for which an engine may open no connection until it counts as unreachable, in milliseconds: sound engines are
 * silent for up to 1.5 s.
 */
const maxSilenceMs = 1500;

/** Options of {@link OrderScheduler}. */
export interface OrderSchedulerOptions {
    /** Number of orders that the engine has accepted, as last reported. */
    readonly sequence: number;
    readonly now: number;
}

/** Decides when an engine may get its next order or report request, and which sequence an order must expect. */
export class OrderScheduler {
    private acceptedCount: number;
    private mustReport = true;
    /**
     * Whether the sequence is uncertain after a conflict, so that only a report requested after the delay settles it.
     */
    private isSequenceUncertain = false;
    private acceptedAt = -Infinity;
    /** When an order last got no response. */
    private unansweredAt = -Infinity;
    /** Whether a report was requested so late that it shows all orders of earlier owners. */
    private hasSettledReport: boolean;
    private readonly startedAt: number;
    private reconnectPauseMs = minReconnectPauseMs;
    private isConnected = true;
    /** When the engine first opened no connection in time; undefined once it can be reached. */
    private silentSince: number | undefined;
    private orderNotBefore = -Infinity;
    private reportAt: number;

    constructor({ sequence, now }: OrderSchedulerOptions) {
        this.acceptedCount = sequence;
        this.reportAt = now;
        this.startedAt = now;
        this.hasSettledReport = sequence === 0;
    }

    /** Number of orders that the engine has accepted, as far as the owner knows. */
    get sequence(): number {
        return this.acceptedCount;
    }

    /** Whether the engine must report its state before the next order. */
    get needsReport(): boolean {
        return this.mustReport;
    }

    /** Whether the engine can be reached, as far as the attempts to do so show. */
    get isReachable(): boolean {
        return this.isConnected;
    }

    /** Whether the engine opened no connection in time, which a short silence also explains. */
    get isSilent(): boolean {
        return this.silentSince !== undefined;
    }

    /** The step that must come before any order; undefined if an order may be sent now. */
    findStep(now: number): PlannerStep | undefined {
        if (!this.isConnected || this.isSilent) {
            return now >= this.orderNotBefore ? { kind: "report" } : { kind: "wait", untilMs: this.orderNotBefore };
        }
        if (this.mustReport) {
            return now >= this.reportAt ? { kind: "report" } : { kind: "wait", untilMs: this.reportAt };
        }
        return now < this.orderNotBefore ? { kind: "wait", untilMs: this.orderNotBefore } : undefined;
    }

    /** Holds back orders for some time. */
    pause(ms: number, now: number): void {
        this.orderNotBefore = now + ms;
    }

    /** Schedules a report after a delay. */
    scheduleReport(now: number, waitMs = reportDelayMs): void {
        this.mustReport = true;
        this.reportAt = now + waitMs;
    }

    /** Schedules a report at once, or at the time of the report that is already scheduled. */
    scheduleReportNow(now: number): void {
        this.mustReport = true;
        this.reportAt = Math.max(this.reportAt, now);
    }

    /** Records that the engine has accepted an order and increased its sequence. */
    recordAccepted(now: number): void {
        this.acceptedCount += 1;
        this.acceptedAt = now;
    }

    /**
     * Records that the engine no longer holds what an order was to unload. Such an order is counted if it unloaded the
     * adapter, but not if an order of an earlier owner had done so; the sequence is not raised where that is possible.
     */
    recordUnloaded(now: number): void {
        if (this.hasSettledReport) {
            this.recordAccepted(now);
            return;
        }
        this.recordConflict(now);
    }

    /** Records that an order got no response: the engine may have carried it out. */
    recordUnanswered(now: number): void {
        this.unansweredAt = now;
    }

    /** Records that the engine's sequence differs from the one that an order expected. */
    recordConflict(now: number): void {
        this.isSequenceUncertain = true;
        this.scheduleReport(now);
    }

    /**
     * Applies a report's sequence. Reports lag: one that is older than the last order must not be combined with the
     * sequence after that order, since the engine would accept orders that are based on the older state. The same holds
     * for one that may show only a part of the effects of an order without a response.
     * @returns Whether the report may be used; otherwise another one is scheduled.
     */
    applyReport(sequence: number, askedAt: number, now: number): boolean {
        if (askedAt - this.unansweredAt < reportDelayMs) {
            this.scheduleReport(now);
            return false;
        }
        const isSettled = askedAt - this.acceptedAt >= reportDelayMs || this.isSequenceUncertain;
        if (sequence < this.acceptedCount && !isSettled) {
            this.scheduleReport(now);
            return false;
        }
        this.mustReport = false;
        this.acceptedCount = sequence;
        this.isSequenceUncertain = false;
        this.hasSettledReport ||= askedAt - this.startedAt >= reportDelayMs;
        return true;
    }

    /** Records that a requested report did not arrive. */
    recordReportFailure(now: number): void {
        this.reportAt = now + reportDelayMs;
    }

    recordReached(): void {
        this.isConnected = true;
        this.silentSince = undefined;
        this.reconnectPauseMs = minReconnectPauseMs;
    }

    /** Records that the engine opened no connection in time. @returns Whether it now counts as unreachable. */
    recordSilent(now: number): boolean {
        this.silentSince ??= now;
        if (!this.isConnected || now - this.silentSince >= maxSilenceMs) {
            this.recordUnreachable(now);
            return true;
        }
        this.scheduleReconnect(now);
        return false;
    }

    recordUnreachable(now: number): void {
        this.isConnected = false;
        this.scheduleReconnect(now);
    }

    private scheduleReconnect(now: number): void {
        this.orderNotBefore = now + this.reconnectPauseMs;
        this.reconnectPauseMs = Math.min(this.reconnectPauseMs * 2, maxReconnectPauseMs);
    }
}
