/** Checks versions one after the other, each at the cost of what changed since the one before. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { CellChange, PartnerDocument, PartnerTable } from "oleandergap-types";
import { getRowKey } from "../version/cellAddress.js";
import { getRowIndex } from "../version/document.js";
import { listChangedRows } from "../version/rowIndex.js";
import { parseTable } from "./parseTable.js";
import { reparseTable } from "./reparseTable.js";
import type { TableProblem } from "./tableProblem.js";

/** Tables of documents that were found right and are still in use. Documents are immutable, so none goes stale. */
const knownTables = new WeakMap<PartnerDocument, PartnerTable>();

const remember = (
    document: PartnerDocument,
    table: Either<readonly TableProblem[], PartnerTable>,
): Either<readonly TableProblem[], PartnerTable> => {
    if (either.isRight(table)) {
        knownTables.set(document, table.right);
    }
    return table;
};

/** The table of a document, parsed at the first call. */
export const getTable = (document: PartnerDocument): Either<readonly TableProblem[], PartnerTable> => {
    const known = knownTables.get(document);
    return known === undefined ? remember(document, parseTable(document)) : either.right(known);
};

/** The table of `next`, whatever lies between it and `previous`; rows that both hold are not checked again. */
export const getTableAfter = (
    previous: PartnerDocument,
    next: PartnerDocument,
): Either<readonly TableProblem[], PartnerTable> => {
    const known = knownTables.get(previous);
    if (known === undefined || knownTables.has(next)) {
        return getTable(next);
    }
    return remember(next, reparseTable(known, next, listChangedRows(getRowIndex(previous), getRowIndex(next))));
};

/** The table of `next`, which differs from `previous` in at most the cells of `changes`. */
export const getNextTable = (
    previous: PartnerDocument,
    next: PartnerDocument,
    changes: readonly CellChange[],
): Either<readonly TableProblem[], PartnerTable> => {
    const known = knownTables.get(previous);
    if (known === undefined) {
        return getTable(next);
    }
    const rows = new Set(changes.map((change) => getRowKey(change.cell)));
    return remember(next, reparseTable(known, next, [...rows]));
};
