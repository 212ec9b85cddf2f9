#!/usr/bin/env node
/** Command line of the node daemon. */
import { dirname, resolve } from "node:path";
import { Command, Option } from "commander";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { createLogger, logLevels, startLogging, type LogLevel } from "oleandergap-logger";
import { createSystemClock } from "oleandergap-utils";
import { formatSettingsError, loadSettings } from "oleandergap-validation";
import { loadFleetKeys, type FleetKeySource } from "./control/fleetKeyFile.js";
import { nodeOptionsSchema, type NodeOptions } from "./options.js";
import { runUntilSignal } from "./runUntilSignal.js";

interface CommandOptions {
    readonly settings: string;
    readonly checkSettings: boolean;
    readonly logLevel: LogLevel;
}

const EXIT_FAILURE = 1;

const readCommandLine = (): CommandOptions =>
    new Command("oleandergap-node")
        .description("Serves and routes requests on one VM according to the shared configuration table.")
        .requiredOption("--settings <file>", "settings file (YAML)")
        .option("--check-settings", "check the settings file and exit", false)
        .addOption(new Option("--log-level <level>", "minimum severity of the log lines to write")
            .choices([...logLevels])
            .default("info"))
        .parse()
        .opts<CommandOptions>();

const reportFailure = (message: string): void => {
    process.stderr.write(`${message}\n`);
    process.exitCode = EXIT_FAILURE;
};

const run = async (options: NodeOptions, fleetKeys: FleetKeySource | undefined): Promise<void> => {
    const logger = createLogger("node");
    const problem = await runUntilSignal({ options, clock: createSystemClock(), logger, fleetKeys });
    if (problem !== undefined) {
        reportFailure(problem);
    }
    // Everything has stopped at this point. A remaining timer of a library must not keep the process alive.
    process.exit();
};

const openFleetKeys = async (
    { cluster }: NodeOptions,
    settingsFile: string,
): Promise<Either<string, FleetKeySource | undefined>> => {
    if (cluster.keyFile === undefined) {
        return either.right(undefined);
    }
    const load = loadFleetKeys(resolve(dirname(settingsFile), cluster.keyFile));
    const keys = await load();
    return either.isLeft(keys) ? keys : either.right({ initial: keys.right, load });
};

const main = async (): Promise<void> => {
    const commandLine = readCommandLine();
    const options = await loadSettings(nodeOptionsSchema, commandLine.settings)();
    if (either.isLeft(options)) {
        reportFailure(formatSettingsError(options.left));
        return;
    }
    const fleetKeys = await openFleetKeys(options.right, commandLine.settings);
    if (either.isLeft(fleetKeys)) {
        reportFailure(`cluster.keyFile: ${fleetKeys.left}`);
        return;
    }
    if (commandLine.checkSettings) {
        process.stdout.write(`${commandLine.settings} is valid.\n`);
        return;
    }
    startLogging(commandLine.logLevel);
    await run(options.right, fleetKeys.right);
};

await main();
