/** Command `validate`: validates a change against the accepted table without making it. */
import { Command } from "commander";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { pipe } from "fp-ts/lib/function.js";
import { collectValues } from "../changes/changeOptions.js";
import { readChangeFile, type ChangeFile } from "../changes/changeFile.js";
import { EXIT_USAGE } from "../report/exitCodes.js";
import { validateEdits, type Edit } from "../changes/edits.js";
import { parseAssignments, parseRemovals } from "../notation/parseLists.js";
import { formatChanges } from "../output/changeLines.js";
import {
    reportSuccess, reportFailure, reportNotationError, reportOperatorError, type CommandReport,
} from "../report/report.js";
import type { CommandRunner, CommandSession } from "../runCommand.js";

interface ValidateOptions {
    readonly unset?: readonly string[];
    readonly file?: string;
}

const readEdits = async (
    assignments: readonly string[],
    { unset = [], file }: ValidateOptions,
): Promise<Either<CommandReport, readonly Edit[]>> => {
    const emptyFile: ChangeFile = { edits: [], expectations: [] };
    const fromFile = file === undefined ? either.right(emptyFile) : await readChangeFile(file);
    const fromArguments = pipe(
        either.Do,
        either.apS("assigned", parseAssignments(assignments)),
        either.apS("removed", parseRemovals(unset)),
        either.mapLeft(reportNotationError),
    );
    return pipe(
        either.Do,
        either.apS("file", fromFile),
        either.apS("commandLine", fromArguments),
        either.map(({ file: { edits }, commandLine }) => [...edits, ...commandLine.assigned, ...commandLine.removed]),
        either.chainFirst((edits) => either.mapLeft(reportNotationError)(validateEdits(edits, []))),
        either.filterOrElse(
            (edits) => edits.length > 0,
            () => reportFailure(EXIT_USAGE, { kind: "Usage", message: "Specify a change with CELL=VALUE, --unset or --file." }),
        ),
    );
};

const validateChange = async (
    { client }: CommandSession,
    assignments: readonly string[],
    options: ValidateOptions,
): Promise<CommandReport> => {
    const edits = await readEdits(assignments, options);
    if (either.isLeft(edits)) {
        return edits.left;
    }
    const response = await client.validateChange({ edits: [...edits.right] })();
    if (either.isLeft(response)) {
        return reportOperatorError(response.left);
    }
    const { partner, baseSequence, changes } = response.right;
    const heading = changes.length === 0 ?
        `Valid. Nothing would change in version ${baseSequence} of ${partner}.` :
        `Valid on version ${baseSequence} of ${partner}. Nothing was changed. These cells would change:`;
    return reportSuccess(response.right, [heading, ...formatChanges(changes)]);
};

const EXAMPLES = `
Examples:
  $ oleandergap validate grant-filer.weights.hall-a=50
  $ oleandergap validate -f move-grant-filer.yaml`;

/** Creates the subcommand `validate` with its arguments, options and help. */
export const createValidateCommand = (runner: CommandRunner): Command =>
    new Command("validate")
        .description("Validate a change without making it.")
        .argument("[cell=value...]", "cells and their new values")
        .option("--unset <cell>", "cell to empty (repeatable)", collectValues)
        .option("-f, --file <file>", "file with the cells to change, as for apply")
        .addHelpText("after", EXAMPLES)
        .action((assignments: readonly string[], options: ValidateOptions, command: Command) =>
            runner.runWithClient(command, (session) => validateChange(session, assignments, options)));
