/** The command `npm run measure -- rollouts`, which judges simulated roll-outs in virtual time. */
import { InvalidArgumentError, type Command } from "commander";
import { createSequentialJudge, type CreateJudge } from "oleandergap-rollout";
import { createIntegerParser } from "../integerParser.js";
import { measureRollouts, type RolloutFigures } from "./measureRollouts.js";
import { rolloutCases } from "./rolloutCases.js";
import { createThresholdJudge } from "./thresholdJudge.js";

const DEFAULT_SEEDS = 20;
const MAX_SEEDS = 10_000;

const judges: ReadonlyMap<string, CreateJudge> = new Map([
    ["sequential", createSequentialJudge],
    ["threshold", createThresholdJudge],
]);

interface RolloutsOptions {
    readonly seeds: number;
    readonly judge: string;
}

const parseJudge = (name: string): string => {
    if (!judges.has(name)) {
        throw new InvalidArgumentError(`use one of ${[...judges.keys()].join(", ")}`);
    }
    return name;
};

const formatFigures = (figures: RolloutFigures): string => [
    figures.name.padEnd(32),
    `right ${figures.right}/${figures.seeds}`.padEnd(16),
    `exceeded ${figures.exceeded}`.padEnd(13),
    `share ${figures.medianShare.toFixed(3)} (at most ${figures.maximumShare.toFixed(3)})`.padEnd(31),
    `after 50 bad ${figures.longestSentAfterBadMs} ms`.padEnd(22),
    `end ${figures.medianEndMs} ms`.padEnd(14),
    `unserved ${figures.unserved}`,
].join(" ");

/** Adds the command. */
export const addRolloutsCommand = (program: Command): void => {
    program
        .command("rollouts")
        .description("plays simulated roll-outs of good and bad versions, and how a judge ends them")
        .option("--seeds <count>", "number of seeds for each sort of roll-out", createIntegerParser(1, MAX_SEEDS), DEFAULT_SEEDS)
        .option("--judge <name>", "sequential, or threshold for the naive one", parseJudge, "sequential")
        .action(async ({ seeds, judge }: RolloutsOptions) => {
            const all: RolloutFigures[] = [];
            for (const rolloutCase of rolloutCases) {
                const figures = await measureRollouts(rolloutCase, seeds, judges.get(judge));
                all.push(figures);
                process.stderr.write(`${formatFigures(figures)}\n`);
            }
            process.stdout.write(`${JSON.stringify({ experiment: "rollouts", judge, seeds, figures: all })}\n`);
        });
};
