/** Reads a change from a YAML file: cells to set, cells to empty and expected current values. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { pipe } from "fp-ts/lib/function.js";
import { cellValueSchema, MAX_CELLS_PER_CHANGE } from "oleandergap-types";
import { formatSettingsError, loadSettings } from "oleandergap-validation";
import { z } from "zod";
import { EXIT_USAGE } from "../report/exitCodes.js";
import type { Expectation } from "../notation/assignment.js";
import { parseCell, type NotationError } from "../notation/cellNotation.js";
import type { Edit } from "./edits.js";
import { parseRemovals } from "../notation/parseLists.js";
import { reportFailure, reportNotationError, type CommandReport } from "../report/report.js";

/** Schema of a change file. Keys are cells in the notation of the command line. */
export const changeFileSchema = z.strictObject({
    /** New values of cells. */
    set: z.record(z.string(), cellValueSchema).default({}),
    /** Cells to empty. */
    unset: z.array(z.string()).max(MAX_CELLS_PER_CHANGE).default([]),
    /** Expected current values of cells. For other cells, the values from a new read are expected. */
    expect: z.record(z.string(), cellValueSchema).default({}),
});
type ChangeFileContent = z.infer<typeof changeFileSchema>;

/** Content of a change file with full cell addresses. */
export interface ChangeFile {
    readonly edits: readonly Edit[];
    readonly expectations: readonly Expectation[];
}

const parseCells = (cells: ChangeFileContent["set"]): Either<NotationError, readonly Expectation[]> =>
    either.traverseArray(([text, value]: readonly [string, string | number]) =>
        either.map((cell: string): Expectation => ({ cell, value }))(parseCell(text)))(Object.entries(cells));

const parseChangeFile = ({ set, unset, expect }: ChangeFileContent): Either<NotationError, ChangeFile> => pipe(
    either.Do,
    either.apS("assigned", parseCells(set)),
    either.apS("removed", parseRemovals(unset)),
    either.apS("expectations", parseCells(expect)),
    either.map(({ assigned, removed, expectations }) => ({ edits: [...assigned, ...removed], expectations })),
);

/** Reads and validates `file`. Errors are returned as a complete command report. */
export const readChangeFile = async (file: string): Promise<Either<CommandReport, ChangeFile>> => {
    const content = await loadSettings(changeFileSchema, file)();
    if (either.isLeft(content)) {
        // The messages of the settings loader mention a settings file, but this file is a change file.
        const text = formatSettingsError(content.left).replace(/settings file/i, "change file");
        const [message = "", ...detailLines] = text.split("\n");
        return either.left(reportFailure(EXIT_USAGE, { kind: "ChangeFile", message }, detailLines));
    }
    return either.mapLeft(reportNotationError)(parseChangeFile(content.right));
};
