import type { ClusterChange } from "../src/ports.js";
import type { Schedule } from "./schedule.js";

/** Time for which a read waits for news, and after which one without an answer is given up, in milliseconds. */
export const readWaitMs = 1000;
const readTimeoutMs = 1700;

const storeDelayMs = 2;

/** A version that the store has acknowledged. */
export interface NamedRecord {
    readonly key: string;
    readonly version: number;
    readonly position: number;
    readonly at: number;
}

/** What a VM gets for a read. */
export type ReadAnswer =
    | { readonly kind: "records"; readonly records: readonly ClusterChange[]; readonly end: number; }
    /** What was to come next is gone. */
    | { readonly kind: "trimmed"; }
    | { readonly kind: "failed"; };

/** The store's log of versions: reads wait for news, the store may be away or slow, drop its history, turn VMs away. */
export class VersionStore {
    readonly records: NamedRecord[] = [];
    /** Time by which its answers are late, in milliseconds. */
    lateMs = 0;
    isAway = false;
    readonly turnedAway = new Set<string>();
    private trimmed = 0;
    private readonly waiting = new Set<() => void>();

    constructor(private readonly schedule: Schedule, private readonly reaches: (vm: string) => boolean) {}

    append(key: string): void {
        const version = this.findNewest(key) + 1;
        this.records.push({ key, version, position: this.records.length, at: this.schedule.now });
        [...this.waiting].forEach(look => look());
    }

    findNewest(key: string): number {
        return this.records.findLast(record => record.key === key)?.version ?? 1;
    }

    /** Drops all records but the newest of each key. */
    removeHistory(): void {
        this.trimmed = this.records.length;
    }

    /** Reads from a position on, or the newest records of all keys. */
    read(vm: string, from: number | undefined, onAnswer: (answer: ReadAnswer) => void): void {
        let isDone = false;
        const askedAt = this.schedule.now;
        const finish = (answer: ReadAnswer): void => {
            if (!isDone) {
                isDone = true;
                this.waiting.delete(look);
                this.schedule.add(storeDelayMs + this.lateMs, () => onAnswer(answer));
            }
        };
        const look = (): void => {
            if (this.isAway || !this.reaches(vm)) {
                return;
            }
            if (this.turnedAway.has(vm)) {
                finish({ kind: "failed" });
            }
            else if (from !== undefined && from < this.trimmed) {
                finish({ kind: "trimmed" });
            }
            else if (from === undefined || from < this.records.length || this.schedule.now >= askedAt + readWaitMs) {
                finish({ kind: "records", records: this.listAfter(from), end: this.records.length });
            }
        };
        this.waiting.add(look);
        this.schedule.add(storeDelayMs, look);
        this.schedule.add(readWaitMs, look);
        this.schedule.add(readTimeoutMs, () => finish({ kind: "failed" }));
    }

    private listAfter(from: number | undefined): ClusterChange[] {
        const found = from === undefined
            ? this.records.filter(({ key, version }) => version === this.findNewest(key))
            : this.records.slice(from);
        return found.map(({ key, version, position }) => ({ kind: "version", key, version, position }));
    }
}
