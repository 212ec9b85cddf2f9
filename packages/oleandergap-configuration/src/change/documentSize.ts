/**
 * The size of a partner's table is bounded where a change is accepted, and only there. Checked again where a version
 * comes into force, the bound would refuse what others have accepted and confirmed; one would see every node stay at
 * the version before, for good, since all later versions are as large.
 */
import type { RowIndex } from "../version/rowIndex.js";
import type { TableProblem } from "../table/tableProblem.js";

/** Most cells of one partner: three times the largest table planned for (600 services, about 6,000 cells). */
export const MAX_CELLS_PER_DOCUMENT = 18_000;

/** Refuses a change that makes a table too large; one that only makes a large table smaller is let through. */
export const checkGrowth = (before: RowIndex, after: RowIndex): readonly TableProblem[] =>
    after.cellCount > MAX_CELLS_PER_DOCUMENT && after.cellCount > before.cellCount ?
        [{ kind: "TooManyCells", count: after.cellCount, maximum: MAX_CELLS_PER_DOCUMENT }] :
        [];
