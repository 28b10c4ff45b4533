import { createHash } from "node:crypto";

/** Score of an item for a key under rendezvous hashing: adding or removing another item moves no other key. */
function readScore(key: string, item: string): number {
    return createHash("md5").update(key).update("\0").update(item).digest().readUInt32BE(0);
}

/**
 * Orders items for a key, the same on every VM. An adapter's first engines are its homes: it comes back to an engine
 * that had it lately and still keeps it in host memory, where it loads in a tenth of the time.
 */
export function rankHomes<Item extends { readonly id: string; }>(key: string, items: readonly Item[]): Item[] {
    return items
        .map(item => ({ item, score: readScore(key, item.id) }))
        .sort((left, right) => right.score - left.score || (left.item.id < right.item.id ? -1 : 1))
        .map(({ item }) => item);
}
