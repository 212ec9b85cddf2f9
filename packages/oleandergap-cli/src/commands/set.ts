/** Command `set`: sets one or more cells in one change. */
import { Command } from "commander";
import * as either from "fp-ts/lib/Either.js";
import { pipe } from "fp-ts/lib/function.js";
import { addChangeOptions, type ChangeOptions } from "../changes/changeOptions.js";
import { sendChange } from "../changes/sendChange.js";
import { parseAssignments, parseExpectations } from "../notation/parseLists.js";
import { reportNotationError, type CommandReport } from "../report/report.js";
import type { CommandRunner, CommandSession } from "../runCommand.js";

const setCells = async (
    session: CommandSession,
    assignments: readonly string[],
    options: ChangeOptions,
): Promise<CommandReport> => {
    const parsed = pipe(
        either.Do,
        either.apS("edits", parseAssignments(assignments)),
        either.apS("expectations", parseExpectations(options.expect ?? [])),
    );
    return either.isLeft(parsed) ?
        reportNotationError(parsed.left) :
        sendChange(session, { ...parsed.right, commandArguments: ["set", ...assignments] }, options);
};

const EXAMPLES = `
Examples:
  $ oleandergap set grant-filer.weights.hall-a=50
  $ oleandergap set grant-filer.weights.hall-a=0 grant-filer.weights.hall-b=100 --wait
  $ oleandergap set limits/filing/concurrency=24 --expect limits/filing/concurrency=12

All cells of one command change together or not at all. By default, the command reads the table first and
expects each cell to keep this value; after a concurrent change it reports a conflict and changes nothing.`;

/** Creates the subcommand `set` with its arguments, options and help. */
export const createSetCommand = (runner: CommandRunner): Command =>
    addChangeOptions(new Command("set"))
        .description("Set one or more cells in one change.")
        .argument("<cell=value...>", "cells and their new values")
        .addHelpText("after", EXAMPLES)
        .action((assignments: readonly string[], options: ChangeOptions, command: Command) =>
            runner.runWithClient(command, (session) => setCells(session, assignments, options)));
