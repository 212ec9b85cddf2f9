/** Assembles the commands and runs one command line. */
import { Command, CommanderError } from "commander";
import * as either from "fp-ts/lib/Either.js";
import { collectValues } from "./changes/changeOptions.js";
import { createApplyCommand } from "./commands/apply.js";
import { createAuditCommand } from "./commands/audit.js";
import { createCreateCredentialCommand } from "./commands/createCredential.js";
import { createCustomersCommand } from "./commands/customers.js";
import { createDrainCommand } from "./commands/drain.js";
import { createGetCommand } from "./commands/get.js";
import { createHistoryCommand } from "./commands/history.js";
import { createMembersCommand } from "./commands/members.js";
import { createRolloutCommand } from "./commands/rollout.js";
import { createSetCommand } from "./commands/set.js";
import { createTargetsCommand } from "./commands/targets.js";
import { createUnsetCommand } from "./commands/unset.js";
import { createValidateCommand } from "./commands/validate.js";
import { createVersionsCommand } from "./commands/versions.js";
import type { Environment } from "./environment.js";
import { EXIT_OK, EXIT_USAGE } from "./report/exitCodes.js";
import { readGlobalOptions, readSettings, type GlobalOptions } from "./settings/globalOptions.js";
import { reportSuccess, type CommandReport } from "./report/report.js";
import { createCommandRunner, type CommandRunner } from "./runCommand.js";

const HELP = `
Cells:
  SERVICE.COLUMN              short for services/SERVICE/COLUMN, for example grant-filer.limit
  SERVICE.weights.ZONE        weight of a zone, for example grant-filer.weights.hall-a
  limits/NAME/COLUMN          concurrency, queue, timeoutMs or retryRatio of a limit
  zones/ZONE/enabled          1 adds a zone to the table
  customers/NAME/COLUMN       priority, ratePerSecond or burst of a customer

Examples:
  $ export OLEANDERGAP_SETTINGS=~/oleandergap.yaml
  $ oleandergap get
  $ oleandergap set grant-filer.weights.hall-a=50 --wait
  $ oleandergap versions
  $ oleandergap audit --limit 5

Exit codes:
  0 success                     5 credential missing or rejected, or not allowed
  1 failure                     6 no node or platform could be reached
  2 invalid usage or settings   7 outcome of the change unknown; how to repeat it is shown
  3 conflict, nothing changed   8 too many requests or changes, nothing changed; try again later
  4 invalid, nothing changed`;

const checkSettings = async (options: GlobalOptions, environment: Environment): Promise<CommandReport> => {
    const settings = await readSettings(options, environment);
    return either.isLeft(settings) ? settings.left : reportSuccess(settings.right, ["The settings are valid."]);
};

/** Runs a command line without a command: checks the settings, or shows the help and exits with a usage error. */
const runWithoutCommand = (
    runner: CommandRunner,
    program: Command,
    commandArguments: readonly string[],
): Promise<void> => {
    const [unknownCommand] = commandArguments;
    if (unknownCommand !== undefined) {
        program.error(`error: unknown command '${unknownCommand}'; see oleandergap --help`);
    }
    const options = readGlobalOptions(program);
    if (options.checkSettings !== true) {
        program.help({ error: true });
    }
    return runner.runWithoutClient(program, () => checkSettings(options, runner.environment));
};

const createCommands = (runner: CommandRunner): readonly Command[] => [
    createGetCommand(runner),
    createSetCommand(runner),
    createUnsetCommand(runner),
    createApplyCommand(runner),
    createValidateCommand(runner),
    createHistoryCommand(runner),
    createAuditCommand(runner),
    createCustomersCommand(runner),
    createVersionsCommand(runner),
    createMembersCommand(runner),
    createTargetsCommand(runner),
    createDrainCommand(runner),
    createRolloutCommand(runner),
    createCreateCredentialCommand(runner),
];

/**
 * Configures the program or one of its commands, with its subcommands. Commands that are added later do not inherit
 * this configuration.
 */
const configureCommand = (command: Command, environment: Environment): Command => {
    command.commands.forEach((subcommand) => configureCommand(subcommand, environment));
    return command
        .exitOverride()
        .configureOutput({ writeOut: environment.writeOut, writeErr: environment.writeError });
};

const createProgram = (runner: CommandRunner): Command => {
    const { environment } = runner;
    const program = configureCommand(new Command("oleandergap"), environment)
        .usage("[options] <command>")
        .description("Edits your part of the shared table that the nodes of the mesh serve from, and shows the state of the fleet.")
        .option("--settings <file>", "settings file (YAML); default: the file named by the variable OLEANDERGAP_SETTINGS")
        .option("--node <address:port>", "node to connect to instead of the nodes in the settings (repeatable)", collectValues)
        .option("--credential-file <file>", "file with your credential instead of the file named in the settings")
        .option("--json", "write one JSON value to standard output")
        .option("--check-settings", "check the settings and exit")
        .argument("[command]")
        .allowExcessArguments(true)
        .addHelpText("after", HELP)
        .action((_commandName: string | undefined, _options: unknown, command: Command) =>
            runWithoutCommand(runner, command, command.args));
    for (const command of createCommands(runner)) {
        program.addCommand(configureCommand(command, environment));
    }
    return program;
};

/**
 * Runs one command line. `commandArguments` do not include the name of the program. Returns the exit code; rejects only
 * on an unexpected error.
 */
export const runCommandLine = async (
    commandArguments: readonly string[],
    environment: Environment,
): Promise<number> => {
    const runner = createCommandRunner(environment);
    try {
        await createProgram(runner).parseAsync([...commandArguments], { from: "user" });
        return runner.getExitCode();
    }
    catch (error) {
        if (error instanceof CommanderError) {
            return error.exitCode === 0 ? EXIT_OK : EXIT_USAGE;
        }
        throw error;
    }
};
