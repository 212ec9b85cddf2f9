/** Command `targets`: lists the targets of the operator's partner. */
import { Command } from "commander";
import * as either from "fp-ts/lib/Either.js";
import { MILLISECONDS_PER_SECOND } from "oleandergap-types";
import { formatColumns } from "../output/formatColumns.js";
import { formatUnknownZones } from "../output/zoneLines.js";
import { reportSuccess, reportOperatorError, type CommandReport } from "../report/report.js";
import type { CommandRunner, CommandSession } from "../runCommand.js";

/** Formats the whole seconds since the first announcement. A negative age, caused by clock skew, is shown as 0. */
const formatAge = (since: number, now: number): string =>
    `${Math.max(0, Math.floor((now - since) / MILLISECONDS_PER_SECOND))} s`;

const listTargets = async ({ client, environment }: CommandSession): Promise<CommandReport> => {
    const response = await client.listTargets()();
    if (either.isLeft(response)) {
        return reportOperatorError(response.left);
    }
    const { targets, unknownZones } = response.right;
    const now = environment.clock.now();
    const rows = targets.map(({ service, zone, nodeId, slots, leaving, since, state }) =>
        [service, zone, nodeId, String(slots), leaving ? "leaving" : "serving", state, formatAge(since, now)]);
    const lines = formatColumns(["service", "zone", "node", "slots", "target", "node state", "age"], rows);
    return reportSuccess(response.right, [...lines, ...formatUnknownZones(unknownZones)]);
};

/** Creates the subcommand `targets` with its arguments, options and help. */
export const createTargetsCommand = (runner: CommandRunner): Command =>
    new Command("targets")
        .description("Show your targets in all zones.")
        .action((_options: unknown, command: Command) => runner.runWithClient(command, listTargets));
