import { LoadTimes } from "./loadtimes.js";
import type { EngineReport } from "./orders.js";
import { reportDelayMs } from "./orderscheduler.js";
import {
    type AdapterSlot,
    countSlotsByUse,
    isLoading,
    readSlotVersion,
    recordSlotUse,
    type SlotCounts,
} from "./slot.js";
import { formatAdapterKey } from "./types.js";
import { WarmAdapters } from "./warmadapters.js";

/** Longest pause between two checks of a slow load or unload, in milliseconds. */
const maxCheckPauseMs = 120;

/** Initial pause between two checks whether a load or an unload is complete, in milliseconds. */
export const checkPauseMs = 20;

/** Growth factor of the pause from one check to the next. */
const checkPauseFactor = 1.5;

/** Options of {@link SlotTable}. */
export interface SlotTableOptions {
    /** Number of slots of the engine. */
    readonly total: number;
    /** Keys of adapters that the engine is expected to have in host memory, least recently loaded first. @default [] */
    readonly warm?: readonly string[] | undefined;
    /** Whether `warm` lists all adapters that may be in host memory; otherwise any load may turn out to be warm. */
    readonly isHostMemoryKnown: boolean;
}

/** The occupied adapter slots of an engine by adapter key, and its load times. */
export class SlotTable {
    private readonly slots = new Map<string, AdapterSlot>();
    private readonly warm: WarmAdapters;
    private readonly loadTimes = new LoadTimes();

    constructor(private readonly options: SlotTableOptions) {
        this.warm = new WarmAdapters(options.warm, options.total);
    }

    /** Number of free slots. */
    get free(): number {
        return this.options.total - this.slots.size;
    }

    get entries(): ReadonlyMap<string, AdapterSlot> {
        return this.slots;
    }

    has(key: string): boolean {
        return this.slots.has(key);
    }

    find(key: string): Readonly<AdapterSlot> | undefined {
        return this.slots.get(key);
    }

    /** Versions by adapter key of the adapters that are loaded and not being evicted. */
    listHeld(): Record<string, number> {
        const held: Record<string, number> = {};
        for (const [key, slot] of this.slots) {
            if (slot.state === "loaded") {
                held[key] = readSlotVersion(slot);
            }
        }
        return held;
    }

    listLoading(): string[] {
        return [...this.slots].filter(([, slot]) => isLoading(slot)).map(([key]) => key);
    }

    /** Version of an adapter that requests may use now; undefined if the adapter is not loaded. */
    findLoadedVersion(key: string): number | undefined {
        const slot = this.slots.get(key);
        return slot?.state === "loaded" ? readSlotVersion(slot) : undefined;
    }

    countByUse(now: number, countUses: (key: string) => number): SlotCounts {
        return countSlotsByUse(this.slots, this.options.total, now, countUses);
    }

    /** Expected duration of a load, in milliseconds. */
    readLoadMs(isWarm: boolean): number {
        return this.loadTimes.read(isWarm);
    }

    /** Expected duration of a load of this adapter, in milliseconds. */
    readAdapterLoadMs(key: string): number {
        return this.loadTimes.read(this.warm.has(key));
    }

    /** Whether the engine is expected to load an adapter from host memory. */
    isInHostMemory(key: string): boolean {
        return this.warm.has(key);
    }

    update(key: string, version: number, state: AdapterSlot["state"], now: number): void {
        const known = this.slots.get(key);
        if (known === undefined) {
            this.slots.set(key, {
                state,
                version,
                checkAt: now,
                checkPauseMs,
                changedAt: now,
                reportedSequence: undefined,
                expectedMs: this.loadTimes.read(false),
                incompleteMs: undefined,
                isWarm: false,
                usedAt: now,
                popularity: 1,
                decayedAt: now,
            });
        }
        else if (known.state !== state || known.version !== version) {
            known.state = state;
            known.version = version;
            known.checkAt = now;
            known.checkPauseMs = checkPauseMs;
            known.changedAt = now;
            known.reportedSequence = undefined;
        }
        this.warm.record(key);
    }

    /**
     * Applies what the engine's report tells of each adapter, unless its state in this table is more recent.
     * @param askedAt When the report was requested.
     * @param readVersion Returns the version of an adapter that the engine is loading, which reports do not name.
     */
    applyReport(report: EngineReport, askedAt: number, now: number, readVersion: (key: string) => number): void {
        const reported = new Map(
            report.models.flatMap(({ name, adapters }) =>
                adapters.map(adapter => [formatAdapterKey(name, adapter.name), adapter.version])
            ),
        );
        const coming = report.coming.filter(key => !reported.has(key));
        const isCurrent = (key: string): boolean => this.isReportCurrent(key, report.sequence, askedAt);
        for (const key of [...this.slots.keys()]) {
            if (!reported.has(key) && !coming.includes(key) && isCurrent(key)) {
                this.slots.delete(key);
            }
        }
        const updateReported = (key: string, version: number, state: "loaded" | "loading"): void => {
            if (isCurrent(key)) {
                this.update(key, version, state, now);
                this.slots.get(key)!.reportedSequence = report.sequence;
            }
        };
        reported.forEach((version, key) => updateReported(key, version, "loaded"));
        coming.forEach(key => updateReported(key, readVersion(key), "loading"));
        this.removeUnknownBeyondLimit();
    }

    remove(key: string): void {
        this.slots.delete(key);
    }

    /**
     * Drops loads with unknown outcome for which the engine has reported no room: they were ordered with an earlier
     * sequence and can't be carried out any more. Sent again, they would be new loads.
     */
    private removeUnknownBeyondLimit(): void {
        for (const [key, { state }] of this.slots) {
            if (this.free >= 0) {
                return;
            }
            if (state === "unknown") {
                this.slots.delete(key);
            }
        }
    }

    /**
     * Whether a report tells the state of an adapter. What an order of this owner has changed is in reports only after
     * their delay; what an earlier report has told is outdated once the engine has accepted further orders, which may
     * have been those of the owner before. A report tells of all adapters in no slot, also right after the start of a
     * process, whose clock starts at 0.
     */
    private isReportCurrent(key: string, sequence: number, askedAt: number): boolean {
        const slot = this.slots.get(key);
        return slot === undefined || askedAt - slot.changedAt >= reportDelayMs
            || (slot.reportedSequence !== undefined && sequence > slot.reportedSequence);
    }

    /** Counts a request for an adapter. */
    recordUse(key: string, now: number): void {
        const slot = this.slots.get(key);
        if (slot !== undefined) {
            recordSlotUse(slot, now);
        }
    }

    /** Records a load that the engine has accepted. */
    startLoad(key: string, version: number, now: number): void {
        const isWarm = this.warm.has(key) && !this.slots.has(key);
        this.update(key, version, "loading", now);
        const slot = this.slots.get(key)!;
        slot.expectedMs = this.loadTimes.read(isWarm);
        slot.isWarm = isWarm;
        slot.incompleteMs = undefined;
        slot.checkAt = now + this.loadTimes.read(isWarm || !this.options.isHostMemoryKnown);
    }

    /** Records that a check found a load incomplete. */
    recordIncomplete(key: string, now: number): void {
        const slot = this.slots.get(key)!;
        const expectedAt = slot.changedAt + slot.expectedMs;
        if (now < expectedAt) {
            // The load was checked early, in case the engine had the adapter in host memory.
            slot.checkAt = expectedAt;
            return;
        }
        slot.incompleteMs ??= now - slot.changedAt;
        this.scheduleCheck(slot, now);
    }

    /** Records a complete load, and learns from its duration. */
    recordLoaded(key: string, version: number, now: number): void {
        const slot = this.slots.get(key);
        if (slot?.state === "loading") {
            const loadMs = now - slot.changedAt;
            const wasWarm = slot.isWarm || loadMs < slot.expectedMs;
            this.loadTimes.record(wasWarm, loadMs, slot.incompleteMs);
        }
        this.update(key, version, "loaded", now);
    }

    /** Records that an unload was accepted, or that a check found it incomplete. */
    recordUnloading(key: string, now: number): void {
        const slot = this.slots.get(key)!;
        if (slot.state !== "unloading") {
            slot.state = "unloading";
            slot.changedAt = now;
            slot.reportedSequence = undefined;
            slot.checkPauseMs = checkPauseMs;
        }
        this.scheduleCheck(slot, now);
    }

    /** Checks an adapter no earlier than at a time, if it is in a slot. */
    pauseChecks(key: string, until: number): void {
        const slot = this.slots.get(key);
        if (slot !== undefined) {
            slot.checkAt = Math.max(slot.checkAt, until);
        }
    }

    /** Schedules the next check, after a pause that grows from check to check. */
    private scheduleCheck(slot: AdapterSlot, now: number): void {
        slot.checkAt = now + slot.checkPauseMs;
        slot.checkPauseMs = Math.min(slot.checkPauseMs * checkPauseFactor, maxCheckPauseMs);
    }
}
