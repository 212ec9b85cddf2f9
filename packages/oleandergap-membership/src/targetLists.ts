/** Joins the targets of several availability zones into one list, and gives the same array until a part changes. */
import type { TargetMember } from "./targetDirectoryTypes.js";

type TargetArray = readonly TargetMember[];

interface JoinedList {
    readonly parts: readonly TargetArray[];
    readonly targets: TargetArray;
}

export interface TargetLists {
    /** Parts count as unchanged when they are the same arrays in the same order. `key` identifies the service. */
    readonly join: (key: string, parts: readonly TargetArray[]) => TargetArray;
}

const NO_TARGETS: TargetArray = [];

const isSameParts = (left: readonly TargetArray[], right: readonly TargetArray[]): boolean =>
    left.length === right.length && left.every((part, index) => part === right[index]);

/** Keeps the last list of each key; keys are services of the table, so there are few. */
export const createTargetLists = (): TargetLists => {
    const lists = new Map<string, JoinedList>();
    return {
        join: (key, parts) => {
            const nonEmptyParts = parts.filter((part) => part.length > 0);
            if (nonEmptyParts.length < 2) {
                return nonEmptyParts[0] ?? NO_TARGETS;
            }
            const cached = lists.get(key);
            if (cached !== undefined && isSameParts(cached.parts, nonEmptyParts)) {
                return cached.targets;
            }
            const targets = nonEmptyParts.flat();
            lists.set(key, { parts: nonEmptyParts, targets });
            return targets;
        },
    };
};
