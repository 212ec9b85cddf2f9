/**
 * Limits the size of a partner's table. The limit is checked only when a change is accepted. If nodes checked it again
 * when they activate a version, they would refuse versions that were already accepted and confirmed. Every node would
 * then remain at the previous version permanently, because all later versions are as large.
 */
import type { RowIndex } from "../version/rowIndex.js";
import type { TableProblem } from "../table/tableProblem.js";

/** Maximum number of cells of a partner: three times the largest planned table (600 services, about 6,000 cells). */
export const MAX_CELLS_PER_DOCUMENT = 18_000;

/**
 * Returns a problem if a change lets a table grow beyond the limit. A change that shrinks a table is allowed even if
 * the table remains above the limit.
 */
export const checkGrowth = (before: RowIndex, after: RowIndex): readonly TableProblem[] =>
    after.cellCount > MAX_CELLS_PER_DOCUMENT && after.cellCount > before.cellCount ?
        [{ kind: "TooManyCells", count: after.cellCount, maximum: MAX_CELLS_PER_DOCUMENT }] :
        [];
