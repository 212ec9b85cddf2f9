/** Command `apply`: makes the change that a file describes. */
import { Command } from "commander";
import * as either from "fp-ts/lib/Either.js";
import { pipe } from "fp-ts/lib/function.js";
import { addChangeOptions, type ChangeOptions } from "../changes/changeOptions.js";
import { sendChange } from "../changes/sendChange.js";
import { readChangeFile } from "../changes/changeFile.js";
import type { Expectation } from "../notation/assignment.js";
import { parseExpectations } from "../notation/parseLists.js";
import { reportNotationError, type CommandReport } from "../report/report.js";
import type { CommandRunner, CommandSession } from "../runCommand.js";

interface ApplyOptions extends ChangeOptions {
    readonly file: string;
}

/** Merges the expectations. For a cell with both, the command line takes precedence over the file. */
const mergeExpectations = (
    fromFile: readonly Expectation[],
    fromOptions: readonly Expectation[],
): readonly Expectation[] => [
    ...fromFile.filter(({ cell }) => !fromOptions.some((option) => option.cell === cell)),
    ...fromOptions,
];

const applyFile = async (session: CommandSession, options: ApplyOptions): Promise<CommandReport> => {
    const content = await readChangeFile(options.file);
    if (either.isLeft(content)) {
        return content.left;
    }
    const { edits } = content.right;
    const expectations = pipe(
        parseExpectations(options.expect ?? []),
        either.map((fromCommandLine) => mergeExpectations(content.right.expectations, fromCommandLine)),
    );
    return either.isLeft(expectations) ?
        reportNotationError(expectations.left) :
        sendChange(
            session,
            { edits, expectations: expectations.right, commandArguments: ["apply", "-f", options.file] },
            options,
        );
};

const EXAMPLES = `
A file sets and empties cells in one change; cells that it does not name stay as they are:
  set:
    grant-filer.limit: filing
    grant-filer.weights.hall-a: 50
    limits/filing/concurrency: 24
  unset:
    - grant-filer.weights.hall-c
  expect:
    grant-filer.weights.hall-a: 100

Example:
  $ oleandergap apply -f move-grant-filer.yaml --wait`;

/** Creates the subcommand `apply` with its arguments, options and help. */
export const createApplyCommand = (runner: CommandRunner): Command =>
    addChangeOptions(new Command("apply"))
        .description("Make the change that a YAML file describes.")
        .requiredOption("-f, --file <file>", "file with the cells to change")
        .addHelpText("after", EXAMPLES)
        .action((options: ApplyOptions, command: Command) =>
            runner.runWithClient(command, (session) => applyFile(session, options)));
