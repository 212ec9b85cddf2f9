/**
 * The rows of a table service in memory, with the semantics that the port demands. It serves tests and the stand-in
 * for the platform; nothing here outlives the process.
 *
 * The version of a deleted row is kept, and a row created anew counts on from it. If it began at 1 again, a `VersionIs`
 * condition taken from the deleted row could hold for the new one (the ABA problem): one would see a delayed write
 * replace a row that its sender never read.
 */
import {
    isConditionMet,
    DEFAULT_STORE_ERA,
    type StoreEra,
    type TableOperation,
    type TableRow,
    type TableScan,
    type TransactionResult,
} from "oleandergap-types";

/** Rows by key; every call is complete when it returns. */
export interface TableState {
    readonly read: (keys: readonly string[]) => readonly TableRow[];
    readonly scan: (scan: TableScan) => readonly TableRow[];
    /** All conditions are checked against the state before the transaction; then all steps take effect, or none. */
    readonly transact: (operations: readonly TableOperation[]) => TransactionResult;
    readonly size: () => number;
    readonly takeCopy: () => TableCopy;
    /** Goes back to a copy, and begins a new era, in which versions are given out again. */
    readonly restore: (copy: TableCopy) => void;
    /** The number of restores so far. */
    readonly era: () => StoreEra;
}

/** All that a table held at a moment. */
export interface TableCopy {
    readonly rows: ReadonlyMap<string, TableRow>;
    readonly deletedVersions: ReadonlyMap<string, number>;
}

/** Index of the first of the sorted `keys` that is not below `key`. */
const findPosition = (keys: readonly string[], key: string): number => {
    let low = 0;
    let high = keys.length;
    while (low < high) {
        const middle = (low + high) >>> 1;
        if ((keys[middle] ?? "") < key) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
};

/** Follows every key with this prefix and precedes every other that is larger. */
const endOfPrefix = (prefix: string): string => `${prefix}\u{10ffff}`;

/** Starts empty. */
export const createTableState = (): TableState => {
    let era: StoreEra = DEFAULT_STORE_ERA;
    let rows = new Map<string, TableRow>();
    /** Last versions of deleted rows; grows by one number for each key that stays deleted. */
    let deletedVersions = new Map<string, number>();
    let sortedKeys: string[] = [];

    const put = (key: string, value: unknown): void => {
        const existing = rows.get(key);
        const version = existing?.version.version ?? deletedVersions.get(key) ?? 0;
        if (existing === undefined) {
            deletedVersions.delete(key);
            sortedKeys.splice(findPosition(sortedKeys, key), 0, key);
        }
        // The text round trip keeps a caller's later changes to its object out of the table, as a network would.
        const content = JSON.parse(JSON.stringify(value)) as unknown;
        rows.set(key, { key, version: { era, version: version + 1 }, value: content });
    };

    const remove = (key: string): void => {
        const existing = rows.get(key);
        if (existing !== undefined) {
            rows.delete(key);
            deletedVersions.set(key, existing.version.version);
            sortedKeys.splice(findPosition(sortedKeys, key), 1);
        }
    };

    const apply = (operation: TableOperation): void => {
        switch (operation.kind) {
            case "Check":
                return;
            case "Put":
                put(operation.key, operation.value);
                return;
            case "Delete":
                remove(operation.key);
        }
    };

    const read = (keys: readonly string[]): readonly TableRow[] =>
        keys.flatMap((key) => {
            const row = rows.get(key);
            return row === undefined ? [] : [row];
        });

    const scanAscending = ({ prefix, after, limit }: TableScan): readonly string[] => {
        const start = findPosition(sortedKeys, prefix);
        const pastAfter = after === undefined ? start : findPosition(sortedKeys, `${after}\0`);
        const first = Math.max(start, pastAfter);
        const end = findPosition(sortedKeys, endOfPrefix(prefix));
        return sortedKeys.slice(first, Math.min(end, first + limit));
    };

    const scanDescending = ({ prefix, after, limit }: TableScan): readonly string[] => {
        const start = findPosition(sortedKeys, prefix);
        const beforeAfter = after === undefined ? sortedKeys.length : findPosition(sortedKeys, after);
        const end = Math.min(findPosition(sortedKeys, endOfPrefix(prefix)), beforeAfter);
        return sortedKeys.slice(Math.max(start, end - limit), Math.max(start, end)).reverse();
    };

    return {
        read,
        scan: (scan) => read(scan.descending === true ? scanDescending(scan) : scanAscending(scan)),
        transact: (operations) => {
            const failed = operations.filter(({ key, condition }) => !isConditionMet(condition, rows.get(key)));
            if (failed.length > 0) {
                return { kind: "ConditionFailed", keys: failed.map((operation) => operation.key) };
            }
            operations.forEach(apply);
            return { kind: "Committed" };
        },
        size: () => rows.size,
        takeCopy: () => ({ rows: new Map(rows), deletedVersions: new Map(deletedVersions) }),
        restore: (copy) => {
            rows = new Map(copy.rows);
            deletedVersions = new Map(copy.deletedVersions);
            sortedKeys = [...rows.keys()].sort();
            era += 1;
        },
        era: () => era,
    };
};
