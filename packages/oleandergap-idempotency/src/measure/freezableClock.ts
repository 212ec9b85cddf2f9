/** A process's own view of a shared clock: while it is frozen, none of its timers run; on resuming, all overdue do. */
import type { Clock, Milliseconds } from "oleandergap-types";
import { createSleep } from "oleandergap-utils";

export interface FreezableClock extends Clock {
    readonly freeze: () => void;
    readonly resume: () => void;
}

/** `wallOffset` is by how much this process's wall clock is wrong, in milliseconds. */
export const createFreezableClock = (base: Clock, wallOffset: Milliseconds = 0): FreezableClock => {
    let frozen = false;
    let overdue: (() => void)[] = [];

    const after: Clock["after"] = (delay, callback) => {
        let cancelled = false;
        const run = (): void => {
            if (!cancelled) {
                callback();
            }
        };
        const cancel = base.after(delay, () => {
            if (frozen) {
                overdue.push(run);
                return;
            }
            run();
        });
        return () => {
            cancelled = true;
            cancel();
        };
    };

    return {
        now: () => base.now() + wallOffset,
        monotonic: base.monotonic,
        after,
        sleep: createSleep(after),
        freeze: () => {
            frozen = true;
        },
        resume: () => {
            frozen = false;
            const due = overdue;
            overdue = [];
            due.forEach((run) => run());
        },
    };
};
