/**
 * Tells runs of the own target that failed for want of a call from those that failed by themselves.
 *
 * A target whose call is not served answers its own request with a failure at once, and the call went through this
 * node's gateway a moment before. Callers do not say which of them is a target, so a failed run is explained by the
 * nearest request at the gateway that was not served while it ran. Each such request explains one run: a target that
 * fails by itself, beside callers that are refused, is then taken for starved no more often than they are refused.
 */
import type { Clock, Milliseconds } from "oleandergap-types";

/** Time from the answer to a call until the failure of its run is read: two hops on one VM, in a busy process. */
const REACTION_MS: Milliseconds = 50;
/** Requests that are remembered; in 50 ms a node does not refuse more than some dozens. */
const MAXIMUM_REMEMBERED = 256;

/** What a node knows of the calls of its target. */
export interface UnservedCalls {
    /** A request at the gateway was not served now. */
    readonly note: () => void;
    /** Whether one that is not used up yet explains the failure, now, of a run that began at `startedAt`. */
    readonly explain: (startedAt: Milliseconds) => boolean;
}

export const createUnservedCalls = (clock: Clock): UnservedCalls => {
    const times: Milliseconds[] = [];

    const forgetBefore = (time: Milliseconds): void => {
        while (times.length > 0 && (times[0] ?? 0) < time) {
            times.shift();
        }
    };

    return {
        note: () => {
            times.push(clock.monotonic());
            if (times.length > MAXIMUM_REMEMBERED) {
                times.shift();
            }
        },
        explain: (startedAt) => {
            forgetBefore(clock.monotonic() - REACTION_MS);
            const isExplained = (times.at(-1) ?? Number.NEGATIVE_INFINITY) >= startedAt;
            if (isExplained) {
                times.shift();
            }
            return isExplained;
        },
    };
};
