/** Divides the share of requests that may be sent between first requests of callers and those that they repeat. */
import type { Clock, Milliseconds } from "oleandergap-types";
import { createDecayingCounters } from "oleandergap-utils";

/** Time constant of the counts. It covers some requests of a kind at one node. */
const TIME_CONSTANT_MS: Milliseconds = 1000;
/** Lowest share of repeated requests to send, so that none is refused for ever. */
const MINIMUM_REPEATED_SHARE = 0.05;

interface AskedCounts {
    first: number;
    repeated: number;
}

/** Counts of what callers ask of this node, by kind. */
export interface AskedRequests {
    /**
     * Counts a request and returns the share of such requests to send if a share of all requests of the kind may be
     * sent. First requests come first: repeated ones have less time left, and often fail for the same reason again.
     */
    readonly divideShare: (kind: string, share: number, isRepeated: boolean) => number;
}

/** Creates counts without requests. */
export const createAskedRequests = (clock: Clock): AskedRequests => {
    const getCounts = createDecayingCounters<AskedCounts>({
        clock,
        timeConstantMs: TIME_CONSTANT_MS,
        create: () => ({ first: 0, repeated: 0 }),
        scale: (counts, factor) => {
            counts.first *= factor;
            counts.repeated *= factor;
        },
    });

    return {
        divideShare: (kind, share, isRepeated) => {
            const counts = getCounts(kind);
            counts[isRepeated ? "repeated" : "first"] += 1;
            const budget = share * (counts.first + counts.repeated);
            if (!isRepeated) {
                return Math.min(1, budget / counts.first);
            }
            const rest = (budget - Math.min(counts.first, budget)) / counts.repeated;
            return Math.min(1, Math.max(MINIMUM_REPEATED_SHARE, rest));
        },
    };
};
