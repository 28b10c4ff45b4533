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

/** Hash of two texts, from 0 to 1. */
export function readHashShare(key: string, id: string): number {
    return (foldBits(foldText(foldText(fnvOffsetBasis, key), id)) + 0.5) / 2 ** 32;
}

/**
 * Orders items for a key by rendezvous hashing, the same on every VM: adding or removing an item changes the first
 * choice only of keys that gain or lose that item. The first engines of an adapter are its preferred engines: the
 * adapter returns to an engine that held it recently and still has it in host memory, from where it loads in a tenth of
 * the time. The order is computed over all engines for each request, for which a cryptographic hash would be too slow.
 * Items of a weight are first in proportion to it, and a change of one weight moves only keys to or from its item.
 */
export function rankByRendezvous<Item extends { readonly id: string; readonly weight?: number | undefined; }>(
    key: string,
    items: readonly Item[],
): Item[] {
    const start = foldText(fnvOffsetBasis, key);
    return items
        .map(item => ({ item, score: readScore(foldBits(foldText(start, item.id)), item.weight) }))
        .sort((left, right) => right.score - left.score || (left.item.id < right.item.id ? -1 : 1))
        .map(({ item }) => item);
}

/**
 * Score of weighted rendezvous hashing: the greatest of scores `-weight / ln(hash)` is distributed by weight. Equal
 * weights give the order of the hashes.
 */
function readScore(hash: number, weight = 1): number {
    return -weight / Math.log((hash + 0.5) / 2 ** 32);
}
