/** Counts the outcomes of the requests that the local target runs, for the report of its node. */
import type { Milliseconds } from "oleandergap-types";
import {
    addTallies,
    createKindTally,
    MAX_KIND_LENGTH,
    MAX_KINDS,
    OTHER_KINDS,
    roundTally,
    type KindTally,
} from "./tally.js";

/** Outcome of a request that the target ran. */
export interface RunOutcome {
    /** Name of the route, or an empty string. */
    readonly kind: string;
    readonly isFailure: boolean;
    /** Time from sending the request until its response; undefined if it says nothing about the target. */
    readonly latencyMs: Milliseconds | undefined;
}

/** Counts outcomes by kind of request. */
export interface OutcomeCounter {
    readonly add: (outcome: RunOutcome) => void;
    readonly tallies: () => KindTally[];
}

/** Latencies below a millisecond are measured too coarsely for a logarithm. */
const MINIMUM_LATENCY_MS: Milliseconds = 1;

const toTally = ({ kind, isFailure, latencyMs }: RunOutcome): KindTally => {
    const tally = { ...createKindTally(kind), requests: 1, failures: isFailure ? 1 : 0 };
    if (latencyMs === undefined) {
        return tally;
    }
    const logLatency = Math.log(Math.max(MINIMUM_LATENCY_MS, latencyMs));
    return { ...tally, timed: 1, logSum: logLatency, logSquareSum: logLatency ** 2 };
};

/** Creates a counter without outcomes. */
export const createOutcomeCounter = (): OutcomeCounter => {
    const tallies = new Map<string, KindTally>();
    return {
        add: (outcome) => {
            const name = outcome.kind.slice(0, MAX_KIND_LENGTH);
            const kind = tallies.has(name) || tallies.size < MAX_KINDS ? name : OTHER_KINDS;
            tallies.set(kind, addTallies(tallies.get(kind) ?? createKindTally(kind), toTally(outcome)));
        },
        tallies: () => [...tallies.values()].map(roundTally),
    };
};
