/**
 * Ports to the platform: the transactional table service and the object store. The platform has outages, is sometimes
 * slow, and may lose a response after the write took effect.
 */
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import { isSamePosition, type StoreEra, type StorePosition } from "./storePosition.js";

/** Why a call to the platform returned no result. */
export type PlatformError =
    /** The call certainly had no effect: there was no connection, or the platform refused it. */
    | { readonly kind: "Unavailable"; readonly detail: string }
    /**
     * The call may have taken effect: the response was lost, late or unreadable. Read the data back instead of assuming
     * an outcome.
     */
    | { readonly kind: "OutcomeUnknown"; readonly detail: string }
    /** The call budget of this process is exhausted; nothing was sent. */
    | { readonly kind: "OverBudget"; readonly retryAfterMs: number };

/**
 * Identifies one write of a row; conditions contain the version that was read. An adapter must guarantee that two
 * writes of a key never have the same version, even if the row is deleted and created again, or if the store is
 * restored and reuses its version numbers. Otherwise a delayed write with a `VersionIs` condition could replace a row
 * that its sender never read (the ABA problem).
 */
export interface RowVersion extends StorePosition {
    /** Unique id of the write, for stores in which the position is not unique. */
    readonly writeId?: string | undefined;
}

/** Returns whether two versions of one key identify the same write. */
export const isSameWrite = (left: RowVersion, right: RowVersion): boolean =>
    left.writeId === undefined && right.writeId === undefined ?
        isSamePosition(left, right) :
        left.writeId === right.writeId;

/** A row that was read. */
export interface TableRow {
    readonly key: string;
    readonly version: RowVersion;
    /** A JSON value; the reader validates it against a schema. */
    readonly value: unknown;
}

/** Precondition of a transaction on one key. */
export type RowCondition =
    | { readonly kind: "Any" }
    | { readonly kind: "Absent" }
    | { readonly kind: "VersionIs"; readonly version: RowVersion };

/** Returns whether a condition holds for the current row, which is undefined if there is no row. */
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

/** One operation of a transaction. Either all conditions hold and all operations take effect, or none does. */
export type TableOperation =
    | { readonly kind: "Check"; readonly key: string; readonly condition: RowCondition }
    | { readonly kind: "Put"; readonly key: string; readonly condition: RowCondition; readonly value: unknown }
    | { readonly kind: "Delete"; readonly key: string; readonly condition: RowCondition };

/** Result of a transaction whose response was received. */
export type TransactionResult =
    | { readonly kind: "Committed" }
    /** Nothing was written; `keys` are the keys whose condition failed. */
    | { readonly kind: "ConditionFailed"; readonly keys: readonly string[] };

/** A range of keys with a common prefix, in key order. */
export interface TableScan {
    readonly prefix: string;
    /** Returns only keys after this one. */
    readonly after?: string;
    readonly limit: number;
    /** Returns the keys in descending order. */
    readonly descending?: boolean;
}

/** The transactional table service. */
export interface TableService {
    /** Returns the existing rows among `keys`, in any order. Counts as one read. */
    readonly read: (keys: readonly string[], signal: AbortSignal) => TaskEither<PlatformError, readonly TableRow[]>;
    readonly scan: (scan: TableScan, signal: AbortSignal) => TaskEither<PlatformError, readonly TableRow[]>;
    readonly transact: (
        operations: readonly TableOperation[],
        signal: AbortSignal,
    ) => TaskEither<PlatformError, TransactionResult>;
}

/** The object store. Objects are small, so each one is read and written as a whole. */
export interface ObjectStore {
    readonly get: (key: string, signal: AbortSignal) => TaskEither<PlatformError, Uint8Array | undefined>;
    /** Replaces the whole object. */
    readonly put: (key: string, body: Uint8Array, signal: AbortSignal) => TaskEither<PlatformError, void>;
    readonly list: (prefix: string, signal: AbortSignal) => TaskEither<PlatformError, readonly string[]>;
    /**
     * Returns the latest era in the store's responses, or undefined before the first response. An increased era means
     * that stored objects may be lost. Absent if the store never loses acknowledged writes.
     */
    readonly era?: () => StoreEra | undefined;
}
