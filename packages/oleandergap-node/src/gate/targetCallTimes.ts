/**
 * Tracks until when the local target may make calls of its own. A target calls other services only for requests that it
 * runs, and such a call expires at the deadline of its request. The target may go on with a request whose connection
 * was closed, so that the requests in flight at the gate are not sufficient.
 */
import type { Clock, Milliseconds } from "oleandergap-types";

export interface TargetCallTimes {
    /** Records a request that is handed to the target. `deadline` is monotonic. */
    readonly recordRun: (deadline: Milliseconds) => void;
    /** Returns whether the target may be running a request. */
    readonly mayCall: () => boolean;
}

/**
 * Creates a tracker without runs.
 *
 * @param startMs time from now on for which calls are expected in any case: the target may still run requests that it
 * received before this process started
 */
export const createTargetCallTimes = (clock: Pick<Clock, "monotonic">, startMs: Milliseconds): TargetCallTimes => {
    let latestDeadline = clock.monotonic() + startMs;
    return {
        recordRun: (deadline) => {
            latestDeadline = Math.max(latestDeadline, deadline);
        },
        mayCall: () => clock.monotonic() <= latestDeadline,
    };
};
