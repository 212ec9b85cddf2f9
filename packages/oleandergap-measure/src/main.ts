#!/usr/bin/env node
/** Runs one experiment: `npm run measure -- <experiment> [--nodes N] [--seed S]`. */
import { Command } from "commander";
import { createSystemClock } from "oleandergap-utils";
import { formatResult, type Experiment } from "./experiment.js";
import { experiments } from "./experiments.js";
import { createIntegerParser } from "./integerParser.js";
import { addRequestCostCommand } from "./cost/addRequestCostCommand.js";
import { addProfileCommand } from "./profile/addProfileCommand.js";
import { addRolloutsCommand } from "./rollouts/addRolloutsCommand.js";

const EXIT_FAILURE = 1;
const MAX_NODES = 300;
const DEFAULT_SEED = 1;

interface RunOptions {
    readonly nodes?: number;
    readonly seed: number;
}

const report = (line: string): void => {
    process.stderr.write(`${line}\n`);
};

const runExperiment = async (experiment: Experiment, options: RunOptions): Promise<void> => {
    const abortController = new AbortController();
    const abort = (): void => abortController.abort(new Error("interrupted"));
    process.once("SIGINT", abort);
    process.once("SIGTERM", abort);
    const result = await experiment.run({
        nodes: options.nodes ?? experiment.defaultNodes,
        seed: options.seed,
        clock: createSystemClock(),
        signal: abortController.signal,
        report,
    });
    process.stdout.write(`${formatResult(result)}\n`);
};

const addExperimentCommand = (program: Command, experiment: Experiment): void => {
    program
        .command(experiment.name)
        .description(experiment.summary)
        .option("--nodes <count>", "number of nodes in the fleet", createIntegerParser(0, MAX_NODES))
        .option("--seed <number>", "seed of the random number generator", createIntegerParser(0, 2 ** 31), DEFAULT_SEED)
        .action(async (options: RunOptions) => {
            try {
                await runExperiment(experiment, options);
            }
            catch (error) {
                report(`The experiment could not be run: ${error instanceof Error ? error.message : String(error)}`);
                process.exitCode = EXIT_FAILURE;
            }
        });
};

const program = new Command("npm run measure --").description(
    "Measures the system against a naive version. The last line of output is one JSON object.",
);
experiments.forEach((experiment) => addExperimentCommand(program, experiment));
addProfileCommand(program);
addRolloutsCommand(program);
addRequestCostCommand(program);
await program.parseAsync();
