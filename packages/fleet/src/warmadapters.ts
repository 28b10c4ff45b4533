/**
 * Number of adapters that an engine keeps in host memory per slot, as an estimate: engines keep about six times as many
 * as they have slots.
 */
const warmAdaptersPerSlot = 6;

/** Lower bound of the adapters in host memory, for an engine whose number of slots is not known yet. */
const minWarmAdapters = 48;

/**
 * Remembers recently loaded adapters, which an engine loads from host memory in a tenth of the time from the weight
 * store.
 */
export class WarmAdapters {
    private readonly keys = new Set<string>();
    private readonly capacity: number;

    constructor(keys: Iterable<string> = [], slots = 0) {
        this.capacity = Math.max(minWarmAdapters, slots * warmAdaptersPerSlot);
        for (const key of keys) {
            this.record(key);
        }
    }

    /** Records that the engine has loaded an adapter. */
    record(key: string): void {
        this.keys.delete(key);
        this.keys.add(key);
        for (const oldest of this.keys) {
            if (this.keys.size <= this.capacity) {
                break;
            }
            this.keys.delete(oldest);
        }
    }

    /** Removes an adapter whose load took as long as a load from the weight store. */
    remove(key: string): void {
        this.keys.delete(key);
    }

    has(key: string): boolean {
        return this.keys.has(key);
    }

    /** Lists the adapter keys, least recently loaded first. */
    list(): string[] {
        return [...this.keys];
    }
}
