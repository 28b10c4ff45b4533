/** Offset basis and prime of the FNV-1a hash, and the factors of MurmurHash3's finalizer, which mixes its bits. */
const fnvOffsetBasis = 0x811c9dc5;
const fnvPrime = 0x01000193;
const mixFactors = [0x85ebca6b, 0xc2b2ae35] as const;

/** Adds a text to an FNV-1a hash. */
function foldText(hash: number, text: string): number {
    let folded = hash;
    for (let index = 0; index < text.length; index += 1) {
        folded = Math.imul(folded ^ text.charCodeAt(index), fnvPrime);
    }
    return folded;
}

/** Mixes a hash over 32 bits, so that similar names get unrelated ranks. */
function foldBits(hash: number): number {
    let mixed = Math.imul(hash ^ (hash >>> 16), mixFactors[0]);
    mixed = Math.imul(mixed ^ (mixed >>> 13), mixFactors[1]);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * Orders items for a key by rendezvous hashing, the same on every VM: adding or removing an item changes the first
 * choice only of keys that gain or lose that item. The first engines of an adapter are its preferred engines: the
 * adapter returns to an engine that held it recently and still has it in host memory, from where it loads in a tenth of
 * the time. The order is computed over all engines for each request, for which a cryptographic hash would be too slow.
 */
export function rankByRendezvous<Item extends { readonly id: string; }>(
    key: string,
    items: readonly Item[],
): Item[] {
    const start = foldText(fnvOffsetBasis, key);
    return items
        .map(item => ({ item, score: foldBits(foldText(start, item.id)) }))
        .sort((left, right) => right.score - left.score || (left.item.id < right.item.id ? -1 : 1))
        .map(({ item }) => item);
}
