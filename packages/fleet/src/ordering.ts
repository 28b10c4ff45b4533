import type { PlacesStep } from "./orders.js";

/** Pause before an engine is asked for its state after an order that it did not take, in milliseconds: reports lag. */
export const syncPauseMs = 250;

/** Shortest and longest pause between two tries to reach an engine, in milliseconds: a crashed one is down for seconds. */
const minReachPauseMs = 60;
const maxReachPauseMs = 240;

/** What an owner's orders to an engine start from. */
export interface EngineOrderingOptions {
    /** Orders that the engine has accepted, as it was told last. */
    readonly sequence: number;
    readonly now: number;
}

/** When an engine may be given its next order or asked for a report, and which sequence an order must name. */
export class EngineOrdering {
    private accepted: number;
    private mustReport = true;
    /** Whether the sequence itself is in doubt, so that only a report made after a pause says what it is. */
    private isInDoubt = false;
    private acceptedAt = -Infinity;
    private reachPauseMs = minReachPauseMs;
    private isConnected = true;
    private orderNotBefore = -Infinity;
    private reportAt: number;

    constructor({ sequence, now }: EngineOrderingOptions) {
        this.accepted = sequence;
        this.reportAt = now;
    }

    /** Orders that the engine has accepted, as far as is known. */
    get sequence(): number {
        return this.accepted;
    }

    /** Whether the engine has to be asked for its state before anything else. */
    get needsReport(): boolean {
        return this.mustReport;
    }

    /** Whether the last try to reach the engine found it there. */
    get isReachable(): boolean {
        return this.isConnected;
    }

    /** What comes before any order; undefined if an order may be given now. */
    findStep(now: number): PlacesStep | undefined {
        if (!this.isConnected) {
            return now >= this.orderNotBefore ? { kind: "report" } : { kind: "wait", untilMs: this.orderNotBefore };
        }
        if (this.mustReport) {
            return now >= this.reportAt ? { kind: "report" } : { kind: "wait", untilMs: this.reportAt };
        }
        return now < this.orderNotBefore ? { kind: "wait", untilMs: this.orderNotBefore } : undefined;
    }

    /** Gives no order for some time. */
    pause(ms: number, now: number): void {
        this.orderNotBefore = now + ms;
    }

    /** Asks for a report after a pause. */
    scheduleReport(now: number, waitMs = syncPauseMs): void {
        this.mustReport = true;
        this.reportAt = now + waitMs;
    }

    /** Asks for a report as soon as one that is due already. */
    scheduleReportNow(now: number): void {
        this.mustReport = true;
        this.reportAt = Math.max(this.reportAt, now);
    }

    /** The engine has accepted an order, and counted it. */
    recordAccepted(now: number): void {
        this.accepted += 1;
        this.acceptedAt = now;
    }

    /** The engine's sequence is another one than was named. */
    recordConflict(now: number): void {
        this.isInDoubt = true;
        this.scheduleReport(now);
    }

    /** Takes a report's sequence. Reports lag: one that may be older than the last order must not take it back. */
    applyReport(sequence: number, askedAt: number): void {
        this.mustReport = false;
        const isCurrent = askedAt - this.acceptedAt >= syncPauseMs;
        this.accepted = isCurrent || this.isInDoubt ? sequence : Math.max(this.accepted, sequence);
        this.isInDoubt = false;
    }

    /** A report was asked for and did not come. */
    recordReportFailure(now: number): void {
        this.reportAt = now + syncPauseMs;
    }

    recordReached(): void {
        this.isConnected = true;
        this.reachPauseMs = minReachPauseMs;
    }

    recordUnreachable(now: number): void {
        this.isConnected = false;
        this.orderNotBefore = now + this.reachPauseMs;
        this.reachPauseMs = Math.min(this.reachPauseMs * 2, maxReachPauseMs);
    }
}
