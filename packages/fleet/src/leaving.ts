/** Most upstreams that are remembered: far more than leave during the run of a process. The oldest is dropped first. */
const maxUpstreams = 10_000;

/**
 * Upstreams that have announced themselves that they are leaving. An announcement holds for the whole incarnation, even
 * if the upstream's entry does not show it: the store may be unreachable, the entry may be old, and an entry that has
 * expired may appear again. A restarted upstream has a new id.
 */
export class LeavingUpstreams {
    private readonly ids = new Set<string>();

    /** @returns Whether the upstream was not recorded before. */
    add(id: string): boolean {
        if (this.ids.has(id)) {
            return false;
        }
        this.ids.add(id);
        if (this.ids.size > maxUpstreams) {
            this.ids.delete(this.ids.values().next().value!);
        }
        return true;
    }

    has(id: string): boolean {
        return this.ids.has(id);
    }
}
