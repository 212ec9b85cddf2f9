/** Divides lists. */

/** Returns the items in lists of at most `size` items, in order. */
export const splitIntoChunks = <Item>(items: readonly Item[], size: number): readonly Item[][] =>
    Array.from({ length: Math.ceil(items.length / size) }, (_, index) => items.slice(index * size, (index + 1) * size));
