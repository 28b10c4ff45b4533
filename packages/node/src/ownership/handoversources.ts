import type { HandoverSource } from "./leasemessages.js";

/**
 * How long a report counts that one VM holds the shards handed over by another, in milliseconds. The receiver of the
 * handover sends queries every 0.4 s, may use the shards for 1.3 s, and its last order must be 3 s old before another
 * holder's.
 */
const takeoverReportValidMs = 5000;

/** Processes that handed their shards over: to this VM, or to others that report it. */
export class HandoverSources {
    /** Incarnations of the processes whose shards this VM took over, by VM. */
    private readonly sources = new Map<string, number>();
    /** When a VM last reported that it took over shards of another VM, by the latter. */
    private readonly reportedAt = new Map<string, number>();

    /** @param readIncarnation Incarnation of the newest known process of a VM. */
    constructor(private readonly readIncarnation: (vm: string) => number | undefined) {}

    /** Adds processes whose shards this VM took over. */
    add(sources: readonly HandoverSource[]): void {
        sources.forEach(({ vm, incarnation }) => this.sources.set(vm, incarnation));
    }

    /** Forgets all processes whose shards this VM took over. */
    removeAll(): void {
        this.sources.clear();
    }

    list(): HandoverSource[] {
        return [...this.sources].map(([vm, incarnation]) => ({ vm, incarnation }));
    }

    /** Whether a newer process is known for the VM of one of these processes. */
    hasAnyRestarted(sources: readonly HandoverSource[]): boolean {
        return sources.some(({ vm, incarnation }) => (this.readIncarnation(vm) ?? incarnation) !== incarnation);
    }

    /** Whether the VMs of all these processes are known, and none has a newer process. */
    hasNoneRestarted(sources: readonly HandoverSource[]): boolean {
        return sources.every(({ vm, incarnation }) => this.readIncarnation(vm) === incarnation);
    }

    /** Records that this VM or another one holds the shards of these processes. */
    recordTakeovers(sources: readonly HandoverSource[], now: number): void {
        sources.forEach(({ vm }) => this.reportedAt.set(vm, now));
    }

    /** Whether a VM has recently reported that it took over shards of another VM. */
    isTakenOver(vm: string, now: number): boolean {
        return now - (this.reportedAt.get(vm) ?? -Infinity) < takeoverReportValidMs;
    }

    /** Whether a VM has ever reported that it took over shards of another VM. */
    hasBeenTakenOver(vm: string): boolean {
        return this.reportedAt.has(vm);
    }
}
