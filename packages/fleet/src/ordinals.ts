/** Numbers that the store can give out in one era, for example as offsets of a topic. */
const numbersPerEra = 2 ** 32;

/** Highest era: fencing tokens, which add four bits to an ordinal, must stay exact integers. */
export const maxEra = 2 ** 17 - 1;

/**
 * Creates an ordinal: a number of the store, an offset or a generation, together with the era in which the store gave
 * it out. When the store restores an older copy of itself, its numbers go back and a new era begins, so only ordinals
 * are ordered over time: all numbers of an era are below those of the next one.
 */
export function createOrdinal(era: number, number: number): number {
    return era * numbersPerEra + number;
}

/** Reads the era of an ordinal; 0 for the ordinal of nothing, -1. */
export function readEra(ordinal: number): number {
    return Math.max(0, Math.floor(ordinal / numbersPerEra));
}

/** Reads the store's number of an ordinal. */
export function readNumber(ordinal: number): number {
    return ordinal - readEra(ordinal) * numbersPerEra;
}
