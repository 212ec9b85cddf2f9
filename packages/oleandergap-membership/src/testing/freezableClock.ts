/** The clock of one node in a test, whose timers stand still while the node is frozen, as with SIGSTOP. */
import type { Clock } from "oleandergap-types";

/** Time goes on while it is frozen; only timers wait. */
export interface FreezableClock extends Clock {
    readonly freeze: () => void;
    /** Runs, in order, all timers that fell due meanwhile. The time itself never stood still. */
    readonly thaw: () => void;
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
        thaw: () => {
            isFrozen = false;
            const due = suspendedTimers;
            suspendedTimers = [];
            due.forEach((run) => {
                run();
            });
        },
    };
};
