/** Command `audit`: lists the audit trail from newest to oldest. */
import { Command } from "commander";
import * as either from "fp-ts/lib/Either.js";
import type { AuditView } from "oleandergap-operator";
import { formatChange } from "../output/changeLines.js";
import { formatColumns } from "../output/formatColumns.js";
import { reportSuccess, reportOperatorError, type CommandReport } from "../report/report.js";
import type { CommandRunner, CommandSession } from "../runCommand.js";
import { addPageOptions, formatNextPage, type PageOptions } from "./pageOptions.js";

type AuditEntry = AuditView["entries"][number];

/**
 * Returns one row for each cell. The columns that are the same for the whole change are filled in the first row only.
 */
const toRows = ({ sequence, at, operator, changeId, changes }: AuditEntry): readonly (readonly string[])[] =>
    changes.map((change, index) => index === 0 ?
        [formatTime(at), String(sequence), operator, changeId, formatChange(change)] :
        ["", "", "", "", formatChange(change)]);

/** Formats a time as ISO 8601 in UTC, or as a plain number when it is outside the range of dates. */
const formatTime = (at: number): string => {
    const time = new Date(at);
    return Number.isNaN(time.getTime()) ? String(at) : time.toISOString();
};

const listAudit = async ({ client }: CommandSession, page: PageOptions): Promise<CommandReport> => {
    const response = await client.listAudit(page)();
    if (either.isLeft(response)) {
        return reportOperatorError(response.left);
    }
    const rows = response.right.entries.flatMap(toRows);
    const lines = formatColumns(["time (utc)", "version", "operator", "change", "cell: old -> new"], rows);
    return reportSuccess(response.right, [...lines, ...formatNextPage("audit", response.right)]);
};

/** Creates the subcommand `audit` with its arguments, options and help. */
export const createAuditCommand = (runner: CommandRunner): Command =>
    addPageOptions(new Command("audit"))
        .description("Show who changed which cell of your table, when, from what to what; newest first.")
        .action((options: PageOptions, command: Command) =>
            runner.runWithClient(command, (session) => listAudit(session, options)));
