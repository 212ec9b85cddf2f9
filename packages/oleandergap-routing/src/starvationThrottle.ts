/**
 * Refuses requests whose runs would fail for want of a call that they have to make.
 *
 * When a service is short, targets of other services that call it still take requests, work on them and fail. Their
 * callers repeat them at once, and what needs no such call waits behind runs that end for nothing; one would see most
 * runs of a service end with its targets' own 500 while their queues are full. Each node therefore follows which part
 * of the runs of a kind ended well lately, and sends no more than a multiple of that part; the rest is refused at once,
 * truly not run. Where one run in eight ends well, four in ten are sent (`starvationThrottle.test.ts`).
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { createFadingCounts } from "./fadingCounts.js";

/**
 * Part that is sent for each part that ends well: a run that ends well in one of three cases is worth its time, as
 * nothing tells beforehand which of the three it is.
 */
const SENT_PER_GOOD = 3;
/** Part that is always sent, so that room at the service that was short is noticed within a second. */
const MINIMUM_SENT_PART = 0.1;
/** Memory of the runs: some dozens of a usual kind at one node, and short enough to follow a restart. */
const MEMORY_MS: Milliseconds = 1000;
/** Runs in the memory below which nothing is refused. */
const MINIMUM_RUNS = 5;

interface Runs {
    good: number;
    starved: number;
}

/** Counts by kind; requests that fail alike should share one. */
export interface StarvationThrottle {
    /** False when the request is to be refused here. */
    readonly admits: (kind: string) => boolean;
    /** Takes in how a run ended: starved if it failed because a call that it made was not served. */
    readonly noteRun: (kind: string, isStarved: boolean) => void;
}

/** Knows nothing at first, and then refuses nothing. */
export const createStarvationThrottle = (clock: Clock, random: Random): StarvationThrottle => {
    const runsOf = createFadingCounts<Runs>({
        clock,
        memoryMs: MEMORY_MS,
        create: () => ({ good: 0, starved: 0 }),
        scale: (runs, factor) => {
            runs.good *= factor;
            runs.starved *= factor;
        },
    });

    return {
        admits: (kind) => {
            const { good, starved } = runsOf(kind);
            const total = good + starved;
            return total < MINIMUM_RUNS ||
                random() < Math.max(MINIMUM_SENT_PART, (SENT_PER_GOOD * good) / total);
        },
        noteRun: (kind, isStarved) => {
            const runs = runsOf(kind);
            if (isStarved) {
                runs.starved += 1;
            }
            else {
                runs.good += 1;
            }
        },
    };
};
