/** Timers and loops that stop when their signal aborts. */
import type { Logger } from "oleandergap-logger";
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";

/** A task that is repeated until `signal` aborts. */
export interface PeriodicTask {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly signal: AbortSignal;
    /** Returns the wait before the next run. */
    readonly delay: () => Milliseconds;
    readonly run: () => void | Promise<void>;
}

const runOnce = async ({ run, logger }: PeriodicTask): Promise<void> => {
    try {
        await run();
    }
    catch (error) {
        logger.error("A periodic task failed.", { detail: String(error) });
    }
};

/** Runs a task repeatedly and resolves when the signal aborts. A failed run is logged and does not end the loop. */
export const runPeriodically = async (task: PeriodicTask): Promise<void> => {
    while (!task.signal.aborted) {
        await task.clock.sleep(task.delay(), task.signal);
        if (!task.signal.aborted) {
            await runOnce(task);
        }
    }
};

/** Runs `callback` once after `delay`, unless the timer is cancelled or the signal aborts first. */
export const startTimer = (
    clock: Clock,
    signal: AbortSignal,
    delay: Milliseconds,
    callback: () => void,
): CancelTimer => {
    if (signal.aborted) {
        return () => undefined;
    }
    const cancel = (): void => {
        cancelTimer();
        signal.removeEventListener("abort", cancel);
    };
    const cancelTimer = clock.after(delay, () => {
        signal.removeEventListener("abort", cancel);
        callback();
    });
    signal.addEventListener("abort", cancel, { once: true });
    return cancel;
};

/**
 * Returns a random delay between 0.5 and 1.5 times `mean`. The jitter desynchronizes nodes that started at the same
 * time.
 */
export const drawJitter = (random: () => number, mean: Milliseconds): Milliseconds => mean * (0.5 + random());
