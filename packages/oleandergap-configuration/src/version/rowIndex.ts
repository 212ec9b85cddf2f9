/**
 * The cells of a document grouped by row, each row with its digest. It is what versions are derived from: a change of
 * one cell copies and hashes one row and shares all others with the version before. Copying a plain object of all cells
 * instead costs several times as much as the rest of the step, see docs/TABLE.md.
 */
import { hash } from "node:crypto";
import type { CellAddress, CellChange, Cells, CellValue, Digest } from "oleandergap-types";
import { getRowKey, type RowKey } from "./cellAddress.js";

/** The cells of one row, in order of their addresses. */
export type RowCells = ReadonlyMap<CellAddress, CellValue>;

/** A row with the digest of its cells. */
export interface IndexedRow {
    readonly cells: RowCells;
    readonly digest: Digest;
}

/** Immutable. */
export interface RowIndex {
    readonly rows: ReadonlyMap<RowKey, IndexedRow>;
    /** In order. */
    readonly rowKeys: readonly RowKey[];
    readonly cellCount: number;
}

/** SHA-256 in hexadecimal digits. In one call, without an object for each of some thousand rows. */
export const hashText = (text: string): Digest => hash("sha256", text, "hex");

/** A cell and what it holds. */
export type CellEntry = readonly [CellAddress, CellValue];

/** One line per cell; neither an address nor JSON holds a line end, so different cells give different texts. */
const formatCell = ([cell, value]: CellEntry): string =>
    `${cell} ${typeof value === "number" ? value : JSON.stringify(value)}\n`;

const compareAddresses = ([left]: CellEntry, [right]: CellEntry): number => left < right ? -1 : 1;

const indexRow = (cells: Iterable<CellEntry>): IndexedRow => {
    const entries = [...cells].sort(compareAddresses);
    return { cells: new Map(entries), digest: hashText(entries.map(formatCell).join("")) };
};

const groupByRow = <Item>(
    items: Iterable<Item>,
    addressOf: (item: Item) => CellAddress,
): ReadonlyMap<RowKey, readonly Item[]> => {
    const groups = new Map<RowKey, Item[]>();
    let lastRow: RowKey | undefined;
    let lastGroup: Item[] = [];
    for (const item of items) {
        const address = addressOf(item);
        // Cells mostly come row by row; the row of the one before needs no look-up.
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

const hasSameCells = (known: IndexedRow, cells: readonly CellEntry[]): boolean =>
    known.cells.size === cells.length && cells.every(([cell, value]) => known.cells.get(cell) === value);

/**
 * Groups plain cells by row; needed only for documents that arrive whole. Rows that `previous` holds as well are taken
 * over from it: of a version with 300 routes of which one changed, this takes a tenth of the time of hashing them all.
 */
export const buildRowIndex = (cells: Cells, previous?: RowIndex): RowIndex => {
    const entries = Object.entries(cells);
    const rows = new Map<RowKey, IndexedRow>();
    for (const [row, rowCells] of groupByRow(entries, ([cell]) => cell)) {
        const known = previous?.rows.get(row);
        rows.set(row, known !== undefined && hasSameCells(known, rowCells) ? known : indexRow(rowCells));
    }
    return { rows, rowKeys: [...rows.keys()].sort(), cellCount: entries.length };
};

/**
 * The index of a version whose cells are at hand by row already. To put them into one plain object first, only to
 * divide it again, took 54 of 191 ms by itself in a sampled read of 1,200 routes by a new process.
 */
export const indexRows = (cellsByRow: ReadonlyMap<RowKey, readonly CellEntry[]>): RowIndex => {
    const rows = new Map<RowKey, IndexedRow>();
    let cellCount = 0;
    for (const [row, cells] of cellsByRow) {
        rows.set(row, indexRow(cells));
        cellCount += cells.length;
    }
    return { rows, rowKeys: [...rows.keys()].sort(), cellCount };
};

const changeRow = (row: IndexedRow | undefined, changes: readonly CellChange[]): IndexedRow => {
    const cells = new Map(row?.cells);
    for (const { cell, after } of changes) {
        if (after === undefined) {
            cells.delete(cell);
        }
        else {
            cells.set(cell, after);
        }
    }
    return indexRow(cells);
};

/** The index after `changes`; `index` itself is never altered, since requests may still be served from it. */
export const changeRowIndex = (index: RowIndex, changes: readonly CellChange[]): RowIndex => {
    const rows = new Map(index.rows);
    let { cellCount } = index;
    let hasSameRows = true;
    for (const [row, rowChanges] of groupByRow(changes, (change) => change.cell)) {
        const before = rows.get(row);
        const after = changeRow(before, rowChanges);
        cellCount += after.cells.size - (before?.cells.size ?? 0);
        hasSameRows &&= before !== undefined && after.cells.size > 0;
        if (after.cells.size > 0) {
            rows.set(row, after);
        }
        else {
            rows.delete(row);
        }
    }
    return { rows, rowKeys: hasSameRows ? index.rowKeys : [...rows.keys()].sort(), cellCount };
};

/** Rows that differ between two versions, also those that only one of them holds. */
export const listChangedRows = (previous: RowIndex, next: RowIndex): readonly RowKey[] => {
    const changed = next.rowKeys.filter((row) => previous.rows.get(row)?.digest !== next.rows.get(row)?.digest);
    const removed = previous.rowKeys.filter((row) => !next.rows.has(row));
    return [...changed, ...removed];
};

/** All cells as a plain object. */
export const collectCells = ({ rows }: RowIndex): Cells => {
    const cells: Record<CellAddress, CellValue> = {};
    for (const row of rows.values()) {
        for (const [cell, value] of row.cells) {
            cells[cell] = value;
        }
    }
    return cells;
};

/** Undefined for an empty cell. */
export const readCell = ({ rows }: RowIndex, cell: CellAddress): CellValue | undefined =>
    rows.get(getRowKey(cell))?.cells.get(cell);
