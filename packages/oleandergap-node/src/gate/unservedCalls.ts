/**
 * Distinguishes runs of the local target that failed because one of its calls to another service was not served from
 * runs that failed for another reason.
 *
 * A target whose call is not served usually responds to its own request with an error immediately, and the call was
 * sent through this node's gateway just before. Callers do not identify themselves as a target, so a failed run is
 * attributed to a recent request at the gateway that was not served during the run. Each unserved request explains only
 * one run. Therefore, a faulty target next to refused callers counts as starved at most as often as they are refused.
 */
import type { Clock, Milliseconds } from "oleandergap-types";

/**
 * Maximum time from the response to a call until the failure of its run is read. It covers two hops within one VM and a
 * busy process.
 */
const MAX_REACTION_MS: Milliseconds = 50;
/** Maximum number of unserved requests that are stored. A node refuses at most a few dozen requests in 50 ms. */
const MAX_RECORDED_CALLS = 256;

/** Records unserved requests at the gateway and attributes failed runs to them. */
export interface UnservedCalls {
    /** Records that a request at the gateway was not served. */
    readonly note: () => void;
    /**
     * Returns whether a recorded request explains a run that started at `startedAt` (monotonic time) and has just
     * failed. Removes that request, so that it explains no other run.
     */
    readonly explain: (startedAt: Milliseconds) => boolean;
}

export const createUnservedCalls = (clock: Clock): UnservedCalls => {
    const times: Milliseconds[] = [];

    const removeBefore = (time: Milliseconds): void => {
        while (times.length > 0 && (times[0] ?? 0) < time) {
            times.shift();
        }
    };

    return {
        note: () => {
            times.push(clock.monotonic());
            if (times.length > MAX_RECORDED_CALLS) {
                times.shift();
            }
        },
        explain: (startedAt) => {
            removeBefore(clock.monotonic() - MAX_REACTION_MS);
            const isExplained = (times.at(-1) ?? Number.NEGATIVE_INFINITY) >= startedAt;
            if (isExplained) {
                times.shift();
            }
            return isExplained;
        },
    };
};
