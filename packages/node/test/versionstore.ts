import type { ClusterChange } from "../src/ports.js";
import type { Schedule } from "./schedule.js";

/** How long a read waits for new records, and the time after which a read without a response fails, in milliseconds. */
export const readWaitMs = 1000;
const readTimeoutMs = 1700;

const storeDelayMs = 2;

/** A version that the store has recorded. */
export interface VersionRecord {
    readonly key: string;
    readonly version: number;
    readonly position: number;
    readonly at: number;
}

/** Response to a read. */
export type ReadResponse =
    | { readonly kind: "records"; readonly records: readonly ClusterChange[]; readonly end: number; }
    /** The records at the position were trimmed. */
    | { readonly kind: "trimmed"; }
    | { readonly kind: "failed"; };

/**
 * Simulated log of versions. Reads wait for new records; the store may be unavailable, slow, trimmed, or reject VMs.
 */
export class VersionStore {
    readonly records: VersionRecord[] = [];
    /** Additional delay of responses, in milliseconds. */
    extraDelayMs = 0;
    isUnavailable = false;
    readonly rejectedVms = new Set<string>();
    private trimmed = 0;
    private readonly waiting = new Set<() => void>();

    constructor(private readonly schedule: Schedule, private readonly isReachable: (vm: string) => boolean) {}

    append(key: string): void {
        const version = this.findNewest(key) + 1;
        this.records.push({ key, version, position: this.records.length, at: this.schedule.now });
        [...this.waiting].forEach(check => check());
    }

    findNewest(key: string): number {
        return this.records.findLast(record => record.key === key)?.version ?? 1;
    }

    /** Trims the log, so that only the newest record of each key can still be read. */
    removeHistory(): void {
        this.trimmed = this.records.length;
    }

    /** Reads the records from a position on, or the newest record of each key if there is no position. */
    read(vm: string, from: number | undefined, onResponse: (response: ReadResponse) => void): void {
        let isDone = false;
        const askedAt = this.schedule.now;
        const finish = (response: ReadResponse): void => {
            if (!isDone) {
                isDone = true;
                this.waiting.delete(check);
                this.schedule.add(storeDelayMs + this.extraDelayMs, () => onResponse(response));
            }
        };
        const check = (): void => {
            if (this.isUnavailable || !this.isReachable(vm)) {
                return;
            }
            if (this.rejectedVms.has(vm)) {
                finish({ kind: "failed" });
            }
            else if (from !== undefined && from < this.trimmed) {
                finish({ kind: "trimmed" });
            }
            else if (from === undefined || from < this.records.length || this.schedule.now >= askedAt + readWaitMs) {
                finish({ kind: "records", records: this.listAfter(from), end: this.records.length });
            }
        };
        this.waiting.add(check);
        this.schedule.add(storeDelayMs, check);
        this.schedule.add(readWaitMs, check);
        this.schedule.add(readTimeoutMs, () => finish({ kind: "failed" }));
    }

    private listAfter(from: number | undefined): ClusterChange[] {
        const found = from === undefined
            ? this.records.filter(({ key, version }) => version === this.findNewest(key))
            : this.records.slice(from);
        return found.map(({ key, version, position }) => ({ kind: "version", key, version, position }));
    }
}
