/** Detects missing heartbeats. */
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";

/** A timer that each heartbeat restarts. */
export interface HeartbeatTimer {
    /** Restarts the timer. Called at each heartbeat. */
    readonly restart: () => void;
    readonly cancel: () => void;
}

/**
 * Creates a timer that calls `onExpired` when `timeoutMs` have passed without a heartbeat.
 *
 * After this process was frozen, the timer fires before the heartbeats that have arrived meanwhile are read. A timer
 * that fires late therefore does not prove that the target is gone, and the full timeout starts again.
 */
export const createHeartbeatTimer = (clock: Clock, timeoutMs: Milliseconds, onExpired: () => void): HeartbeatTimer => {
    let cancelTimer: CancelTimer = () => undefined;

    const restart = (): void => {
        cancelTimer();
        const dueAt = clock.monotonic() + timeoutMs;
        cancelTimer = clock.after(timeoutMs, () => {
            const isLate = clock.monotonic() - dueAt > timeoutMs / 2;
            if (isLate) {
                restart();
            }
            else {
                onExpired();
            }
        });
    };

    return { restart: restart, cancel: () => cancelTimer() };
};
