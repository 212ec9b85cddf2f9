/** Change requests of operators and their outcomes. */
import { createHash } from "node:crypto";
import {
    cellAddressSchema,
    cellValueSchema,
    MAX_CELLS_PER_CHANGE,
    partnerNameSchema,
    type CellChange,
    type Delta,
    type Digest,
    type Head,
} from "oleandergap-types";
import { formatCanonicalJson } from "oleandergap-utils";
import { z } from "zod";

const MAX_OPERATOR_LENGTH = 100;

/** State of a cell that the operator expects. */
const expectedCellSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("Empty") }),
    z.strictObject({ kind: z.literal("Value"), value: cellValueSchema }),
]);

/** Edit of one cell. */
export const cellEditSchema = z.strictObject({
    cell: cellAddressSchema,
    /** Expected state of the cell. By default, the state in the first document that the node loads for the change. */
    expected: expectedCellSchema.optional(),
    /** New value of the cell. A missing value empties the cell. */
    value: cellValueSchema.optional(),
});
export type CellEdit = z.infer<typeof cellEditSchema>;

/**
 * Identifier of a change. The client of the operator generates a new one for each change and sends the same one with
 * each retry.
 */
export const changeIdSchema = z.string().regex(/^[A-Za-z0-9-]{8,64}$/, "use 8 to 64 letters, digits and hyphens");

/** Edits of one change, at most one for each cell. */
export const cellEditsSchema = z
    .array(cellEditSchema)
    .min(1)
    .max(MAX_CELLS_PER_CHANGE)
    .refine(
        (edits) => new Set(edits.map((edit) => edit.cell)).size === edits.length,
        "each cell at most once",
    );

/** Change request as a node receives it, with the operator from the credential. */
export const changeRequestSchema = z.strictObject({
    partner: partnerNameSchema,
    /** Operator who requested the change, for the audit trail. */
    operator: z.string().min(1).max(MAX_OPERATOR_LENGTH),
    changeId: changeIdSchema,
    edits: cellEditsSchema,
});
export type ChangeRequest = z.infer<typeof changeRequestSchema>;

/** Outcome of a change that was not refused. Retries with the same id return the same outcome. */
export type ChangeOutcome =
    | {
        readonly kind: "Accepted";
        readonly changeId: string;
        /** Version that the change created. */
        readonly head: Head;
        /** Delta of the change; missing if it could not be read back for a retried request. */
        readonly delta?: Delta;
        /** Whether this is the recorded outcome of an earlier request with the same id. */
        readonly isRepeat: boolean;
    }
    /** All cells already had the requested values. No version was created. */
    | {
        readonly kind: "Unchanged";
        readonly changeId: string;
        readonly head: Head;
        readonly isRepeat: boolean;
    };

/** Effect that a change would have. */
export interface ChangePreview {
    /** Version that the change was validated against. */
    readonly base: Head;
    readonly changes: readonly CellChange[];
}

/**
 * Returns the digest of the operator and the edits. Retries of a request have the same fingerprint; other requests have
 * a different one.
 */
export const computeFingerprint = ({ operator, edits }: ChangeRequest): Digest =>
    createHash("sha256").update(formatCanonicalJson({ operator, edits })).digest("hex");
