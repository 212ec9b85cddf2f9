/**
 * Ports to the platform: the transactional table service and the object store. The platform has outages, is slow at
 * times, and may lose an answer after the write took effect.
 */
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import { isSamePosition, type StoreEra, type StorePosition } from "./storePosition.js";

/** Why a call to the platform gave no result. */
export type PlatformError =
    /** The call surely had no effect: no connection, or the platform refused it. */
    | { readonly kind: "Unavailable"; readonly detail: string }
    /** The call may have taken effect: the answer was lost, late or unreadable. Read back, never guess. */
    | { readonly kind: "OutcomeUnknown"; readonly detail: string }
    /** This process's own budget of calls is used up; nothing was sent. */
    | { readonly kind: "OverBudget"; readonly retryAfterMs: number };

/**
 * Names one write of a row; handed back in conditions as it was read. An adapter must guarantee that no two writes of a
 * key are taken for one, also when the row is deleted and created anew, or when the store is restored and gives its
 * versions out again: otherwise a delayed write with a `VersionIs` condition could replace a row that its sender never
 * read (the ABA problem).
 */
export interface RowVersion extends StorePosition {
    /** Unique to the write, where the position is not. */
    readonly writeId?: string | undefined;
}

/** Whether two versions of one key name the same write. */
export const isSameWrite = (left: RowVersion, right: RowVersion): boolean =>
    left.writeId === undefined && right.writeId === undefined ?
        isSamePosition(left, right) :
        left.writeId === right.writeId;

/** A row as read. */
export interface TableRow {
    readonly key: string;
    readonly version: RowVersion;
    /** A JSON value; its reader checks it against a schema. */
    readonly value: unknown;
}

/** What a transaction demands of a key before it writes. */
export type RowCondition =
    | { readonly kind: "Any" }
    | { readonly kind: "Absent" }
    | { readonly kind: "VersionIs"; readonly version: RowVersion };

/** Whether a condition holds for a row as it is; undefined when there is none. */
export const isConditionMet = (condition: RowCondition, row: Pick<TableRow, "version"> | undefined): boolean => {
    switch (condition.kind) {
        case "Any":
            return true;
        case "Absent":
            return row === undefined;
        case "VersionIs":
            return row !== undefined && isSameWrite(row.version, condition.version);
    }
};

/** One step of a transaction. All conditions hold and all steps take effect, or none. */
export type TableOperation =
    | { readonly kind: "Check"; readonly key: string; readonly condition: RowCondition }
    | { readonly kind: "Put"; readonly key: string; readonly condition: RowCondition; readonly value: unknown }
    | { readonly kind: "Delete"; readonly key: string; readonly condition: RowCondition };

/** What a transaction came to when its answer arrived. */
export type TransactionResult =
    | { readonly kind: "Committed" }
    /** Nothing was written; `keys` are those whose condition failed. */
    | { readonly kind: "ConditionFailed"; readonly keys: readonly string[] };

/** A range of keys that share a prefix, in key order. */
export interface TableScan {
    readonly prefix: string;
    /** Only keys after this one. */
    readonly after?: string;
    readonly limit: number;
    /** Last key first. */
    readonly descending?: boolean;
}

/** The transactional table service. */
export interface TableService {
    /** The rows that exist among `keys`, in any order; counts as one read. */
    readonly read: (keys: readonly string[], signal: AbortSignal) => TaskEither<PlatformError, readonly TableRow[]>;
    readonly scan: (scan: TableScan, signal: AbortSignal) => TaskEither<PlatformError, readonly TableRow[]>;
    readonly transact: (
        operations: readonly TableOperation[],
        signal: AbortSignal,
    ) => TaskEither<PlatformError, TransactionResult>;
}

/** The object store. Objects are small: each is read and written whole. */
export interface ObjectStore {
    readonly get: (key: string, signal: AbortSignal) => TaskEither<PlatformError, Uint8Array | undefined>;
    /** Replaces the object whole. */
    readonly put: (key: string, body: Uint8Array, signal: AbortSignal) => TaskEither<PlatformError, void>;
    readonly list: (prefix: string, signal: AbortSignal) => TaskEither<PlatformError, readonly string[]>;
    /**
     * The newest era seen in the store's answers, undefined before the first. A higher one than before says that
     * objects that were put may be gone. Absent where the store keeps what it has acknowledged.
     */
    readonly era?: () => StoreEra | undefined;
}
