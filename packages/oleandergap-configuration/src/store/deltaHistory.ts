/** The latest deltas of one partner, kept for peers that are a little behind. */
import { getBaseSequence, MAX_CELLS_PER_DELTA, type Delta, type Sequence } from "oleandergap-types";

/**
 * Most changed cells kept, so that many large changes cannot fill the memory of a node: one step of the largest size,
 * 6 MB of heap (20,000 cells of routes, measured alone).
 */
const MAX_CHANGES_KEPT = MAX_CELLS_PER_DELTA;

/** A run of deltas without gaps that ends at the version in force. */
export interface DeltaHistory {
    /** Each delta follows on the one before; older ones are dropped as needed. */
    readonly append: (deltas: readonly Delta[]) => void;
    /** Forgets all, after a jump over versions that are not known. */
    readonly clear: () => void;
    /** The deltas after `sequence`; undefined when the history does not reach back that far. */
    readonly after: (sequence: Sequence) => readonly Delta[] | undefined;
    /** The delta that led to `sequence`. */
    readonly find: (sequence: Sequence) => Delta | undefined;
}

/** Keeps at most `maximumDeltas`, and fewer when they are large. */
export const createDeltaHistory = (maximumDeltas: number): DeltaHistory => {
    let kept: readonly Delta[] = [];

    const countChanges = (deltas: readonly Delta[]): number =>
        deltas.reduce((sum, delta) => sum + delta.changes.length, 0);

    const trim = (deltas: readonly Delta[]): readonly Delta[] => {
        let first = Math.max(0, deltas.length - maximumDeltas);
        let changes = countChanges(deltas.slice(first));
        while (changes > MAX_CHANGES_KEPT && first < deltas.length) {
            changes -= deltas[first]?.changes.length ?? 0;
            first += 1;
        }
        return deltas.slice(first);
    };

    return {
        append: (deltas) => {
            kept = trim([...kept, ...deltas]);
        },
        clear: () => {
            kept = [];
        },
        after: (sequence) => {
            const position = kept.findIndex((delta) => getBaseSequence(delta) === sequence);
            return position === -1 ? undefined : kept.slice(position);
        },
        find: (sequence) => kept.find((delta) => delta.sequence === sequence),
    };
};
