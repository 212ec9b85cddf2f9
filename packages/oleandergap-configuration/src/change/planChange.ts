/** Computes the version that a change creates, or the reason why the change is refused. All functions are pure. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { CellAddress, CellChange, CellValue, PartnerDocument, Sequence } from "oleandergap-types";
import { getTableFromChanges } from "../table/tableCache.js";
import { createNextVersion, type NextVersion } from "../version/delta.js";
import { getDocumentHead, getRowIndex } from "../version/document.js";
import { readCell } from "../version/rowIndex.js";
import type { CellConflict, ChangeError } from "./changeError.js";
import type { CellEdit } from "./changeRequest.js";
import { checkGrowth } from "./documentSize.js";

/** An edit with a resolved expectation. Undefined values mean an empty cell. */
export interface ResolvedEdit {
    readonly cell: CellAddress;
    readonly expected: CellValue | undefined;
    readonly proposed: CellValue | undefined;
}

/**
 * Resolves the expected value of each edit once for all attempts at a change. For an edit without an expectation, the
 * expected value is the value in the first document that was loaded. A concurrent change of the cell is therefore
 * reported as a conflict and not overwritten.
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

const findConflicts = (document: PartnerDocument, edit: ResolvedEdit): readonly CellConflict[] => {
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

/** Returns undefined if the cell already has the proposed value. */
const toCellChange = ({ cell, expected, proposed }: ResolvedEdit): CellChange | undefined => {
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
 * Returns the version after the change; undefined if the change has no effect. The sequence of the new version is also
 * above `activeSequence`. A platform that was restored from a backup has older versions than the nodes, and the nodes
 * would refuse a sequence that they have already received.
 */
export const planChange = (
    document: PartnerDocument,
    edits: readonly ResolvedEdit[],
    activeSequence: Sequence = document.sequence,
): Either<ChangeError, NextVersion | undefined> => {
    const base = getDocumentHead(document);
    const conflicts = edits.flatMap((edit) => findConflicts(document, edit));
    if (conflicts.length > 0) {
        return either.left({ kind: "Conflict", base, conflicts });
    }
    const changes = edits.map(toCellChange).filter((change) => change !== undefined);
    if (changes.length === 0) {
        return either.right(undefined);
    }
    const next = createNextVersion(document, changes, Math.max(document.sequence, activeSequence) + 1);
    const growthProblems = checkGrowth(getRowIndex(document), getRowIndex(next.document));
    if (growthProblems.length > 0) {
        return either.left({ kind: "Invalid", base, problems: growthProblems });
    }
    const table = getTableFromChanges(document, next.document, changes);
    return either.isLeft(table) ?
        either.left({ kind: "Invalid", base, problems: table.left }) :
        either.right(next);
};
