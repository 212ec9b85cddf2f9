/** Notices that heartbeats stay away. */
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";

/** Runs from one heartbeat to the next. */
export interface Expiry {
    /** A heartbeat came; the time starts anew. */
    readonly arm: () => void;
    readonly cancel: () => void;
}

/**
 * Calls `onExpired` once `timeoutMs` have passed without a heartbeat.
 *
 * When this process itself was frozen, the timer fires before the heartbeats that have piled up are read. A late timer
 * is therefore no proof; the target gets as much time again.
 */
export const createExpiry = (clock: Clock, timeoutMs: Milliseconds, onExpired: () => void): Expiry => {
    let cancelTimer: CancelTimer = () => undefined;

    const arm = (): void => {
        cancelTimer();
        const due = clock.monotonic() + timeoutMs;
        cancelTimer = clock.after(timeoutMs, () => {
            const isLate = clock.monotonic() - due > timeoutMs / 2;
            if (isLate) {
                arm();
            }
            else {
                onExpired();
            }
        });
    };

    return { arm, cancel: () => cancelTimer() };
};
