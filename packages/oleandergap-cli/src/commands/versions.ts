/** Command `versions`: shows the version that each node serves from and whether a version is in force on every node. */
import { Command } from "commander";
import * as either from "fp-ts/lib/Either.js";
import type { NodeVersion, VersionsView } from "oleandergap-operator";
import type { PartnerName, Sequence } from "oleandergap-types";
import { DEFAULT_WAIT_SECONDS } from "../changes/changeOptions.js";
import { findAppliedSequence, formatConvergence, measureConvergence } from "../fleet/convergence.js";
import { formatColumns } from "../output/formatColumns.js";
import { formatUnknownZones } from "../output/zoneLines.js";
import { reportSuccess, reportOperatorError, type CommandReport } from "../report/report.js";
import type { CommandRunner, CommandSession } from "../runCommand.js";
import { waitUntilInForce } from "../fleet/waitUntilInForce.js";
import { createNumberParser, parseSeconds } from "../settings/parseNumber.js";

interface VersionsOptions {
    /** Version to wait for; true when the option has no number, which selects the newest version. */
    readonly wait?: Sequence | true;
    readonly timeout: number;
}

const UNKNOWN_SEQUENCE = "unknown";

const findNewestSequence = ({ newest }: VersionsView, partner: PartnerName): Sequence =>
    newest.find((head) => head.partner === partner)?.sequence ?? 0;

const formatSequence = (node: NodeVersion, partner: PartnerName, newest: Sequence): string => {
    const sequence = findAppliedSequence(node, partner);
    if (sequence === undefined) {
        return UNKNOWN_SEQUENCE;
    }
    return sequence < newest ? `${sequence} (${newest - sequence} behind)` : String(sequence);
};

/** Returns a warning when the platform did not confirm the newest known version: a newer one may have been accepted. */
const formatUnconfirmedWarning = ({ confirmedByPlatform }: VersionsView): readonly string[] =>
    confirmedByPlatform ? [] : ["The platform could not be reached; newer versions may have been accepted."];

const formatVersions = (view: VersionsView): readonly string[] => {
    const partners = view.newest.map(({ partner }) => partner).sort();
    const rows = view.nodes.map((node) => [
        node.nodeId,
        node.zone,
        node.state,
        ...partners.map((partner) => formatSequence(node, partner, findNewestSequence(view, partner))),
        node.applied.kind === "Unknown" ? node.applied.detail : "",
    ]);
    return [
        ...formatColumns(["node", "zone", "state", ...partners, ""], rows),
        ...formatUnknownZones(view.unknownZones),
        "",
        ...partners.flatMap((partner) =>
            formatConvergence(measureConvergence(view, partner, findNewestSequence(view, partner))).slice(0, 1)),
        ...formatUnconfirmedWarning(view),
    ];
};

const showVersions = async (session: CommandSession, { wait, timeout }: VersionsOptions): Promise<CommandReport> => {
    const response = await session.client.listVersions()();
    if (either.isLeft(response)) {
        return reportOperatorError(response.left);
    }
    const view = response.right;
    if (wait === undefined) {
        return reportSuccess(view, formatVersions(view));
    }
    const { partner, confirmedByPlatform } = view;
    const isNewest = wait === true;
    return waitUntilInForce(session, {
        partner,
        sequence: isNewest ? findNewestSequence(view, partner) : wait,
        timeoutSeconds: timeout,
        result: isNewest ? { confirmedByPlatform } : {},
        lines: isNewest ? formatUnconfirmedWarning(view) : [],
    });
};

const EXAMPLES = `
Examples:
  $ oleandergap versions
  $ oleandergap versions --wait            wait until your newest version is in force on every node
  $ oleandergap versions --wait 42 --timeout 10

A node or a zone that could not be queried is unknown. With --wait, it counts as not in force.`;

/** Creates the subcommand `versions` with its arguments, options and help. */
export const createVersionsCommand = (runner: CommandRunner): Command =>
    new Command("versions")
        .description("Show the version that each node serves from, and on how many nodes the newest is in force.")
        .option("--wait [version]", "wait until your version is in force on every node", createNumberParser(0))
        .option("--timeout <seconds>", "maximum time to wait with --wait", parseSeconds, DEFAULT_WAIT_SECONDS)
        .addHelpText("after", EXAMPLES)
        .action((options: VersionsOptions, command: Command) =>
            runner.runWithClient(command, (session) => showVersions(session, options)));
