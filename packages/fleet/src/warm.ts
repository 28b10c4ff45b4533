/**
 * Adapters that an engine keeps in host memory for each place, as a guess of how long a load takes: the three engines that
 * were seen kept six times what they hold.
 */
const warmAdaptersPerPlace = 6;

/** Fewest adapters taken to be kept: an engine whose places are not known yet. */
const minWarmAdapters = 48;

/** Remembers which adapters an engine has held lately: those it loads in a tenth of the time, without the weight store. */
export class WarmAdapters {
    private readonly keys = new Set<string>();
    private readonly capacity: number;

    constructor(keys: Iterable<string> = [], places = 0) {
        this.capacity = Math.max(minWarmAdapters, places * warmAdaptersPerPlace);
        for (const key of keys) {
            this.record(key);
        }
    }

    /** Records that the engine holds an adapter now. */
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

    /** Records that a load took as long as one from the weight store although it was taken to be kept. */
    remove(key: string): void {
        this.keys.delete(key);
    }

    has(key: string): boolean {
        return this.keys.has(key);
    }

    /** Least recently held first. */
    list(): string[] {
        return [...this.keys];
    }
}
