/** Runs commands: opens the client, executes the command, writes its report and records the exit code. */
import type { Command } from "commander";
import * as either from "fp-ts/lib/Either.js";
import type { OperatorClient } from "oleandergap-operator";
import type { Environment } from "./environment.js";
import { openClient, readGlobalOptions, type GlobalOptions } from "./settings/globalOptions.js";
import { renderReport, type CommandReport } from "./report/report.js";

/** Client, environment and options that are available to a command. */
export interface CommandSession {
    readonly client: OperatorClient;
    readonly environment: Environment;
    readonly globalOptions: GlobalOptions;
}

/** Runs commands and records the exit code of the last one. */
export interface CommandRunner {
    readonly environment: Environment;
    /** Runs a command that sends requests to nodes. */
    readonly runWithClient: (
        command: Command,
        execute: (session: CommandSession) => Promise<CommandReport>,
    ) => Promise<void>;
    /** Runs a command that needs no node. */
    readonly runWithoutClient: (command: Command, execute: () => Promise<CommandReport>) => Promise<void>;
    /** Returns the exit code of the command that ran last. */
    readonly getExitCode: () => number;
}

/** Creates the command runner of one command line. */
export const createCommandRunner = (environment: Environment): CommandRunner => {
    let exitCode = 0;

    const finish = (report: CommandReport, { json = false }: GlobalOptions): void => {
        const rendered = renderReport(report, json);
        exitCode = rendered.exitCode;
        if (rendered.out !== "") {
            environment.writeOut(rendered.out);
        }
        if (rendered.error !== "") {
            environment.writeError(rendered.error);
        }
    };

    return {
        environment,
        runWithClient: async (command, execute) => {
            const globalOptions = readGlobalOptions(command);
            const client = await openClient(globalOptions, environment);
            const report = either.isLeft(client) ?
                client.left :
                await execute({ client: client.right, environment, globalOptions });
            finish(report, globalOptions);
        },
        runWithoutClient: async (command, execute) => {
            finish(await execute(), readGlobalOptions(command));
        },
        getExitCode: () => exitCode,
    };
};
