/**
 * Keys and schemas of a partner's rows and objects on the platform. The schemas ignore unknown fields, so that an older
 * node can still read rows to which a newer node has added fields.
 */
import {
    cellChangeSchema,
    digestSchema,
    sequenceSchema,
    type Digest,
    type Head,
    type PartnerName,
    type Sequence,
} from "oleandergap-types";
import { z } from "zod";

/** Number of digits of a sequence in a key, so that the order of keys is the order of versions. */
const SEQUENCE_DIGITS = 12;

/** Formats a sequence with leading zeros, so that strings sort in numeric order. */
export const formatSequence = (sequence: Sequence): string => String(sequence).padStart(SEQUENCE_DIGITS, "0");

/** Returns the key of the row that refers to the accepted version of a partner. */
export const formatHeadKey = (partner: PartnerName): string => `config/${partner}/head`;
/** Returns the common prefix of the keys of a partner's deltas. */
export const formatDeltaPrefix = (partner: PartnerName): string => `config/${partner}/delta/`;
/** Returns the key of the delta that created version `sequence`. */
export const formatDeltaKey = (partner: PartnerName, sequence: Sequence): string =>
    `${formatDeltaPrefix(partner)}${formatSequence(sequence)}`;
/** Returns the key of the row that records the outcome of a change. */
export const formatChangeKey = (partner: PartnerName, changeId: string): string =>
    `config/${partner}/change/${changeId}`;
/** Returns the common prefix of the keys of a partner's audit trail. */
export const formatAuditPrefix = (partner: PartnerName): string => `audit/${partner}/`;
/** Returns the key of the audit entry of version `sequence`. */
export const formatAuditKey = (partner: PartnerName, sequence: Sequence): string =>
    `${formatAuditPrefix(partner)}${formatSequence(sequence)}`;
/**
 * Returns the key of the object that stores a complete version. The digest is part of the key, so that two writers
 * never overwrite each other's object.
 */
export const formatSnapshotKey = (partner: PartnerName, sequence: Sequence, digest: Digest): string =>
    `config/${partner}/snapshot/${formatSequence(sequence)}-${digest}`;

/**
 * Row that refers to the accepted version of a partner. Each accepted change replaces it, conditional on its row
 * version.
 */
export const headRowSchema = z.object({
    sequence: sequenceSchema,
    digest: digestSchema,
    /** Latest snapshot in the object store. Sequence 0 is the empty document, for which no object exists. */
    snapshotSequence: sequenceSchema,
    snapshotDigest: digestSchema,
    /** Wall-clock time up to which the partner's rate is used, in milliseconds; see `rateLimit.ts`. */
    rateUsedUpTo: z.number().default(0),
});
export type HeadRow = z.infer<typeof headRowSchema>;

/** Returns the head of a head row. */
export const toHead = (partner: PartnerName, { sequence, digest }: HeadRow): Head => ({ partner, sequence, digest });

/** Row that records the outcome of a change, written in the same transaction as the effect of the change. */
export const changeRowSchema = z.object({
    /** Digest of the request, which distinguishes a retry from a different change with the same id. */
    fingerprint: digestSchema,
    kind: z.enum(["Accepted", "Unchanged"]),
    sequence: sequenceSchema,
    digest: digestSchema,
});
export type ChangeRow = z.infer<typeof changeRowSchema>;

/** Entry of the audit trail: the operator, the time and the content of a change. */
export const auditEntrySchema = z.object({
    sequence: sequenceSchema,
    /** Wall-clock time of the node that accepted the change, in milliseconds since the Unix epoch. */
    acceptedAt: z.number(),
    operator: z.string(),
    changeId: z.string(),
    changes: z.array(cellChangeSchema),
});
export type AuditEntry = z.infer<typeof auditEntrySchema>;
