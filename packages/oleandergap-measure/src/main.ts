#!/usr/bin/env node
/** Runs one experiment: `npm run measure -- <experiment> [--nodes N] [--seed S]`. */
import { Command, InvalidArgumentError } from "commander";
import { createSystemClock } from "oleandergap-utils";
import { formatResult, type Experiment } from "./experiment.js";
import { experiments } from "./experiments.js";
import { addProfileCommand } from "./profile/addProfileCommand.js";

const EXIT_FAILURE = 1;
const MAX_NODES = 300;
const DEFAULT_SEED = 1;

interface RunOptions {
    readonly nodes?: number;
    readonly seed: number;
}

const parseWholeNumber = (minimum: number, maximum: number) => (text: string): number => {
    const value = Number(text);
    if (!Number.isInteger(value) || value < minimum || value > maximum) {
        throw new InvalidArgumentError(`use a whole number from ${minimum} to ${maximum}`);
    }
    return value;
};

const report = (line: string): void => {
    process.stderr.write(`${line}\n`);
};

const runOne = async (experiment: Experiment, options: RunOptions): Promise<void> => {
    const stop = new AbortController();
    const abort = (): void => stop.abort(new Error("interrupted"));
    process.once("SIGINT", abort);
    process.once("SIGTERM", abort);
    const result = await experiment.run({
        nodes: options.nodes ?? experiment.defaultNodes,
        seed: options.seed,
        clock: createSystemClock(),
        signal: stop.signal,
        report,
    });
    process.stdout.write(`${formatResult(result)}\n`);
};

const addExperiment = (program: Command, experiment: Experiment): void => {
    program
        .command(experiment.name)
        .description(experiment.summary)
        .option("--nodes <count>", "size of the fleet", parseWholeNumber(0, MAX_NODES))
        .option("--seed <number>", "seed of the random numbers", parseWholeNumber(0, 2 ** 31), DEFAULT_SEED)
        .action(async (options: RunOptions) => {
            try {
                await runOne(experiment, options);
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
experiments.forEach((experiment) => addExperiment(program, experiment));
addProfileCommand(program);
await program.parseAsync();
