/**
 * A delta as it travels in a datagram. It leaves out what the receiver knows already: the digest that it extends and
 * the values before. Nothing is taken on trust, because the receiver's store still checks the digest of the result,
 * which covers all cells; and a delta that small costs hardly more bytes than the head that would announce it.
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

/** A delta without its base digest and without the values before; a cell without `after` was removed. */
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

/** Leaves out what the receiver knows already; `expandDelta` is the inverse. */
export const compactDelta = ({ partner, sequence, baseSequence, digest, changes }: Delta): CompactDelta => ({
    partner,
    sequence,
    ...(baseSequence === undefined ? {} : { baseSequence }),
    digest,
    changes: changes.map(compactChange),
});

const expandChange = (document: PartnerDocument) =>
    ({ cell, after }: CompactDelta["changes"][number]): CellChange => {
        // Looked up by row: put together for this, the plain cells would cost more than the rest of the step.
        const before = readCell(getRowIndex(document), cell);
        return {
            cell,
            ...(before === undefined ? {} : { before }),
            ...(after === undefined ? {} : { after }),
        };
    };

/** The whole delta, or undefined when `document` is not the version that it extends. */
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

/** Steps of more cells are not measured: none of them fits into a datagram, and to compress them would take long. */
const MAX_MEASURED_CELLS = 200;

/** Size in a datagram, in bytes; infinite for a step that surely does not fit. */
export const measureCompactDelta = (delta: CompactDelta): number =>
    delta.changes.length > MAX_MEASURED_CELLS ?
        Number.POSITIVE_INFINITY :
        packText(JSON.stringify(delta)).length;
