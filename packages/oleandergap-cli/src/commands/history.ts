/** Command `history`: lists the accepted versions of the partner's table from newest to oldest. */
import { Command } from "commander";
import * as either from "fp-ts/lib/Either.js";
import { formatChanges } from "../output/changeLines.js";
import { reportSuccess, reportOperatorError, type CommandReport } from "../report/report.js";
import type { CommandRunner, CommandSession } from "../runCommand.js";
import { addPageOptions, formatNextPage, type PageOptions } from "./pageOptions.js";

const listHistory = async ({ client }: CommandSession, page: PageOptions): Promise<CommandReport> => {
    const response = await client.listHistory(page)();
    if (either.isLeft(response)) {
        return reportOperatorError(response.left);
    }
    const lines = response.right.entries.flatMap(({ sequence, digest, changes }) => [
        `version ${sequence}  ${digest}`,
        ...formatChanges(changes),
    ]);
    return reportSuccess(response.right, [...lines, ...formatNextPage("history", response.right)]);
};

/** Creates the subcommand `history` with its arguments, options and help. */
export const createHistoryCommand = (runner: CommandRunner): Command =>
    addPageOptions(new Command("history"))
        .description("Show the accepted versions of your table, newest first, with the cells that each changed.")
        .action((options: PageOptions, command: Command) =>
            runner.runWithClient(command, (session) => listHistory(session, options)));
