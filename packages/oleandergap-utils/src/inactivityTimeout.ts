/**
 * Inactivity timeout for a response. A long response over a narrow link takes a long time, especially while the link
 * carries much other traffic. After a fixed total timeout, the response would be discarded and requested again from its
 * first byte. Discarded responses would then fill the link, and nodes with narrow links could not keep up. Therefore a
 * response only times out due to inactivity, or after a total time far above the usual one, which limits a response
 * that never ends.
 */
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";
import { startReadAwareTimer } from "./readAwareTimer.js";

/** Time limits for one response. */
export interface InactivityLimits {
    readonly clock: Clock;
    /** Maximum time until the response starts, and between two parts of the response. */
    readonly timeoutMs: Milliseconds;
    /** Maximum total time of the response. */
    readonly longestMs: Milliseconds;
}

/** The time limit that was exceeded: the limit for inactivity or the limit for the total time. */
export type ExceededLimit = "silence" | "total";

/** A running inactivity timeout. */
export interface InactivityTimeout {
    /** Restarts the inactivity timer; call it when a part of the response has arrived. */
    readonly recordProgress: () => void;
    /** Stops all timers; call it when the response has ended. */
    readonly cancel: () => void;
}

/** Starts the timers of a response. Calls `onExceeded` once, unless the timeout is cancelled before. */
export const startInactivityTimeout = (
    { clock, timeoutMs, longestMs }: InactivityLimits,
    onExceeded: (limit: ExceededLimit) => void,
): InactivityTimeout => {
    let hasEnded = false;
    const end = (): void => {
        hasEnded = true;
        cancelInactivityTimer();
        cancelTotalTimer();
    };
    const reportExceeded = (limit: ExceededLimit): void => {
        end();
        onExceeded(limit);
    };
    const startInactivityTimer = (): CancelTimer => startReadAwareTimer(clock, timeoutMs, () => reportExceeded("silence"));
    let cancelInactivityTimer = startInactivityTimer();
    const cancelTotalTimer = startReadAwareTimer(clock, longestMs, () => reportExceeded("total"));
    return {
        recordProgress: () => {
            if (!hasEnded) {
                cancelInactivityTimer();
                cancelInactivityTimer = startInactivityTimer();
            }
        },
        cancel: end,
    };
};
