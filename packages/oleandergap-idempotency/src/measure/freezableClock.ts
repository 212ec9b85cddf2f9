/** Clock of one simulated process, based on a shared clock. While it is frozen, none of its timers run. */
import type { Clock, Milliseconds } from "oleandergap-types";
import { createSleep } from "oleandergap-utils";

export interface FreezableClock extends Clock {
    readonly freeze: () => void;
    /** Unfreezes the clock and runs all overdue timers. */
    readonly resume: () => void;
}

/** `wallClockOffset` is the error of the process's wall clock, in milliseconds. */
export const createFreezableClock = (baseClock: Clock, wallClockOffset: Milliseconds = 0): FreezableClock => {
    let isFrozen = false;
    let overdueCallbacks: (() => void)[] = [];

    const after: Clock["after"] = (delay, callback) => {
        let isCancelled = false;
        const run = (): void => {
            if (!isCancelled) {
                callback();
            }
        };
        const cancel = baseClock.after(delay, () => {
            if (isFrozen) {
                overdueCallbacks.push(run);
                return;
            }
            run();
        });
        return () => {
            isCancelled = true;
            cancel();
        };
    };

    return {
        now: () => baseClock.now() + wallClockOffset,
        monotonic: baseClock.monotonic,
        after,
        sleep: createSleep(after),
        freeze: () => {
            isFrozen = true;
        },
        resume: () => {
            isFrozen = false;
            const callbacks = overdueCallbacks;
            overdueCallbacks = [];
            callbacks.forEach((run) => run());
        },
    };
};
