/** Implements the `sleep` function of a clock with the timers of the clock. */
import type { Clock } from "oleandergap-types";

/**
 * Creates a `sleep` function. Its promise resolves when a timer of `after` fires or the signal aborts, and never
 * rejects. When it resolves, the timer is cancelled and the listener is removed from the signal.
 */
export const createSleep = (after: Clock["after"]): Clock["sleep"] => (delay, signal) =>
    new Promise((resolve) => {
        if (signal.aborted) {
            resolve();
            return;
        }
        const finish = (): void => {
            cancel();
            signal.removeEventListener("abort", finish);
            resolve();
        };
        const cancel = after(delay, finish);
        signal.addEventListener("abort", finish, { once: true });
    });
