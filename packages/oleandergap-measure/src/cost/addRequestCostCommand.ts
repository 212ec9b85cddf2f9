/** The command `npm run measure -- request-cost`, which compares the CPU time of a request with two builds. */
import { resolve } from "node:path";
import type { Command } from "commander";
import { createSystemClock } from "oleandergap-utils";
import { createIntegerParser } from "../integerParser.js";
import { compareRequestCosts, type CostRound } from "./compareRequestCosts.js";
import { measureRequestCost, type CostContext, type RequestCost } from "./measureRequestCost.js";

const DEFAULT_ROUNDS = 3;
const MAX_ROUNDS = 50;
const DAEMON_IN_CHECKOUT = "packages/oleandergap-node/bin/oleandergap-node.js";

interface RequestCostOptions {
    readonly baseline: string;
    readonly rounds: number;
}

const report = (line: string): void => {
    process.stderr.write(`${line}\n`);
};

const formatCost = (name: string, { entryMs, gateMs, answeredShare }: RequestCost): string =>
    `${name.padEnd(10)} entry ${entryMs.toFixed(3)} ms, gate ${gateMs.toFixed(3)} ms a request, answered ${answeredShare.toFixed(3)}`;

const measureRound = async (context: CostContext, baseline: string, isBaselineFirst: boolean): Promise<CostRound> => {
    if (isBaselineFirst) {
        const cost = await measureRequestCost(context, baseline);
        return { baseline: cost, candidate: await measureRequestCost(context) };
    }
    const candidate = await measureRequestCost(context);
    return { baseline: await measureRequestCost(context, baseline), candidate };
};

/** Measures the builds in turn, and in each second round in the other order. */
const measureRounds = async (baseline: string, rounds: number, signal: AbortSignal): Promise<readonly CostRound[]> => {
    const measured: CostRound[] = [];
    for (let round = 1; round <= rounds; round++) {
        const context = { seed: round, clock: createSystemClock(), signal, report: () => undefined };
        const costs = await measureRound(context, baseline, round % 2 === 1);
        report(`round ${round}: ${formatCost("baseline", costs.baseline)}`);
        report(`round ${round}: ${formatCost("this build", costs.candidate)}`);
        measured.push(costs);
    }
    return measured;
};

/** Adds the command. */
export const addRequestCostCommand = (program: Command): void => {
    program
        .command("request-cost")
        .description("compares the CPU time of a request with this build and with that of another checkout")
        .requiredOption("--baseline <folder>", "checkout whose build is compared with this one; it must be built")
        .option("--rounds <count>", "number of measurements of each build", createIntegerParser(1, MAX_ROUNDS), DEFAULT_ROUNDS)
        .action(async ({ baseline, rounds }: RequestCostOptions) => {
            const abortController = new AbortController();
            process.once("SIGINT", () => abortController.abort(new Error("interrupted")));
            const daemon = resolve(baseline, DAEMON_IN_CHECKOUT);
            const comparison = compareRequestCosts(await measureRounds(daemon, rounds, abortController.signal));
            process.stdout.write(`${JSON.stringify({ experiment: "request-cost", ...comparison })}\n`);
        });
};
