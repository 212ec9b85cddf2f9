/** Runs an asynchronous function for a list of items with bounded concurrency. */

/**
 * Like `Promise.all(items.map(run))`, with at most `limit` concurrent runs. The results have the order of the items.
 */
export const mapWithLimit = async <Item, Result>(
    items: readonly Item[],
    limit: number,
    run: (item: Item) => Promise<Result>,
): Promise<readonly Result[]> => {
    const results = new Map<number, Result>();
    const queue = items.map((item, index) => ({ item, index }));
    const runWorker = async (): Promise<void> => {
        for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
            results.set(next.index, await run(next.item));
        }
    };
    await Promise.all(Array.from({ length: limit }, runWorker));
    return items.flatMap((_, index) => {
        const result = results.get(index);
        return result === undefined ? [] : [result];
    });
};
