/** Retains the latest deltas of one partner for peers whose version is only a few versions older. */
import { getBaseSequence, MAX_CELLS_PER_DELTA, type Delta, type Sequence } from "oleandergap-types";

/**
 * Maximum number of changed cells in the history, so that many large changes cannot exhaust the memory of a node: the
 * size of the largest delta, 6 MB of heap (20,000 cells of routes).
 */
const MAX_RETAINED_CHANGES = MAX_CELLS_PER_DELTA;

/** Consecutive deltas that end at the active version. */
export interface DeltaHistory {
    /** Appends consecutive deltas and removes old deltas to stay within the limits. */
    readonly append: (deltas: readonly Delta[]) => void;
    /** Removes all deltas, after an update whose intermediate versions are unknown. */
    readonly clear: () => void;
    /** Returns the deltas after `sequence`; undefined if the history does not reach back to it. */
    readonly after: (sequence: Sequence) => readonly Delta[] | undefined;
    /** Returns the delta that created version `sequence`. */
    readonly find: (sequence: Sequence) => Delta | undefined;
}

/** Creates a history that retains at most `maximumDeltas` deltas, or fewer if they are large. */
export const createDeltaHistory = (maximumDeltas: number): DeltaHistory => {
    let retainedDeltas: readonly Delta[] = [];

    const countChanges = (deltas: readonly Delta[]): number =>
        deltas.reduce((sum, delta) => sum + delta.changes.length, 0);

    const trim = (deltas: readonly Delta[]): readonly Delta[] => {
        let firstRetained = Math.max(0, deltas.length - maximumDeltas);
        let changeCount = countChanges(deltas.slice(firstRetained));
        while (changeCount > MAX_RETAINED_CHANGES && firstRetained < deltas.length) {
            changeCount -= deltas[firstRetained]?.changes.length ?? 0;
            firstRetained += 1;
        }
        return deltas.slice(firstRetained);
    };

    return {
        append: (deltas) => {
            retainedDeltas = trim([...retainedDeltas, ...deltas]);
        },
        clear: () => {
            retainedDeltas = [];
        },
        after: (sequence) => {
            const position = retainedDeltas.findIndex((delta) => getBaseSequence(delta) === sequence);
            return position === -1 ? undefined : retainedDeltas.slice(position);
        },
        find: (sequence) => retainedDeltas.find((delta) => delta.sequence === sequence),
    };
};
