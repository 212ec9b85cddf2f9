/** A clock for tests, whose time is set by the test. */
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";
import { createSleep } from "./sleep.js";

interface ManualTimer {
    readonly dueAt: Milliseconds;
    readonly order: number;
    readonly callback: () => void;
}

/** A clock whose time changes only when a test changes it. */
export interface ManualClock extends Clock {
    /** Advances the time, runs due timers in order and lets promises settle after each timer. */
    readonly advance: (duration: Milliseconds) => Promise<void>;
    /**
     * Advances the time without running timers, as if the process were paused. Overdue timers run at the next call of
     * `advance`.
     */
    readonly freeze: (duration: Milliseconds) => void;
    /**
     * Advances the time as if the process were paused, and runs overdue timers before input that has arrived in the
     * meantime is read.
     */
    readonly block: (duration: Milliseconds) => void;
    /** Returns the number of pending timers. */
    readonly pendingTimers: () => number;
}

/** Number of event loop turns after which chains of promises have settled between two timers. */
const SETTLE_TURNS = 3;

const settlePromises = async (): Promise<void> => {
    for (let turn = 0; turn < SETTLE_TURNS; turn++) {
        await new Promise<void>((resolve) => setImmediate(resolve));
    }
};

/** Creates a clock whose wall clock time and monotonic time both start at `start`. */
export const createManualClock = (start: Milliseconds = 1_000_000): ManualClock => {
    let time = start;
    let order = 0;
    const timers = new Set<ManualTimer>();

    const after = (delay: Milliseconds, callback: () => void): CancelTimer => {
        const timer = { dueAt: time + Math.max(0, delay), order: order++, callback };
        timers.add(timer);
        return () => {
            timers.delete(timer);
        };
    };

    const isBefore = (left: ManualTimer, right: ManualTimer): boolean =>
        left.dueAt === right.dueAt ? left.order < right.order : left.dueAt < right.dueAt;

    const findNextDue = (limit: Milliseconds): ManualTimer | undefined => {
        let next: ManualTimer | undefined;
        for (const timer of timers) {
            if (timer.dueAt <= limit && (next === undefined || isBefore(timer, next))) {
                next = timer;
            }
        }
        return next;
    };

    const advance = async (duration: Milliseconds): Promise<void> => {
        const end = time + duration;
        await settlePromises();
        for (let timer = findNextDue(end); timer !== undefined; timer = findNextDue(end)) {
            timers.delete(timer);
            time = Math.max(time, timer.dueAt);
            timer.callback();
            await settlePromises();
        }
        time = end;
    };

    const block = (duration: Milliseconds): void => {
        time += duration;
        const overdue = [...timers].filter(({ dueAt }) => dueAt <= time);
        for (const timer of overdue.sort((left, right) => isBefore(left, right) ? -1 : 1)) {
            timers.delete(timer);
            timer.callback();
        }
    };

    return {
        now: () => time,
        monotonic: () => time,
        after,
        sleep: createSleep(after),
        advance,
        freeze: (duration) => {
            time += duration;
        },
        block,
        pendingTimers: () => timers.size,
    };
};
