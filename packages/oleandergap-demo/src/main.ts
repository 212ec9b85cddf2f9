#!/usr/bin/env node
/** Runs both deployments on this machine, or runs the self-check (`--check`). */
import { Command, InvalidArgumentError } from "commander";
import { MILLISECONDS_PER_SECOND } from "oleandergap-types";
import { runCheck } from "./check/runCheck.js";
import { startFleet } from "./fleet/startFleet.js";
import { createSmallPlan, createFullPlan } from "./plan/deployments.js";
import { DEFAULT_PORT_BASE, type FleetPlan } from "./plan/fleetPlan.js";
import { watchStopSignals } from "./process/stopSignals.js";
import { describeFleet } from "./report/describeFleet.js";

interface CommandOptions {
    readonly check: boolean;
    readonly small: boolean;
    readonly portBase: number;
    readonly timeLimit: number;
    readonly keepFiles: boolean;
}

const EXIT_FAILURE = 1;
const DEFAULT_TIME_LIMIT_SECONDS = 180;

const parseInteger = (minimum: number, maximum: number) => (text: string): number => {
    const value = Number(text);
    if (!Number.isInteger(value) || value < minimum || value > maximum) {
        throw new InvalidArgumentError(`use a whole number from ${minimum} to ${maximum}`);
    }
    return value;
};

const readCommandLine = (): CommandOptions =>
    new Command("npm start --")
        .description("Runs both deployments on this machine with stand-ins for the platform and the targets.")
        .option("--check", "run the self-check, print its observations, and stop", false)
        .option("--small", "run three nodes instead of both deployments", false)
        .option("--port-base <port>", "first port to use", parseInteger(1024, 32_000), DEFAULT_PORT_BASE)
        .option(
            "--time-limit <seconds>",
            "maximum duration of --check",
            parseInteger(10, 3600),
            DEFAULT_TIME_LIMIT_SECONDS,
        )
        .option("--keep-files", "keep settings and logs after the stop", false)
        .parse()
        .opts<CommandOptions>();

const print = (line: string): void => {
    process.stdout.write(`${line}\n`);
};

const waitForAbort = (signal: AbortSignal): Promise<void> =>
    new Promise((resolve) => {
        if (signal.aborted) {
            resolve();
            return;
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
        // An abort listener alone does not keep the process running, so a timer is needed.
        const keepAlive = setInterval(() => undefined, MILLISECONDS_PER_SECOND);
        signal.addEventListener("abort", () => clearInterval(keepAlive), { once: true });
    });

const choosePlan = ({ small, portBase }: CommandOptions): FleetPlan =>
    small ? createSmallPlan(portBase) : createFullPlan(portBase);

const check = async (commandOptions: CommandOptions, stopSignal: AbortSignal): Promise<void> => {
    const { timeLimit, keepFiles } = commandOptions;
    const timeoutController = new AbortController();
    const timer = setTimeout(
        () => timeoutController.abort(new Error(`the check exceeded its time limit of ${timeLimit} s`)),
        timeLimit * MILLISECONDS_PER_SECOND,
    );
    try {
        const signal = AbortSignal.any([stopSignal, timeoutController.signal]);
        await runCheck({ plan: choosePlan(commandOptions), signal, report: print, keepFiles });
    }
    finally {
        clearTimeout(timer);
    }
};

const run = async (commandOptions: CommandOptions, stopSignal: AbortSignal): Promise<void> => {
    const { keepFiles } = commandOptions;
    const fleet = await startFleet(choosePlan(commandOptions), { signal: stopSignal, report: print, keepFiles });
    print(`\n${describeFleet(fleet)}`);
    await waitForAbort(stopSignal);
    print("\nStopping.");
    await fleet.stop();
    print("Everything has stopped.");
};

const options = readCommandLine();
const { signal } = watchStopSignals();
try {
    await (options.check ? check(options, signal) : run(options, signal));
    process.exit(0);
}
catch (error) {
    if (signal.aborted && !options.check) {
        print("Stopped before all processes had started.");
        process.exit(0);
    }
    const message = error instanceof Error ? error.message : String(error);
    process.stderr.write(`${options.check ? "The check failed" : "Not started"}: ${message}\n`);
    process.exit(EXIT_FAILURE);
}
