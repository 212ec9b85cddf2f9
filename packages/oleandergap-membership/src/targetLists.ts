/**
 * Joins the targets of several availability zones into one list. The same array is returned until one of the parts
 * changes.
 */
import type { TargetMember } from "./targetDirectoryTypes.js";

type TargetArray = readonly TargetMember[];

interface JoinedList {
    readonly parts: readonly TargetArray[];
    readonly targets: TargetArray;
}

export interface TargetLists {
    /**
     * Joins the parts. The parts are considered unchanged if they are the same arrays in the same order. `key`
     * identifies the service.
     */
    readonly join: (key: string, parts: readonly TargetArray[]) => TargetArray;
}

const NO_TARGETS: TargetArray = [];

const isSameParts = (left: readonly TargetArray[], right: readonly TargetArray[]): boolean =>
    left.length === right.length && left.every((part, index) => part === right[index]);

/**
 * Creates the joined lists. The last list of each key is cached; keys are services of the routing table, so their
 * number is small.
 */
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
