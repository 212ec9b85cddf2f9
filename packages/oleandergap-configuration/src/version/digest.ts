/**
 * Computes the digest of a partner's cells in two levels: SHA-256 over the cells of each row, then over the digests of
 * the rows. After a change of one cell, only its row and the list of rows are hashed instead of all cells.
 */
import type { Cells, Digest, PartnerName } from "oleandergap-types";
import { buildRowIndex, hashText, type RowIndex } from "./rowIndex.js";

/** Returns the digest of cells that are already grouped by row. */
export const computeIndexDigest = (partner: PartnerName, { rows, rowKeys }: RowIndex): Digest => {
    const lines = rowKeys.map((row) => `${row} ${rows.get(row)?.digest ?? ""}\n`);
    return hashText(`${partner}\n${lines.join("")}`);
};

/** Returns the digest of all cells of a partner. It does not depend on the order of the cells. */
export const computeDigest = (partner: PartnerName, cells: Cells): Digest =>
    computeIndexDigest(partner, buildRowIndex(cells));
