/** Text output for changes of cells. */
import type { CellChange } from "oleandergap-types";
import { formatCell } from "../notation/cellNotation.js";
import { formatOptionalValue } from "../notation/valueNotation.js";

/** Formats a change as `CELL: OLD -> NEW`. */
export const formatChange = ({ cell, before, after }: CellChange): string =>
    `${formatCell(cell)}: ${formatOptionalValue(before)} -> ${formatOptionalValue(after)}`;

/** Returns one indented line for each changed cell. */
export const formatChanges = (changes: readonly CellChange[]): readonly string[] =>
    changes.map((change) => `  ${formatChange(change)}`);
