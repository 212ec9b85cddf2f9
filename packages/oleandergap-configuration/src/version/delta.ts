/** Steps from one version of a document to the next. */
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
import { changeRowIndex, listChangedRows, type RowCells, type RowIndex } from "./rowIndex.js";
import type { VersionError } from "./versionError.js";

/** A version together with the step that led to it. */
export interface NextVersion {
    readonly document: PartnerDocument;
    readonly delta: Delta;
}

/** The version that follows `document` by `changes`; the next number is its sequence unless another one is given. */
export const createNextVersion = (
    document: PartnerDocument,
    changes: readonly CellChange[],
    sequence = document.sequence + 1,
): NextVersion => {
    const { partner } = document;
    const index = changeRowIndex(getRowIndex(document), changes);
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

const NO_CELLS: RowCells = new Map();

/** What leads from one state of a row to another; a row that does not exist has no cells. */
export const listRowChanges = (before: RowCells, after: RowCells): readonly CellChange[] => {
    const removed = [...before]
        .filter(([cell]) => !after.has(cell))
        .map(([cell, value]): CellChange => ({ cell, before: value }));
    const set = [...after]
        .filter(([cell, value]) => before.get(cell) !== value)
        .map(([cell, value]): CellChange => {
            const held = before.get(cell);
            return held === undefined ? { cell, after: value } : { cell, before: held, after: value };
        });
    return [...removed, ...set];
};

/**
 * Largest share of a table's cells in a step. With each cell a step also carries names of fields; at two thirds it is
 * as long as the whole version.
 */
const MAX_CHANGED_SHARE = 0.6;

/** Cells of the rows that only one of two versions holds; each of them is a change. */
const countForeignCells = (rows: readonly RowKey[], before: RowIndex, after: RowIndex): number =>
    rows.reduce((count, row) => {
        const [left, right] = [before.rows.get(row), after.rows.get(row)];
        return count + (left === undefined || right === undefined ? (left ?? right)?.cells.size ?? 0 : 0);
    }, 0);

/**
 * The step between two versions that both arrived whole, so that it can be handed on in place of the second one.
 * Undefined when the versions are too far apart for one step.
 */
export const deriveDelta = (previous: PartnerDocument, next: PartnerDocument): Delta | undefined => {
    const [before, after] = [getRowIndex(previous), getRowIndex(next)];
    const rows = listChangedRows(before, after);
    if (rows.length > MAX_CELLS_PER_DELTA) {
        return undefined;
    }
    const usefulLength = Math.max(MAX_CELLS_PER_CHANGE, MAX_CHANGED_SHARE * after.cellCount);
    const maximum = Math.min(MAX_CELLS_PER_DELTA, usefulLength);
    // A node's first version is far from the empty one before it; its ten thousand changes need not be put together.
    if (countForeignCells(rows, before, after) > maximum) {
        return undefined;
    }
    const changes = rows.flatMap((row) =>
        listRowChanges(before.rows.get(row)?.cells ?? NO_CELLS, after.rows.get(row)?.cells ?? NO_CELLS));
    const { partner, sequence, digest } = next;
    return changes.length > maximum ?
        undefined :
        { partner, sequence, baseSequence: previous.sequence, baseDigest: previous.digest, digest, changes };
};

const notExtending = (document: PartnerDocument, delta: Delta, detail: string): VersionError => ({
    kind: "NotExtending",
    partner: document.partner,
    heldSequence: document.sequence,
    offeredSequence: delta.sequence,
    detail,
});

/** The first delta that does not follow on what stands before it. */
const findBreak = (document: PartnerDocument, deltas: readonly Delta[]): VersionError | undefined => {
    let { sequence, digest } = document;
    for (const delta of deltas) {
        if (delta.partner !== document.partner) {
            return notExtending(document, delta, "it belongs to another partner");
        }
        if (getBaseSequence(delta) !== sequence) {
            return notExtending(document, delta, `it follows on version ${getBaseSequence(delta)}`);
        }
        if (delta.baseDigest !== digest) {
            return notExtending(document, delta, "it was made from different content");
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
 * Applies a run of deltas in one step. Only the last digest is computed: the versions in between are never put in
 * force, and a wrong one among them cannot lead to the right last digest.
 */
export const applyDeltas = (
    document: PartnerDocument,
    deltas: readonly Delta[],
): Either<VersionError, PartnerDocument> => {
    const last = deltas.at(-1);
    if (last === undefined) {
        return either.right(document);
    }
    const broken = findBreak(document, deltas);
    if (broken !== undefined) {
        return either.left(broken);
    }
    const { partner } = document;
    const { sequence, digest } = last;
    const index = changeRowIndex(getRowIndex(document), mergeChanges(deltas));
    const actual = computeIndexDigest(partner, index);
    return actual === digest ?
        either.right(createIndexedDocument(partner, sequence, digest, index)) :
        either.left({ kind: "DigestMismatch", partner, sequence, expected: digest, actual });
};
