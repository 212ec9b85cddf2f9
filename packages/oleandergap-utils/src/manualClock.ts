/** A clock that tests move by hand. */
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";
import { createSleep } from "./sleep.js";

interface ManualTimer {
    readonly due: Milliseconds;
    readonly order: number;
    readonly callback: () => void;
}

/** Time stands still until a test moves it. */
export interface ManualClock extends Clock {
    /** Moves time forward and runs what falls due, in order, letting promises settle in between. */
    readonly advance: (duration: Milliseconds) => Promise<void>;
    /** Moves the time without running timers, as when a process is frozen; overdue timers run at the next advance. */
    readonly freeze: (duration: Milliseconds) => void;
    /**
     * Moves the time as when a process stands still, and runs the timers that fell due before anything that has arrived
     * meanwhile is read.
     */
    readonly block: (duration: Milliseconds) => void;
    /** Number of timers that are waiting. */
    readonly pendingTimers: () => number;
}

/** Turns of the event loop that let chains of promises settle between two timers. */
const SETTLE_TURNS = 3;

const settle = async (): Promise<void> => {
    for (let turn = 0; turn < SETTLE_TURNS; turn++) {
        await new Promise<void>((resolve) => setImmediate(resolve));
    }
};

/** Starts at `start` (wall clock and monotonic alike). */
export const createManualClock = (start: Milliseconds = 1_000_000): ManualClock => {
    let time = start;
    let order = 0;
    const timers = new Set<ManualTimer>();

    const after = (delay: Milliseconds, callback: () => void): CancelTimer => {
        const timer = { due: time + Math.max(0, delay), order: order++, callback };
        timers.add(timer);
        return () => {
            timers.delete(timer);
        };
    };

    const isBefore = (left: ManualTimer, right: ManualTimer): boolean =>
        left.due === right.due ? left.order < right.order : left.due < right.due;

    const nextDue = (limit: Milliseconds): ManualTimer | undefined => {
        let next: ManualTimer | undefined;
        for (const timer of timers) {
            if (timer.due <= limit && (next === undefined || isBefore(timer, next))) {
                next = timer;
            }
        }
        return next;
    };

    const advance = async (duration: Milliseconds): Promise<void> => {
        const end = time + duration;
        await settle();
        for (let timer = nextDue(end); timer !== undefined; timer = nextDue(end)) {
            timers.delete(timer);
            time = Math.max(time, timer.due);
            timer.callback();
            await settle();
        }
        time = end;
    };

    const block = (duration: Milliseconds): void => {
        time += duration;
        const overdue = [...timers].filter(({ due }) => due <= time);
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
