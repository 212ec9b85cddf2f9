/** Stores the departures of a node in the platform's table, which outlasts all nodes. */
import { createHash } from "node:crypto";
import * as either from "fp-ts/lib/Either.js";
import type { Clock, NodeId, TableOperation, TableRow, TableService } from "oleandergap-types";
import { departureSchema, formatSubject, RETENTION_MS, type Departure, type DepartureStorage } from "./departure.js";

/** Maximum number of rows that are read. A VM has a few departures an hour. */
const MAX_ROWS = 500;
/** Number of hexadecimal digits of a hash in a key. Ids of targets may be longer than a key of the table. */
const HASH_DIGITS = 32;

export interface DepartureTableDependencies {
    readonly tableService: Pick<TableService, "scan" | "transact">;
    readonly nodeId: NodeId;
    readonly clock: Pick<Clock, "now">;
}

const formatPrefix = (nodeId: NodeId): string => `departures/${nodeId}/`;

const formatKey = (nodeId: NodeId, departure: Departure): string =>
    formatPrefix(nodeId) + createHash("sha256").update(formatSubject(departure)).digest("hex").slice(0, HASH_DIGITS);

const parseRow = ({ value }: TableRow): readonly Departure[] => {
    const parsed = departureSchema.safeParse(value);
    return parsed.success ? [parsed.data] : [];
};

/** Creates the storage. Each lifetime that has left has a row of its own, so that no write can undo another one. */
export const createDepartureTable = ({ tableService, nodeId, clock }: DepartureTableDependencies): DepartureStorage => {
    /** Unix time of the last search for expired rows. */
    let checkedAt = clock.now();

    const isExpired = (row: TableRow): boolean =>
        parseRow(row).some(({ kind, recordedAt }) =>
            kind !== "Drained" && clock.now() - recordedAt > RETENTION_MS);

    /** Deletes expired rows. A failed deletion is repeated after the next start. */
    const deleteExpired = async (rows: readonly TableRow[], signal: AbortSignal): Promise<void> => {
        const deletions = rows.filter(isExpired).map(({ key, version }): TableOperation =>
            ({ kind: "Delete", key, condition: { kind: "VersionIs", version } }));
        if (deletions.length > 0) {
            await tableService.transact(deletions, signal)();
        }
    };

    const read: DepartureStorage["read"] = async (signal) => {
        checkedAt = clock.now();
        const rows = await tableService.scan({ prefix: formatPrefix(nodeId), limit: MAX_ROWS }, signal)();
        if (either.isLeft(rows)) {
            return undefined;
        }
        await deleteExpired(rows.right, signal);
        return rows.right.filter((row) => !isExpired(row)).flatMap(parseRow);
    };

    /** Deletes expired rows once in a retention time, at a node that runs for long beside many departures. */
    const deleteExpiredIfDue = async (signal: AbortSignal): Promise<void> => {
        if (clock.now() - checkedAt > RETENTION_MS) {
            await read(signal);
        }
    };

    return {
        name: "table",
        write: async (departure, signal) => {
            const result = await tableService.transact([{
                kind: "Put",
                key: formatKey(nodeId, departure),
                condition: { kind: departure.kind === "Left" ? "Absent" : "Any" },
                value: departure,
            }], signal)();
            await deleteExpiredIfDue(signal);
            // If the condition fails, an earlier write of the same departure has taken effect.
            return either.isRight(result);
        },
        read,
    };
};
