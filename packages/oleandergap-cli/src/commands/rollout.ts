/** Commands `rollout start`, `rollout status` and `rollout abort`: move a service to a new version. */
import { randomUUID } from "node:crypto";
import { Command, InvalidArgumentError } from "commander";
import * as either from "fp-ts/lib/Either.js";
import type { OperatorError, RolloutsView } from "oleandergap-operator";
import { MILLISECONDS_PER_SECOND, type Milliseconds } from "oleandergap-types";
import { reportOperatorError, reportSuccess, type CommandReport } from "../report/report.js";
import type { CommandRunner } from "../runCommand.js";

const DEFAULT_SECONDS = 300;
const MINIMUM_SECONDS = 5;
const MAXIMUM_SECONDS = 86_400;

interface StartOptions {
    /** Time limit of the roll-out. */
    readonly within: Milliseconds;
}

const parseSeconds = (text: string): Milliseconds => {
    const seconds = Number(text);
    if (!Number.isFinite(seconds) || seconds < MINIMUM_SECONDS || seconds > MAXIMUM_SECONDS) {
        throw new InvalidArgumentError(`use a number of seconds from ${MINIMUM_SECONDS} to ${MAXIMUM_SECONDS}`);
    }
    return seconds * MILLISECONDS_PER_SECOND;
};

const formatSeconds = (duration: Milliseconds): string => `${Math.round(duration / MILLISECONDS_PER_SECOND)} s`;

const formatRollout = (rollout: RolloutsView["rollouts"][number]): string =>
    `${rollout.service} to ${rollout.version}: ${rollout.state} (${rollout.reason}), ` +
    `${formatSeconds(rollout.ageMs)} of ${formatSeconds(rollout.durationMs)}, ` +
    `${rollout.newRequests} requests at the new version, ${rollout.otherRequests} at the others`;

const reportRollouts = (response: either.Either<OperatorError, RolloutsView>): CommandReport => {
    if (either.isLeft(response)) {
        return reportOperatorError(response.left);
    }
    const lines = response.right.rollouts.map(formatRollout);
    return reportSuccess(response.right, lines.length > 0 ? lines : ["No roll-out is known."]);
};

const EXAMPLES = `
Examples:
  $ oleandergap rollout start grant-filer v2 --within 120
  $ oleandergap rollout status
  $ oleandergap rollout abort grant-filer

Start the targets of the new version beside the old ones. The new version is completed or rolled back within the time;
stop the old targets after "completed", and the new ones after "rolledBack".`;

/** Creates the command `rollout` with its subcommands. */
export const createRolloutCommand = (runner: CommandRunner): Command => {
    const command = new Command("rollout")
        .description("Move a service to a new version, judged by the outcomes of its requests.")
        .addHelpText("after", EXAMPLES);
    command.command("start")
        .description("Order a roll-out.")
        .argument("<service>", "service of your partner")
        .argument("<version>", "version that the new targets announce")
        .option("--within <seconds>", "time limit", parseSeconds, DEFAULT_SECONDS * MILLISECONDS_PER_SECOND)
        .action((service: string, version: string, options: StartOptions, subcommand: Command) =>
            runner.runWithClient(subcommand, async ({ client }) => reportRollouts(
                await client.startRollout({ id: randomUUID(), service, version, durationMs: options.within })(),
            )));
    command.command("status")
        .description("Show the latest roll-out of each service.")
        .action((_options: unknown, subcommand: Command) =>
            runner.runWithClient(subcommand, async ({ client }) => reportRollouts(await client.listRollouts()())));
    command.command("abort")
        .description("Stop a roll-out: the new version gets no more requests.")
        .argument("<service>", "service of your partner")
        .action((service: string, _options: unknown, subcommand: Command) =>
            runner.runWithClient(subcommand, async ({ client }) =>
                reportRollouts(await client.abortRollout({ service })())));
    return command;
};
