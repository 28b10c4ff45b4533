/** Prompt prefixes that are remembered for one engine. */
const maxPrefixes = 4096;

/**
 * Which engine probably has which prompt prefix cached: from own dispatches, corrected by the engines' cache events,
 * which come late and with gaps. A wrong guess costs a cache miss and nothing else.
 */
export class PrefixIndex {
    private readonly engines = new Map<string, Set<string>>();

    recordCached(engineId: string, prefix: string): void {
        const prefixes = this.engines.get(engineId) ?? new Set();
        this.engines.set(engineId, prefixes);
        // Re-inserted, so that the set's order is that of the last use.
        prefixes.delete(prefix);
        prefixes.add(prefix);
        if (prefixes.size > maxPrefixes) {
            const [oldest] = prefixes;
            prefixes.delete(oldest!);
        }
    }

    recordEvicted(engineId: string, prefix: string): void {
        this.engines.get(engineId)?.delete(prefix);
    }

    /** A process that starts anew has nothing cached. */
    removeEngine(engineId: string): void {
        this.engines.delete(engineId);
    }

    isCached(engineId: string, prefix: string): boolean {
        return this.engines.get(engineId)?.has(prefix) ?? false;
    }
}
