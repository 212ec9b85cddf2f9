/** Plays each sort of roll-out with many seeds and summarises what callers got. */
import { createMemoryTableService, noFault } from "oleandergap-platform";
import { simulateRollout, type CreateJudge, type SimulationResult } from "oleandergap-rollout";
import type { Milliseconds, TableService } from "oleandergap-types";
import type { RolloutCase } from "./rolloutCases.js";

/** Share of the requests that a bad version may get, and the number of requests that it may get beyond. */
const CANARY_SHARE = 0.1;
const CANARY_SLACK = 50;
const MEDIAN = 0.5;

/** Figures of one sort of roll-out over all seeds. */
export interface RolloutFigures {
    readonly name: string;
    readonly seeds: number;
    /** Number of seeds that ended as they should: completed with a good version, rolled back with a bad one. */
    readonly right: number;
    /** Number of seeds in which a bad version got more requests than it may. */
    readonly exceeded: number;
    /** Share of the requests that reached the new version. */
    readonly medianShare: number;
    readonly maximumShare: number;
    /** Time from the 50th bad response until the last request to the new version. */
    readonly longestSentAfterBadMs: Milliseconds;
    readonly medianEndMs: Milliseconds;
    readonly unserved: number;
}

const createTable = (isAvailable: () => boolean): TableService => createMemoryTableService({
    decideFault: () => isAvailable() ? noFault : { kind: "Outage" },
});

const getQuantile = (values: readonly number[], quantile: number): number =>
    values.toSorted((left, right) => left - right)[Math.floor(quantile * (values.length - 1))] ?? 0;

const getShare = ({ newRequests, requests }: SimulationResult): number => newRequests / Math.max(1, requests);

const hasExceeded = ({ newRequests, requests }: SimulationResult): boolean =>
    newRequests > CANARY_SHARE * requests + CANARY_SLACK;

/** Plays one sort of roll-out with the seeds from 1 to `seeds`. */
export const measureRollouts = async (
    { name, plan, isGood }: RolloutCase,
    seeds: number,
    createJudge: CreateJudge | undefined,
): Promise<RolloutFigures> => {
    const results: SimulationResult[] = [];
    for (let seed = 1; seed <= seeds; seed++) {
        const judge = createJudge === undefined ? {} : { createJudge };
        results.push(await simulateRollout(plan, { seed, createTable, ...judge }));
    }
    const shares = results.map(getShare);
    return {
        name,
        seeds,
        right: results.filter(({ state }) => state === (isGood ? "completed" : "rolledBack")).length,
        exceeded: isGood ? 0 : results.filter(hasExceeded).length,
        medianShare: getQuantile(shares, MEDIAN),
        maximumShare: Math.max(...shares),
        longestSentAfterBadMs: Math.max(...results.map(({ sentAfterBadMs }) => sentAfterBadMs)),
        medianEndMs: getQuantile(results.map(({ endedAtMs }) => endedAtMs ?? plan.durationMs), MEDIAN),
        unserved: results.reduce((sum, result) => sum + result.unserved, 0),
    };
};
