/** Remembers what texts mean that many requests carry alike, such as the names of services. */

/** Texts that are remembered by one parser; a sender of ever new ones must not fill the memory. */
const MAX_REMEMBERED = 1024;

/** Gives what `parse` makes of a text, undefined when it makes no sense; only what makes sense is remembered. */
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
