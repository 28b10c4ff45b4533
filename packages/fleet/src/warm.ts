/** Adapters that an engine keeps in host memory, by the users' sheets (48 and 54): only a guess of how long a load takes. */
const warmAdapters = 48;

/** Remembers which adapters an engine has held lately: those it loads in a tenth of the time, without the weight store. */
export class WarmAdapters {
    private readonly keys = new Set<string>();

    constructor(keys: Iterable<string> = []) {
        for (const key of keys) {
            this.record(key);
        }
    }

    /** Records that the engine holds an adapter now. */
    record(key: string): void {
        this.keys.delete(key);
        this.keys.add(key);
        for (const oldest of this.keys) {
            if (this.keys.size <= warmAdapters) {
                break;
            }
            this.keys.delete(oldest);
        }
    }

    has(key: string): boolean {
        return this.keys.has(key);
    }

    /** Least recently held first. */
    list(): string[] {
        return [...this.keys];
    }
}
