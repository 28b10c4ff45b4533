/** Most upstreams whose word is kept: far more than leave while a process of a VM runs; the oldest is forgotten first. */
const maxKept = 10_000;

/**
 * Upstreams that have said themselves that they leave. That stands for as long as they live: their entry may tell less, since
 * the store is away or the entry is old, and one whose entry has lapsed may come back with it. An upstream that starts again
 * is another one.
 */
export class Departures {
    private readonly ids = new Set<string>();

    /** @returns Whether it was not known. */
    add(id: string): boolean {
        if (this.ids.has(id)) {
            return false;
        }
        this.ids.add(id);
        if (this.ids.size > maxKept) {
            this.ids.delete(this.ids.values().next().value!);
        }
        return true;
    }

    has(id: string): boolean {
        return this.ids.has(id);
    }
}
