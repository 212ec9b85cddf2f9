/** Text output in aligned columns. */
import { escapeText } from "./escapeText.js";

const COLUMN_GAP = "  ";

/** Returns the lines of the header and the rows. Each column is as wide as its widest cell. */
export const formatColumns = (
    header: readonly string[],
    rows: readonly (readonly string[])[],
): readonly string[] => {
    const lines = [header, ...rows].map((line) => line.map(escapeText));
    const widths = header.map((_title, column) => Math.max(...lines.map((line) => line[column]?.length ?? 0)));
    return lines.map((line) =>
        line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(COLUMN_GAP).trimEnd());
};
