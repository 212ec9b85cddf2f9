/**
 * Clock of one node in a test. Its timers do not fire while the node is frozen, like those of a process stopped with
 * SIGSTOP.
 */
import type { Clock } from "oleandergap-types";

/** Clock whose timers can be suspended. The time itself continues to advance. */
export interface FreezableClock extends Clock {
    readonly freeze: () => void;
    /** Resumes the timers and runs, in order, all timers that became due while the clock was frozen. */
    readonly resume: () => void;
}

export const createFreezableClock = (clock: Clock): FreezableClock => {
    let isFrozen = false;
    let suspendedTimers: (() => void)[] = [];

    const after: Clock["after"] = (delay, callback) => {
        let isCancelled = false;
        const run = (): void => {
            if (!isCancelled) {
                callback();
            }
        };
        const cancel = clock.after(delay, () => {
            if (isFrozen) {
                suspendedTimers.push(run);
            }
            else {
                run();
            }
        });
        return () => {
            isCancelled = true;
            cancel();
        };
    };

    return {
        ...clock,
        after,
        freeze: () => {
            isFrozen = true;
        },
        resume: () => {
            isFrozen = false;
            const due = suspendedTimers;
            suspendedTimers = [];
            due.forEach((run) => {
                run();
            });
        },
    };
};
