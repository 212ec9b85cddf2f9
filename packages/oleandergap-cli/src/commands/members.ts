/** Command `members`: lists the nodes of the fleet. */
import { Command } from "commander";
import * as either from "fp-ts/lib/Either.js";
import { formatColumns } from "../output/formatColumns.js";
import { formatUnknownZones } from "../output/zoneLines.js";
import { reportSuccess, reportOperatorError, type CommandReport } from "../report/report.js";
import type { CommandRunner, CommandSession } from "../runCommand.js";

const listMembers = async ({ client }: CommandSession): Promise<CommandReport> => {
    const response = await client.listMembers()();
    if (either.isLeft(response)) {
        return reportOperatorError(response.left);
    }
    const { members, unknownZones } = response.right;
    const rows = members.map(({ nodeId, zone, address, controlPort, state, targetPartner, targetService }) =>
        [nodeId, zone, `${address}:${controlPort}`, state, targetPartner ?? "-", targetService ?? "-"]);
    const lines = formatColumns(["node", "zone", "control", "state", "partner", "service"], rows);
    return reportSuccess(response.right, [...lines, ...formatUnknownZones(unknownZones)]);
};

/** Creates the subcommand `members` with its arguments, options and help. */
export const createMembersCommand = (runner: CommandRunner): Command =>
    new Command("members")
        .description("Show the nodes of all zones, their state, and the partner that owns the target of each.")
        .action((_options: unknown, command: Command) => runner.runWithClient(command, listMembers));
