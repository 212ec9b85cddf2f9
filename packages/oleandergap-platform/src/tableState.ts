/**
 * In-memory rows of a table service with the semantics of the port. Tests and the simulated platform use it. Nothing is
 * persisted.
 *
 * The version of a deleted row is kept, and a row that is created again under the same key continues from it. If its
 * versions started at 1 again, a `VersionIs` condition based on the deleted row could match the new row (the ABA
 * problem), and a delayed write could replace a row that its sender never read.
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

/** Table of rows by key. All operations are synchronous. */
export interface TableState {
    readonly read: (keys: readonly string[]) => readonly TableRow[];
    readonly scan: (scan: TableScan) => readonly TableRow[];
    /**
     * Checks all conditions against the state before the transaction. Applies all operations if all conditions are met,
     * and none otherwise.
     */
    readonly transact: (operations: readonly TableOperation[]) => TransactionResult;
    readonly size: () => number;
    readonly takeSnapshot: () => TableSnapshot;
    /** Restores the table from a copy and starts a new era, in which versions after the copy are assigned again. */
    readonly restore: (copy: TableSnapshot) => void;
    /** Returns the current era, which is the number of restores so far. */
    readonly era: () => StoreEra;
}

/** Contents of a table at one point in time. */
export interface TableSnapshot {
    readonly rows: ReadonlyMap<string, TableRow>;
    readonly deletedVersions: ReadonlyMap<string, number>;
}

/** Returns the index of the first of the sorted `keys` that is not less than `key`. */
const findLowerBound = (keys: readonly string[], key: string): number => {
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

/** Returns a key that is greater than all keys with the prefix and less than all other greater keys. */
const getPrefixUpperBound = (prefix: string): string => `${prefix}\u{10ffff}`;

/** Creates an empty table. */
export const createTableState = (): TableState => {
    let era: StoreEra = DEFAULT_STORE_ERA;
    let rows = new Map<string, TableRow>();
    /** Last versions of deleted rows by key; the map grows by one number for each key that stays deleted. */
    let deletedVersions = new Map<string, number>();
    let sortedKeys: string[] = [];

    const put = (key: string, value: unknown): void => {
        const existing = rows.get(key);
        const version = existing?.version.version ?? deletedVersions.get(key) ?? 0;
        if (existing === undefined) {
            deletedVersions.delete(key);
            sortedKeys.splice(findLowerBound(sortedKeys, key), 0, key);
        }
        // The JSON round trip copies the value, so that later changes to the caller's object do not affect the table.
        const storedValue = JSON.parse(JSON.stringify(value)) as unknown;
        rows.set(key, { key, version: { era, version: version + 1 }, value: storedValue });
    };

    const remove = (key: string): void => {
        const existing = rows.get(key);
        if (existing !== undefined) {
            rows.delete(key);
            deletedVersions.set(key, existing.version.version);
            sortedKeys.splice(findLowerBound(sortedKeys, key), 1);
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
        const start = findLowerBound(sortedKeys, prefix);
        const startAfter = after === undefined ? start : findLowerBound(sortedKeys, `${after}\0`);
        const first = Math.max(start, startAfter);
        const end = findLowerBound(sortedKeys, getPrefixUpperBound(prefix));
        return sortedKeys.slice(first, Math.min(end, first + limit));
    };

    const scanDescending = ({ prefix, after, limit }: TableScan): readonly string[] => {
        const start = findLowerBound(sortedKeys, prefix);
        const endBefore = after === undefined ? sortedKeys.length : findLowerBound(sortedKeys, after);
        const end = Math.min(findLowerBound(sortedKeys, getPrefixUpperBound(prefix)), endBefore);
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
        takeSnapshot: () => ({ rows: new Map(rows), deletedVersions: new Map(deletedVersions) }),
        restore: (copy) => {
            rows = new Map(copy.rows);
            deletedVersions = new Map(copy.deletedVersions);
            sortedKeys = [...rows.keys()].sort();
            era += 1;
        },
        era: () => era,
    };
};
