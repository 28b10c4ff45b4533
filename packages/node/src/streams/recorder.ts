import type { StreamRecord } from "@radishreel/fleet";
import type { Timers } from "../clock.js";
import type { StreamHistoryStore } from "../ports.js";

/** Interval at which new records are written, in milliseconds. Records of a shorter time are lost if all VMs end. */
const writeIntervalMs = 100;

/** Options of {@link StreamRecorder}. */
export interface StreamRecorderOptions {
    readonly store: Pick<StreamHistoryStore, "appendStreams">;
    readonly timers: Timers;
    readonly readTime: () => number;
    /** Whether this VM writes the records of all streams. */
    readonly isRecorder: () => boolean;
    /** Lists the services whose streams may have begun at more than one software version. */
    readonly listAmbiguousServices: () => readonly string[];
    /** Lists the records that this VM learned at or after a time. */
    readonly listRecords: (learnedSince: number) => StreamRecord[];
}

/**
 * Writes the origins of streams to the store, so that they outlast the end of all VMs. One VM writes for all, and only
 * while the origins differ. Each VM decides by itself whether it writes: a record that is written twice does no harm.
 */
export class StreamRecorder {
    /** Records that were learned before this time have been written. */
    private writtenUntil = -Infinity;
    private isWriting = false;

    constructor(private readonly options: StreamRecorderOptions) {}

    start(): { cancel(): void; } {
        return this.options.timers.scheduleEvery(() => void this.write(), writeIntervalMs);
    }

    /** Writes the records that were learned since the last write. */
    async write(): Promise<void> {
        const { isRecorder, listAmbiguousServices, listRecords, readTime, store } = this.options;
        if (this.isWriting) {
            return;
        }
        const services = listAmbiguousServices();
        if (services.length === 0 || !isRecorder()) {
            this.writtenUntil = -Infinity;
            return;
        }
        const startedAt = readTime();
        const records = listRecords(this.writtenUntil)
            .filter(({ origin }) => origin === undefined || services.includes(origin.service));
        if (records.length === 0) {
            return;
        }
        this.isWriting = true;
        try {
            const isWritten = await store.appendStreams(records);
            this.writtenUntil = isWritten ? startedAt : this.writtenUntil;
        }
        finally {
            this.isWriting = false;
        }
    }
}
