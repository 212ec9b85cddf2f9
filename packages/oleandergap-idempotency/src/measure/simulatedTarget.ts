/** Simulated target that counts the runs of each key, and the type of the results that callers receive. */
import type { Verdict } from "oleandergap-types";
import type { Random } from "oleandergap-utils";

/** Outcome of one request that is sent to the target. */
export type RunOutcome = "Answered" | "AnswerLost" | "ConnectFailed";

/** Probabilities of the failures of a request, from 0 to 1. */
export interface FailureProbabilities {
    readonly answerLost: number;
    readonly connectFailed: number;
}

/** Result of one request as the caller receives it. */
export interface CallerResult {
    readonly key: string;
    readonly verdict: Verdict;
    /** Body of the response; undefined when there was none. */
    readonly body?: string | undefined;
    /** True when this request itself, not only an earlier one with the same key, reached the target. */
    readonly sent: boolean;
}

export interface SimulatedTarget {
    readonly run: (key: string) => { readonly outcome: RunOutcome; readonly body: string };
    readonly countRuns: (key: string) => number;
    /** Returns the highest number of runs of one key. */
    readonly maxRuns: () => number;
    readonly totalRuns: () => number;
}

const chooseOutcome = (random: Random, probabilities: FailureProbabilities): RunOutcome => {
    const draw = random();
    if (draw < probabilities.connectFailed) {
        return "ConnectFailed";
    }
    return draw < probabilities.connectFailed + probabilities.answerLost ? "AnswerLost" : "Answered";
};

export const createSimulatedTarget = (random: Random, probabilities: FailureProbabilities): SimulatedTarget => {
    const runs = new Map<string, number>();
    return {
        run: (key) => {
            const outcome = chooseOutcome(random, probabilities);
            const count = (runs.get(key) ?? 0) + (outcome === "ConnectFailed" ? 0 : 1);
            runs.set(key, count);
            return { outcome, body: `${key} run ${count}` };
        },
        countRuns: (key) => runs.get(key) ?? 0,
        maxRuns: () => Math.max(0, ...runs.values()),
        totalRuns: () => [...runs.values()].reduce((sum, count) => sum + count, 0),
    };
};
