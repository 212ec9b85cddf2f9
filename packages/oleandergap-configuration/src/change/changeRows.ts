/** Reads and builds the table rows of a change. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type {
    Head,
    Milliseconds,
    PartnerName,
    RowCondition,
    RowVersion,
    TableOperation,
    TableRow,
    TableService,
} from "oleandergap-types";
import type { z } from "zod";
import {
    changeRowSchema,
    formatAuditKey,
    formatChangeKey,
    formatDeltaKey,
    formatHeadKey,
    headRowSchema,
    type AuditEntry,
    type ChangeRow,
    type HeadRow,
} from "../platform/layout.js";
import type { NextVersion } from "../version/delta.js";
import { createEmptyDocument } from "../version/document.js";
import { toReadError, type ChangeError } from "./changeError.js";
import { computeFingerprint, type ChangeRequest } from "./changeRequest.js";
import type { SnapshotReference } from "./snapshotWriter.js";

/** Rows that the platform has stored when an attempt starts. */
export interface ChangeState {
    readonly head: HeadRow;
    /** Row version of the head row; undefined if there is no head row yet. */
    readonly headVersion: RowVersion | undefined;
    /** Recorded outcome of the change, if there is one. */
    readonly changeRow: ChangeRow | undefined;
}

const createInitialHeadRow = (partner: PartnerName): HeadRow => {
    const { sequence, digest } = createEmptyDocument(partner);
    return { sequence, digest, snapshotSequence: sequence, snapshotDigest: digest, rateUsedUpTo: 0 };
};

const parseRow = <Schema extends z.ZodType>(
    schema: Schema,
    row: TableRow | undefined,
): Either<ChangeError, z.output<Schema> | undefined> => {
    if (row === undefined) {
        return either.right(undefined);
    }
    const result = schema.safeParse(row.value);
    return result.success ?
        either.right(result.data) :
        either.left({ kind: "Damaged", detail: `the row ${row.key} cannot be read` });
};

/** Reads the head row. A partner without a head row has the empty document. */
export const readHeadRow = async (
    tableService: TableService,
    partner: PartnerName,
    signal: AbortSignal,
): Promise<Either<ChangeError, Omit<ChangeState, "changeRow">>> => {
    const rows = await tableService.read([formatHeadKey(partner)], signal)();
    if (either.isLeft(rows)) {
        return either.left(toReadError(rows.left));
    }
    const row = rows.right[0];
    return either.map((head: HeadRow | undefined) => ({
        head: head ?? createInitialHeadRow(partner),
        headVersion: row?.version,
    }))(parseRow(headRowSchema, row));
};

/** Reads the recorded outcome of a change; undefined if there is none. */
export const readChangeRow = async (
    tableService: TableService,
    { partner, changeId }: ChangeRequest,
    signal: AbortSignal,
): Promise<Either<ChangeError, ChangeRow | undefined>> => {
    const rows = await tableService.read([formatChangeKey(partner, changeId)], signal)();
    return either.isLeft(rows) ? either.left(toReadError(rows.left)) : parseRow(changeRowSchema, rows.right[0]);
};

/** Reads the head row and the change row with one call. */
export const readChangeState = async (
    tableService: TableService,
    { partner, changeId }: ChangeRequest,
    signal: AbortSignal,
): Promise<Either<ChangeError, ChangeState>> => {
    const headKey = formatHeadKey(partner);
    const changeKey = formatChangeKey(partner, changeId);
    const rows = await tableService.read([headKey, changeKey], signal)();
    if (either.isLeft(rows)) {
        return either.left(toReadError(rows.left));
    }
    const headTableRow = rows.right.find((row) => row.key === headKey);
    const head = parseRow(headRowSchema, headTableRow);
    const changeRow = parseRow(changeRowSchema, rows.right.find((row) => row.key === changeKey));
    if (either.isLeft(head)) {
        return head;
    }
    if (either.isLeft(changeRow)) {
        return changeRow;
    }
    return either.right({
        head: head.right ?? createInitialHeadRow(partner),
        headVersion: headTableRow?.version,
        changeRow: changeRow.right,
    });
};

const createHeadCondition = (headVersion: RowVersion | undefined): RowCondition =>
    headVersion === undefined ? { kind: "Absent" } : { kind: "VersionIs", version: headVersion };

const createInsertOperation = (key: string, value: unknown): TableOperation => ({
    kind: "Put",
    key,
    condition: { kind: "Absent" },
    value,
});

const toChangeRow = (request: ChangeRequest, kind: ChangeRow["kind"], { sequence, digest }: Head): ChangeRow => ({
    fingerprint: computeFingerprint(request),
    kind,
    sequence,
    digest,
});

/** Builds the transaction that writes the head row, the delta, the audit entry and the outcome atomically. */
export const buildAcceptOperations = (
    request: ChangeRequest,
    { headVersion }: ChangeState,
    { delta }: NextVersion,
    snapshot: SnapshotReference,
    rateUsedUpTo: Milliseconds,
    acceptedAt: Milliseconds,
): readonly TableOperation[] => {
    const { partner, operator, changeId } = request;
    const { sequence, digest, changes } = delta;
    const headRow: HeadRow = { sequence, digest, ...snapshot, rateUsedUpTo };
    const entry: AuditEntry = { sequence, acceptedAt, operator, changeId, changes };
    return [
        { kind: "Put", key: formatHeadKey(partner), condition: createHeadCondition(headVersion), value: headRow },
        createInsertOperation(formatDeltaKey(partner, sequence), delta),
        createInsertOperation(formatAuditKey(partner, sequence), entry),
        createInsertOperation(formatChangeKey(partner, changeId), toChangeRow(request, "Accepted", delta)),
    ];
};

/**
 * Builds the transaction that records a change without effect. Without this record, a retry of the change would take
 * effect if another change had modified the cells in the meantime, and would restore an old value.
 */
export const buildUnchangedOperations = (
    request: ChangeRequest,
    { headVersion }: ChangeState,
    head: Head,
): readonly TableOperation[] => [
    { kind: "Check", key: formatHeadKey(request.partner), condition: createHeadCondition(headVersion) },
    createInsertOperation(formatChangeKey(request.partner, request.changeId), toChangeRow(request, "Unchanged", head)),
];
