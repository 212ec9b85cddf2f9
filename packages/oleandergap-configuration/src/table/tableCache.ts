/** Caches the tables of documents and validates successive versions at the cost of the rows that changed in between. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { CellChange, PartnerDocument, PartnerTable } from "oleandergap-types";
import { getRowKey } from "../version/cellAddress.js";
import { getRowIndex } from "../version/document.js";
import { listChangedRows } from "../version/rowIndex.js";
import { parseTable } from "./parseTable.js";
import { reparseTable } from "./reparseTable.js";
import type { TableProblem } from "./tableProblem.js";

/**
 * Tables of valid documents that are still in use. Documents are immutable, so that a cached table never becomes stale.
 */
const tableCache = new WeakMap<PartnerDocument, PartnerTable>();

const cacheTable = (
    document: PartnerDocument,
    table: Either<readonly TableProblem[], PartnerTable>,
): Either<readonly TableProblem[], PartnerTable> => {
    if (either.isRight(table)) {
        tableCache.set(document, table.right);
    }
    return table;
};

/** Returns the table of a document. The document is parsed on the first call. */
export const getTable = (document: PartnerDocument): Either<readonly TableProblem[], PartnerTable> => {
    const cachedTable = tableCache.get(document);
    return cachedTable === undefined ? cacheTable(document, parseTable(document)) : either.right(cachedTable);
};

/**
 * Returns the table of `next`, derived from the table of `previous` by any number of changes. Rows that are equal in
 * both documents are not validated again.
 */
export const getTableFromPrevious = (
    previous: PartnerDocument,
    next: PartnerDocument,
): Either<readonly TableProblem[], PartnerTable> => {
    const previousTable = tableCache.get(previous);
    if (previousTable === undefined || tableCache.has(next)) {
        return getTable(next);
    }
    return cacheTable(
        next,
        reparseTable(previousTable, next, listChangedRows(getRowIndex(previous), getRowIndex(next))),
    );
};

/** Returns the table of `next`, which differs from `previous` at most in the cells of `changes`. */
export const getTableFromChanges = (
    previous: PartnerDocument,
    next: PartnerDocument,
    changes: readonly CellChange[],
): Either<readonly TableProblem[], PartnerTable> => {
    const previousTable = tableCache.get(previous);
    if (previousTable === undefined) {
        return getTable(next);
    }
    const rows = new Set(changes.map((change) => getRowKey(change.cell)));
    return cacheTable(next, reparseTable(previousTable, next, [...rows]));
};
