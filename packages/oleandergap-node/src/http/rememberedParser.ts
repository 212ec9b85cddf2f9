/** Caches the parsed values of texts that occur in many requests, such as service names. */

/**
 * Maximum number of texts that one parser caches. The bound keeps senders that use new texts in each request from
 * exhausting memory.
 */
const MAX_REMEMBERED = 1024;

/** Creates a caching version of `parse`, which returns undefined for invalid texts. Only valid texts are cached. */
export const createRememberedParser = <Value>(
    parse: (text: string) => Value | undefined,
): ((text: string) => Value | undefined) => {
    const known = new Map<string, Value>();
    return (text) => {
        const remembered = known.get(text);
        if (remembered !== undefined) {
            return remembered;
        }
        const value = parse(text);
        if (value !== undefined && known.size < MAX_REMEMBERED) {
            known.set(text, value);
        }
        return value;
    };
};
