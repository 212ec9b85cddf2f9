/** Command `get`: shows the table or one row. */
import { Command } from "commander";
import * as either from "fp-ts/lib/Either.js";
import type { OperatorError, OperatorTableView, TableSource } from "oleandergap-operator";
import { formatCellList, formatTableGrid } from "../output/tableLines.js";
import { reportSuccess, reportOperatorError, type CommandReport } from "../report/report.js";
import type { CommandRunner, CommandSession } from "../runCommand.js";

interface GetOptions {
    readonly accepted?: boolean;
    readonly cells?: boolean;
}

const formatHeading = ({ partner, sequence, source }: OperatorTableView): string =>
    `${partner}, version ${sequence}, ${source === "accepted" ? "accepted" : "in force at the queried node"}`;

const getTable = async (
    { client }: CommandSession,
    service: string | undefined,
    { accepted, cells }: GetOptions,
): Promise<CommandReport> => {
    const source: TableSource = accepted === true ? "accepted" : "inForce";
    const response: either.Either<OperatorError, OperatorTableView> = service === undefined ?
        await client.getTable({ source })() :
        await client.getRow({ source, service })();
    if (either.isLeft(response)) {
        return reportOperatorError(response.left);
    }
    const view = response.right;
    const isList = cells === true || service !== undefined;
    const lines = isList ? formatCellList(view.cells) : formatTableGrid(view.cells);
    return reportSuccess(view, [formatHeading(view), "", ...lines]);
};

/** Creates the subcommand `get` with its arguments, options and help. */
export const createGetCommand = (runner: CommandRunner): Command =>
    new Command("get")
        .description("Show your table, or one row of it with its limit.")
        .argument("[service]", "row to show, for example grant-filer")
        .option("--accepted", "show the newest accepted version, read from the platform, instead of the version in force")
        .option("--cells", "list the cells in the notation that set accepts")
        .action((service: string | undefined, options: GetOptions, command: Command) =>
            runner.runWithClient(command, (session) => getTable(session, service, options)));
