/** Maximum number of prompt prefixes stored per engine. */
const maxPrefixes = 4096;

/**
 * Index of the prompt prefixes that each engine probably has cached, built from this gateway's dispatches and corrected
 * by the engines' cache events, which arrive late and with gaps. A wrong entry costs only a cache miss.
 */
export class PrefixIndex {
    private readonly engines = new Map<string, Set<string>>();

    recordCached(engineId: string, prefix: string): void {
        const prefixes = this.engines.get(engineId) ?? new Set();
        this.engines.set(engineId, prefixes);
        // Re-insert the prefix, so that the set is ordered by last use.
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

    /** Removes an engine; after a restart it has no prefix cached. */
    removeEngine(engineId: string): void {
        this.engines.delete(engineId);
    }

    isCached(engineId: string, prefix: string): boolean {
        return this.engines.get(engineId)?.has(prefix) ?? false;
    }
}
