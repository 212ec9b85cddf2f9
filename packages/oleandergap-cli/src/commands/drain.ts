/** Command `drain`: drains a target. */
import { Command } from "commander";
import * as either from "fp-ts/lib/Either.js";
import { reportSuccess, reportOperatorError, type CommandReport } from "../report/report.js";
import type { CommandRunner, CommandSession } from "../runCommand.js";

const drainTarget = async ({ client }: CommandSession, nodeId: string): Promise<CommandReport> => {
    const response = await client.drainTarget({ nodeId })();
    return either.isLeft(response) ?
        reportOperatorError(response.left) :
        reportSuccess(response.right, [
            `The target of ${response.right.service} at ${response.right.nodeId} accepts no new requests and finishes those in flight.`,
        ]);
};

const EXAMPLES = `
Example:
  $ oleandergap drain hall-a-2

Find node names with: oleandergap targets. Only your own targets can be drained.`;

/** Creates the subcommand `drain` with its arguments, options and help. */
export const createDrainCommand = (runner: CommandRunner): Command =>
    new Command("drain")
        .description("Drain the target of a node: it accepts no new requests and finishes those in flight.")
        .argument("<node>", "name of the node")
        .addHelpText("after", EXAMPLES)
        .action((nodeId: string, _options: unknown, command: Command) =>
            runner.runWithClient(command, (session) => drainTarget(session, nodeId)));
