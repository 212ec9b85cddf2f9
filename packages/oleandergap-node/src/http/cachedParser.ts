/** Caches the parsed values of texts that occur in many requests, such as service names. */

/**
 * Maximum number of texts that one parser caches. The bound keeps senders that use new texts in each request from
 * exhausting memory.
 */
const MAX_CACHED_VALUES = 1024;

/** Creates a caching version of `parse`, which returns undefined for invalid texts. Only valid texts are cached. */
export const createCachedParser = <Value>(
    parse: (text: string) => Value | undefined,
): ((text: string) => Value | undefined) => {
    const cache = new Map<string, Value>();
    return (text) => {
        const cachedValue = cache.get(text);
        if (cachedValue !== undefined) {
            return cachedValue;
        }
        const value = parse(text);
        if (value !== undefined && cache.size < MAX_CACHED_VALUES) {
            cache.set(text, value);
        }
        return value;
    };
};
