/** Decides what a change does to a version: which cells it changes, or why it is refused. Pure. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { CellAddress, CellChange, CellValue, PartnerDocument, Sequence } from "oleandergap-types";
import { getNextTable } from "../table/knownTables.js";
import { createNextVersion, type NextVersion } from "../version/delta.js";
import { getDocumentHead, getRowIndex } from "../version/document.js";
import { readCell } from "../version/rowIndex.js";
import type { CellConflict, ChangeError } from "./changeError.js";
import type { CellEdit } from "./changeRequest.js";
import { checkGrowth } from "./documentSize.js";

/** An edit whose expectation is settled; absent values stand for an empty cell. */
export interface ResolvedEdit {
    readonly cell: CellAddress;
    readonly expected: CellValue | undefined;
    readonly proposed: CellValue | undefined;
}

/**
 * Settles what each edit expects, once for all attempts at a change. An edit without an expectation is held to what the
 * cell has at the first look, so that a change which slips in between is shown as a conflict and not overwritten.
 */
export const resolveEdits = (document: PartnerDocument, edits: readonly CellEdit[]): readonly ResolvedEdit[] =>
    edits.map(({ cell, expected, value }) => {
        const resolve = (): CellValue | undefined => {
            if (expected === undefined) {
                return readCell(getRowIndex(document), cell);
            }
            return expected.kind === "Value" ? expected.value : undefined;
        };
        return { cell, expected: resolve(), proposed: value };
    });

const findConflict = (document: PartnerDocument, edit: ResolvedEdit): readonly CellConflict[] => {
    const actual = readCell(getRowIndex(document), edit.cell);
    const { cell, expected, proposed } = edit;
    if (actual === expected) {
        return [];
    }
    return [{
        cell,
        ...expected === undefined ? {} : { expected },
        ...actual === undefined ? {} : { actual },
        ...proposed === undefined ? {} : { proposed },
    }];
};

/** Undefined when the cell already holds what is proposed. */
const toChange = ({ cell, expected, proposed }: ResolvedEdit): CellChange | undefined => {
    if (expected === proposed) {
        return undefined;
    }
    return {
        cell,
        ...expected === undefined ? {} : { before: expected },
        ...proposed === undefined ? {} : { after: proposed },
    };
};

/**
 * The version after the change; undefined when the change alters nothing. Its number is above `inForce` as well: a
 * platform that was restored from a copy is behind the nodes, which would refuse a number that they have seen.
 */
export const planChange = (
    document: PartnerDocument,
    edits: readonly ResolvedEdit[],
    inForce: Sequence = document.sequence,
): Either<ChangeError, NextVersion | undefined> => {
    const base = getDocumentHead(document);
    const conflicts = edits.flatMap((edit) => findConflict(document, edit));
    if (conflicts.length > 0) {
        return either.left({ kind: "Conflict", base, conflicts });
    }
    const changes = edits.map(toChange).filter((change) => change !== undefined);
    if (changes.length === 0) {
        return either.right(undefined);
    }
    const next = createNextVersion(document, changes, Math.max(document.sequence, inForce) + 1);
    const growth = checkGrowth(getRowIndex(document), getRowIndex(next.document));
    if (growth.length > 0) {
        return either.left({ kind: "Invalid", base, problems: growth });
    }
    const table = getNextTable(document, next.document, changes);
    return either.isLeft(table) ?
        either.left({ kind: "Invalid", base, problems: table.left }) :
        either.right(next);
};
