/**
 * Groups the cells of a document by row and stores the digest of each row. Versions are derived from this index: a
 * change of one cell copies and hashes one row and shares all other rows with the previous version. Copying a plain
 * object of all cells would cost several times as much as the rest of the update, see docs/TABLE.md.
 */
import { hash } from "node:crypto";
import type { CellAddress, CellChange, Cells, CellValue, Digest } from "oleandergap-types";
import { getRowKey, type RowKey } from "./cellAddress.js";

/** Cells of one row, sorted by address. */
export type RowCells = ReadonlyMap<CellAddress, CellValue>;

/** A row with the digest of its cells. */
export interface IndexedRow {
    readonly cells: RowCells;
    readonly digest: Digest;
}

/** Immutable index of the rows of a document. */
export interface RowIndex {
    readonly rows: ReadonlyMap<RowKey, IndexedRow>;
    /** Keys of all rows, sorted. */
    readonly rowKeys: readonly RowKey[];
    readonly cellCount: number;
}

/**
 * Returns the SHA-256 of a text in hexadecimal digits. One call of `hash` avoids creating a hash object for each of
 * several thousand rows.
 */
export const hashText = (text: string): Digest => hash("sha256", text, "hex");

/** Address and value of a cell. */
export type CellEntry = readonly [CellAddress, CellValue];

/**
 * Formats a cell as one line. Neither an address nor JSON contains a line break, so that different cells produce
 * different texts.
 */
const formatCell = ([cell, value]: CellEntry): string =>
    `${cell} ${typeof value === "number" ? value : JSON.stringify(value)}\n`;

const compareAddresses = ([left]: CellEntry, [right]: CellEntry): number => left < right ? -1 : 1;

const createIndexedRow = (cells: Iterable<CellEntry>): IndexedRow => {
    const entries = [...cells].sort(compareAddresses);
    return { cells: new Map(entries), digest: hashText(entries.map(formatCell).join("")) };
};

const groupByRow = <Item>(
    items: Iterable<Item>,
    getAddress: (item: Item) => CellAddress,
): ReadonlyMap<RowKey, readonly Item[]> => {
    const groups = new Map<RowKey, Item[]>();
    let lastRow: RowKey | undefined;
    let lastGroup: Item[] = [];
    for (const item of items) {
        const address = getAddress(item);
        // Adjacent cells usually belong to the same row, so that most cells need no lookup.
        if (lastRow !== undefined && address.startsWith(lastRow) && address[lastRow.length] === "/") {
            lastGroup.push(item);
            continue;
        }
        const row = getRowKey(address);
        const group = groups.get(row) ?? [];
        group.push(item);
        groups.set(row, group);
        lastRow = row;
        lastGroup = group;
    }
    return groups;
};

const hasSameCells = (row: IndexedRow, cells: readonly CellEntry[]): boolean =>
    row.cells.size === cells.length && cells.every(([cell, value]) => row.cells.get(cell) === value);

/**
 * Builds an index from plain cells; needed only for documents that are received completely. Rows that are equal in
 * `previous` are reused: for a version with 300 routes of which one changed, this takes a tenth of the time of hashing
 * all rows.
 */
export const buildRowIndex = (cells: Cells, previous?: RowIndex): RowIndex => {
    const entries = Object.entries(cells);
    const rows = new Map<RowKey, IndexedRow>();
    for (const [row, rowCells] of groupByRow(entries, ([cell]) => cell)) {
        const previousRow = previous?.rows.get(row);
        rows.set(
            row,
            previousRow !== undefined && hasSameCells(previousRow, rowCells) ? previousRow : createIndexedRow(rowCells),
        );
    }
    return { rows, rowKeys: [...rows.keys()].sort(), cellCount: entries.length };
};

/**
 * Builds an index from cells that are already grouped by row. Building a plain object first and grouping its cells
 * again would take 54 of 191 ms when a new process reads 1,200 routes.
 */
export const createRowIndex = (cellsByRow: ReadonlyMap<RowKey, readonly CellEntry[]>): RowIndex => {
    const rows = new Map<RowKey, IndexedRow>();
    let cellCount = 0;
    for (const [row, cells] of cellsByRow) {
        rows.set(row, createIndexedRow(cells));
        cellCount += cells.length;
    }
    return { rows, rowKeys: [...rows.keys()].sort(), cellCount };
};

const applyRowChanges = (row: IndexedRow | undefined, changes: readonly CellChange[]): IndexedRow => {
    const cells = new Map(row?.cells);
    for (const { cell, after } of changes) {
        if (after === undefined) {
            cells.delete(cell);
        }
        else {
            cells.set(cell, after);
        }
    }
    return createIndexedRow(cells);
};

/** Returns the index after `changes`. `index` itself is never modified, because requests may still use it. */
export const applyIndexChanges = (index: RowIndex, changes: readonly CellChange[]): RowIndex => {
    const rows = new Map(index.rows);
    let { cellCount } = index;
    let hasSameRowKeys = true;
    for (const [row, rowChanges] of groupByRow(changes, (change) => change.cell)) {
        const before = rows.get(row);
        const after = applyRowChanges(before, rowChanges);
        cellCount += after.cells.size - (before?.cells.size ?? 0);
        hasSameRowKeys &&= before !== undefined && after.cells.size > 0;
        if (after.cells.size > 0) {
            rows.set(row, after);
        }
        else {
            rows.delete(row);
        }
    }
    return { rows, rowKeys: hasSameRowKeys ? index.rowKeys : [...rows.keys()].sort(), cellCount };
};

/** Returns the keys of rows that differ between two versions, including rows that exist in only one of them. */
export const listChangedRows = (previous: RowIndex, next: RowIndex): readonly RowKey[] => {
    const changed = next.rowKeys.filter((row) => previous.rows.get(row)?.digest !== next.rows.get(row)?.digest);
    const removed = previous.rowKeys.filter((row) => !next.rows.has(row));
    return [...changed, ...removed];
};

/** Returns all cells as a plain object. */
export const collectCells = ({ rows }: RowIndex): Cells => {
    const cells: Record<CellAddress, CellValue> = {};
    for (const row of rows.values()) {
        for (const [cell, value] of row.cells) {
            cells[cell] = value;
        }
    }
    return cells;
};

/** Returns the value of a cell; undefined if the cell is empty. */
export const readCell = ({ rows }: RowIndex, cell: CellAddress): CellValue | undefined =>
    rows.get(getRowKey(cell))?.cells.get(cell);
