/**
 * Encoding of a delta in a datagram. It omits the data that the receiver already has: the base digest and the previous
 * values. The delta needs no trust in the sender, because the receiver's store checks the digest of the result, which
 * covers all cells. Such a small delta needs hardly more bytes than the head that would announce it.
 */
import { getRowIndex, readCell } from "oleandergap-configuration";
import {
    cellAddressSchema,
    cellValueSchema,
    deltaSchema,
    getBaseSequence,
    MAX_CELLS_PER_CHANGE,
    type CellChange,
    type Delta,
    type PartnerDocument,
} from "oleandergap-types";
import { z } from "zod";
import { packText } from "oleandergap-membership";

/** Schema of a delta without its base digest and previous values. A cell without `after` was removed. */
export const compactDeltaSchema = deltaSchema.pick({
    partner: true,
    sequence: true,
    baseSequence: true,
    digest: true,
}).extend({
    changes: z
        .array(z.strictObject({ cell: cellAddressSchema, after: cellValueSchema.optional() }))
        .max(MAX_CELLS_PER_CHANGE),
});
/** See {@link compactDeltaSchema}. */
export type CompactDelta = z.infer<typeof compactDeltaSchema>;

const compactChange = ({ cell, after }: CellChange): CompactDelta["changes"][number] =>
    after === undefined ? { cell } : { cell, after };

/** Omits the data that the receiver already has; `expandDelta` is the inverse. */
export const compactDelta = ({ partner, sequence, baseSequence, digest, changes }: Delta): CompactDelta => ({
    partner,
    sequence,
    ...(baseSequence === undefined ? {} : { baseSequence }),
    digest,
    changes: changes.map(compactChange),
});

const expandChange = (document: PartnerDocument) =>
    ({ cell, after }: CompactDelta["changes"][number]): CellChange => {
        // Reads the cell through the row index. Building all plain cells for one lookup would cost more than applying
        // the rest of the delta.
        const before = readCell(getRowIndex(document), cell);
        return {
            cell,
            ...(before === undefined ? {} : { before }),
            ...(after === undefined ? {} : { after }),
        };
    };

/** Returns the full delta, or undefined if `document` is not the version that the delta extends. */
export const expandDelta = (compact: CompactDelta, document: PartnerDocument): Delta | undefined =>
    document.partner === compact.partner && document.sequence === getBaseSequence(compact) ?
        {
            partner: compact.partner,
            sequence: compact.sequence,
            ...(compact.baseSequence === undefined ? {} : { baseSequence: compact.baseSequence }),
            baseDigest: document.digest,
            digest: compact.digest,
            changes: compact.changes.map(expandChange(document)),
        } :
        undefined;

/** Deltas with more cells are not measured, because none of them fits into a datagram and compression would be slow. */
const MAX_MEASURED_CELLS = 200;

/** Returns the size of a delta in a datagram, in bytes; infinite for a delta that certainly does not fit. */
export const measureCompactDelta = (delta: CompactDelta): number =>
    delta.changes.length > MAX_MEASURED_CELLS ?
        Number.POSITIVE_INFINITY :
        packText(JSON.stringify(delta)).length;
