/** Tracks how the response to one request for a version arrives, and estimates when it will be complete. */
import type { Clock, Milliseconds } from "oleandergap-types";

/** How far a response had arrived at a time. */
interface Mark {
    readonly at: Milliseconds;
    readonly arrivedShare: number;
    /** Share of the response that arrived per millisecond until then. */
    readonly pace: number;
}

/** The progress of one response. */
export interface PullProgress {
    /** Time at which the request was sent. */
    readonly startedAt: Milliseconds;
    /** Records that a part has arrived, and the share of the response that has arrived so far if that is known. */
    readonly record: (arrivedShare: number | undefined) => void;
    /** Returns whether a part has arrived within the last `patienceMs`. */
    readonly isArriving: (patienceMs: Milliseconds) => boolean;
    /**
     * Returns the time from the request to the end of the response if it keeps arriving as before; infinite if this is
     * unknown.
     */
    readonly getExpectedDuration: () => Milliseconds;
    /** Marks the pace so far. `hasSlowedDown` compares with it. */
    readonly markPace: () => void;
    readonly clearMark: () => void;
    /** Returns whether the response has arrived much more slowly since the mark than before it. */
    readonly hasSlowedDown: () => boolean;
}

/** Two responses that share a link halve their paces. Below this part of its pace, a response has slowed down. */
const SLOWED_DOWN_PACE = 0.7;

/** Creates the progress of a request that is sent now. */
export const createPullProgress = (clock: Clock): PullProgress => {
    const startedAt = clock.monotonic();
    let lastPartAt = Number.NEGATIVE_INFINITY;
    let share = 0;
    let mark: Mark | undefined;

    return {
        startedAt,
        record: (arrivedShare = 0) => {
            lastPartAt = clock.monotonic();
            share = arrivedShare;
        },
        isArriving: (patienceMs) => clock.monotonic() - lastPartAt < patienceMs,
        getExpectedDuration: () => share > 0 ? (clock.monotonic() - startedAt) / share : Number.POSITIVE_INFINITY,
        markPace: () => {
            mark = share > 0 ?
                { at: lastPartAt, arrivedShare: share, pace: share / (lastPartAt - startedAt) } :
                undefined;
        },
        clearMark: () => {
            mark = undefined;
        },
        hasSlowedDown: () =>
            mark !== undefined && lastPartAt > mark.at &&
            (share - mark.arrivedShare) / (lastPartAt - mark.at) < SLOWED_DOWN_PACE * mark.pace,
    };
};
