/** Reads the end of a log file for error messages. */
import { readFile } from "node:fs/promises";

const DEFAULT_LINES = 15;

/** Returns the last lines of `file`, indented, or a line with the reason why it cannot be read. Never rejects. */
export const readLastLines = async (file: string, lines = DEFAULT_LINES): Promise<string> => {
    try {
        const text = await readFile(file, "utf8");
        return text.trimEnd().split("\n").slice(-lines).map((line) => `  ${line}`).join("\n");
    }
    catch (error) {
        return `  (no log: ${error instanceof Error ? error.message : String(error)})`;
    }
};
