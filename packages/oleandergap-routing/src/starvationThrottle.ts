/**
 * Refuses requests whose runs would fail because a downstream call is not served ("starved" runs).
 *
 * When a service lacks capacity, targets of other services that call it still accept requests, work on them and fail.
 * Their callers retry at once, and requests that need no such call wait for runs that fail anyway. Most runs of such a
 * service would end with status 500 from its own targets while their queues are full. Each node therefore tracks the
 * share of successful runs per kind of request, limits the requests that it sends to a multiple of that share, and
 * refuses the rest at once with the verdict `notRun`. Where one run in eight succeeds, four in ten are sent
 * (`starvationThrottle.test.ts`).
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import { createDecayingCounters, type Random } from "oleandergap-utils";

/**
 * Multiple of the share of successful runs that is sent. A request that succeeds in one of three cases justifies the
 * time of its run, because nothing shows in advance which of the three will succeed.
 */
const SENT_PER_SUCCESS = 3;
/**
 * The same for requests that their callers repeat. Most of them failed for want of a call and need it again, so that
 * their runs take slots and calls from first requests, and their responses are late in any case.
 */
const SENT_PER_SUCCESS_OF_REPEATED = 1;
/** Share of requests that is always sent, so that a recovery of the downstream service is detected within a second. */
const MINIMUM_SENT_SHARE = 0.1;
/**
 * Time constant of the counters. It covers some dozens of runs of a typical kind at one node and is short enough to
 * follow a restart.
 */
const TIME_CONSTANT_MS: Milliseconds = 1000;
/** Minimum number of counted runs before any requests are refused. */
const MINIMUM_RUNS = 5;

interface RunCounts {
    succeeded: number;
    starved: number;
}

/** Decides by counters per kind. Requests that fail for the same reasons should share a kind. */
export interface StarvationThrottle {
    /**
     * Returns false if this node must refuse the request. `isRepeated` is true if its caller repeats it; such requests
     * should have a kind of their own.
     */
    readonly admits: (kind: string, isRepeated: boolean) => boolean;
    /** Records how a run ended. A run is starved if it failed because a downstream call that it made was not served. */
    readonly recordRun: (kind: string, isStarved: boolean) => void;
}

/** Creates a throttle without counts, which refuses nothing at first. */
export const createStarvationThrottle = (clock: Clock, random: Random): StarvationThrottle => {
    const getRuns = createDecayingCounters<RunCounts>({
        clock,
        timeConstantMs: TIME_CONSTANT_MS,
        create: () => ({ succeeded: 0, starved: 0 }),
        scale: (runs, factor) => {
            runs.succeeded *= factor;
            runs.starved *= factor;
        },
    });

    return {
        admits: (kind, isRepeated) => {
            const { succeeded, starved } = getRuns(kind);
            const total = succeeded + starved;
            const sentPerSuccess = isRepeated ? SENT_PER_SUCCESS_OF_REPEATED : SENT_PER_SUCCESS;
            return total < MINIMUM_RUNS ||
                random() < Math.max(MINIMUM_SENT_SHARE, (sentPerSuccess * succeeded) / total);
        },
        recordRun: (kind, isStarved) => {
            const runs = getRuns(kind);
            if (isStarved) {
                runs.starved += 1;
            }
            else {
                runs.succeeded += 1;
            }
        },
    };
};
