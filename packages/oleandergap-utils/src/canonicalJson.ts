/** Canonical JSON: keys are sorted, so that equal values have equal texts. */

const compareText = (left: string, right: string): number => {
    if (left === right) {
        return 0;
    }
    return left < right ? -1 : 1;
};

const sortKeys = (_key: string, value: unknown): unknown => {
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
        return value;
    }
    return Object.fromEntries(Object.entries(value).sort(([left], [right]) => compareText(left, right)));
};

/** Returns `value` as canonical JSON. Keys with an undefined value are omitted, as in ordinary JSON. */
export const formatCanonicalJson = (value: unknown): string => JSON.stringify(value, sortKeys);
