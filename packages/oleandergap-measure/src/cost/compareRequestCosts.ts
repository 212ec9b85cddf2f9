/** Compares the CPU time that a request costs with the daemons of two builds. */
import type { RequestCost } from "./measureRequestCost.js";

/** Median costs of the rounds of two builds, and how much of the cost of the first one the second one has. */
export interface CostComparison {
    readonly rounds: number;
    readonly baseline: RequestCost;
    readonly candidate: RequestCost;
    /** Medians of the ratios of the rounds. A ratio below 1 means that the candidate costs less. */
    readonly entryRatio: number;
    readonly gateRatio: number;
    /** Smallest and largest ratio of a round at the node of the target, which show how far the rounds differ. */
    readonly gateRatioRange: readonly [smallest: number, largest: number];
}

/** Costs of both builds, measured one after the other. */
export interface CostRound {
    readonly baseline: RequestCost;
    readonly candidate: RequestCost;
}

const median = (values: readonly number[]): number => {
    const sorted = [...values].sort((left, right) => left - right);
    const upper = sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
    const lower = sorted[Math.ceil(sorted.length / 2) - 1] ?? Number.NaN;
    return (lower + upper) / 2;
};

const summariseCosts = (costs: readonly RequestCost[]): RequestCost => ({
    entryMs: median(costs.map(({ entryMs }) => entryMs)),
    gateMs: median(costs.map(({ gateMs }) => gateMs)),
    answeredShare: Math.min(...costs.map(({ answeredShare }) => answeredShare)),
});

/**
 * Compares the builds round by round: the speed of the machine differs more between rounds than within one.
 *
 * @throws RangeError without any round
 */
export const compareRequestCosts = (rounds: readonly CostRound[]): CostComparison => {
    if (rounds.length === 0) {
        throw new RangeError("there is no round to compare");
    }
    const gateRatios = rounds.map(({ baseline, candidate }) => candidate.gateMs / baseline.gateMs);
    return {
        rounds: rounds.length,
        baseline: summariseCosts(rounds.map(({ baseline }) => baseline)),
        candidate: summariseCosts(rounds.map(({ candidate }) => candidate)),
        entryRatio: median(rounds.map(({ baseline, candidate }) => candidate.entryMs / baseline.entryMs)),
        gateRatio: median(gateRatios),
        gateRatioRange: [Math.min(...gateRatios), Math.max(...gateRatios)],
    };
};
