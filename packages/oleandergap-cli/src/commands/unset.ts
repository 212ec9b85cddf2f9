/** Command `unset`: empties one or more cells in one change. */
import { Command } from "commander";
import * as either from "fp-ts/lib/Either.js";
import { pipe } from "fp-ts/lib/function.js";
import { addChangeOptions, type ChangeOptions } from "../changes/changeOptions.js";
import { sendChange } from "../changes/sendChange.js";
import { parseExpectations, parseRemovals } from "../notation/parseLists.js";
import { reportNotationError, type CommandReport } from "../report/report.js";
import type { CommandRunner, CommandSession } from "../runCommand.js";

const unsetCells = async (
    session: CommandSession,
    cells: readonly string[],
    options: ChangeOptions,
): Promise<CommandReport> => {
    const parsed = pipe(
        either.Do,
        either.apS("edits", parseRemovals(cells)),
        either.apS("expectations", parseExpectations(options.expect ?? [])),
    );
    return either.isLeft(parsed) ?
        reportNotationError(parsed.left) :
        sendChange(session, { ...parsed.right, commandArguments: ["unset", ...cells] }, options);
};

const EXAMPLES = `
Examples:
  $ oleandergap unset grant-filer.weights.hall-c
  $ oleandergap unset limits/old/concurrency limits/old/queue limits/old/timeoutMs limits/old/retryRatio`;

/** Creates the subcommand `unset` with its arguments, options and help. */
export const createUnsetCommand = (runner: CommandRunner): Command =>
    addChangeOptions(new Command("unset"))
        .description("Empty one or more cells in one change.")
        .argument("<cell...>", "cells to empty")
        .addHelpText("after", EXAMPLES)
        .action((cells: readonly string[], options: ChangeOptions, command: Command) =>
            runner.runWithClient(command, (session) => unsetCells(session, cells, options)));
