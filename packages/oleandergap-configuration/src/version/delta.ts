/** Deltas between versions of a document. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import {
    getBaseSequence,
    MAX_CELLS_PER_CHANGE,
    MAX_CELLS_PER_DELTA,
    type CellChange,
    type Delta,
    type PartnerDocument,
} from "oleandergap-types";
import type { RowKey } from "./cellAddress.js";
import { computeIndexDigest } from "./digest.js";
import { createIndexedDocument, getRowIndex } from "./document.js";
import { applyIndexChanges, listChangedRows, type RowCells, type RowIndex } from "./rowIndex.js";
import type { VersionError } from "./versionError.js";

/** A version with the delta that created it. */
export interface NextVersion {
    readonly document: PartnerDocument;
    readonly delta: Delta;
}

/** Creates the version after `changes`. By default, its sequence is the sequence of `document` plus one. */
export const createNextVersion = (
    document: PartnerDocument,
    changes: readonly CellChange[],
    sequence = document.sequence + 1,
): NextVersion => {
    const { partner } = document;
    const index = applyIndexChanges(getRowIndex(document), changes);
    const digest = computeIndexDigest(partner, index);
    return {
        document: createIndexedDocument(partner, sequence, digest, index),
        delta: {
            partner,
            sequence,
            ...(sequence === document.sequence + 1 ? {} : { baseSequence: document.sequence }),
            baseDigest: document.digest,
            digest,
            changes: [...changes],
        },
    };
};

const EMPTY_ROW: RowCells = new Map();

/** Returns the changes between two states of a row. A row that does not exist has no cells. */
export const listRowChanges = (before: RowCells, after: RowCells): readonly CellChange[] => {
    const removed = [...before]
        .filter(([cell]) => !after.has(cell))
        .map(([cell, value]): CellChange => ({ cell, before: value }));
    const updated = [...after]
        .filter(([cell, value]) => before.get(cell) !== value)
        .map(([cell, value]): CellChange => {
            const previousValue = before.get(cell);
            return previousValue === undefined ? { cell, after: value } : { cell, before: previousValue, after: value };
        });
    return [...removed, ...updated];
};

/**
 * Maximum size of a delta as a share of the cells of the table. Each cell of a delta also contains field names; a delta
 * of two thirds of the cells is as long as the complete version.
 */
const MAX_CHANGED_SHARE = 0.6;

/** Counts the cells of rows that exist in only one of two versions. Each of these cells is a change. */
const countUnsharedRowCells = (rows: readonly RowKey[], before: RowIndex, after: RowIndex): number =>
    rows.reduce((count, row) => {
        const [left, right] = [before.rows.get(row), after.rows.get(row)];
        return count + (left === undefined || right === undefined ? (left ?? right)?.cells.size ?? 0 : 0);
    }, 0);

/**
 * Derives the delta between two versions that were both received as complete documents, so that peers can be sent the
 * delta instead of the second document. Undefined if the versions differ too much for one delta.
 */
export const deriveDelta = (previous: PartnerDocument, next: PartnerDocument): Delta | undefined => {
    const [before, after] = [getRowIndex(previous), getRowIndex(next)];
    const rows = listChangedRows(before, after);
    if (rows.length > MAX_CELLS_PER_DELTA) {
        return undefined;
    }
    const maximumUsefulLength = Math.max(MAX_CELLS_PER_CHANGE, MAX_CHANGED_SHARE * after.cellCount);
    const maximumLength = Math.min(MAX_CELLS_PER_DELTA, maximumUsefulLength);
    // The first version of a node differs completely from the preceding empty document. This check avoids collecting
    // its ten thousand changes.
    if (countUnsharedRowCells(rows, before, after) > maximumLength) {
        return undefined;
    }
    const changes = rows.flatMap((row) =>
        listRowChanges(before.rows.get(row)?.cells ?? EMPTY_ROW, after.rows.get(row)?.cells ?? EMPTY_ROW));
    const { partner, sequence, digest } = next;
    return changes.length > maximumLength ?
        undefined :
        { partner, sequence, baseSequence: previous.sequence, baseDigest: previous.digest, digest, changes };
};

const createNotExtendingError = (document: PartnerDocument, delta: Delta, detail: string): VersionError => ({
    kind: "NotExtending",
    partner: document.partner,
    heldSequence: document.sequence,
    offeredSequence: delta.sequence,
    detail,
});

/** Returns an error for the first delta that does not extend the preceding version. */
const findNonExtendingDelta = (document: PartnerDocument, deltas: readonly Delta[]): VersionError | undefined => {
    let { sequence, digest } = document;
    for (const delta of deltas) {
        if (delta.partner !== document.partner) {
            return createNotExtendingError(document, delta, "it belongs to another partner");
        }
        if (getBaseSequence(delta) !== sequence) {
            return createNotExtendingError(document, delta, `it follows on version ${getBaseSequence(delta)}`);
        }
        if (delta.baseDigest !== digest) {
            return createNotExtendingError(document, delta, "it was made from different content");
        }
        sequence = delta.sequence;
        digest = delta.digest;
    }
    return undefined;
};

const mergeChanges = (deltas: readonly Delta[]): readonly CellChange[] => {
    const merged = new Map<string, CellChange>();
    for (const change of deltas.flatMap((delta) => delta.changes)) {
        merged.set(change.cell, change);
    }
    return [...merged.values()];
};

/**
 * Applies consecutive deltas in one step. Only the final digest is computed: the intermediate versions are never
 * activated, and an incorrect intermediate delta cannot produce the correct final digest.
 */
export const applyDeltas = (
    document: PartnerDocument,
    deltas: readonly Delta[],
): Either<VersionError, PartnerDocument> => {
    const last = deltas.at(-1);
    if (last === undefined) {
        return either.right(document);
    }
    const extensionError = findNonExtendingDelta(document, deltas);
    if (extensionError !== undefined) {
        return either.left(extensionError);
    }
    const { partner } = document;
    const { sequence, digest } = last;
    const index = applyIndexChanges(getRowIndex(document), mergeChanges(deltas));
    const actual = computeIndexDigest(partner, index);
    return actual === digest ?
        either.right(createIndexedDocument(partner, sequence, digest, index)) :
        either.left({ kind: "DigestMismatch", partner, sequence, expected: digest, actual });
};
