/**
 * A clock that coalesces timers, for work that may start slightly late.
 *
 * A node has a dozen periodic tasks. If each task had a separate timer, an idle node would wake up fifty times a
 * second. On a VM that several processes share, the CPU caches are cold after each wake-up. Idle nodes would then use
 * as much CPU time as nodes that serve requests. Here, all timers fire at multiples of one step, so that one turn of
 * the event loop runs all tasks that are due.
 */
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";
import { createSleep } from "./sleep.js";

/**
 * Maximum time by which a timer may fire early. Without this tolerance, a periodic task that takes some time to run
 * would miss every second step.
 */
const MAX_EARLY_MS: Milliseconds = 10;

/** Timers that fire at the same time. */
interface TimerBatch {
    readonly at: Milliseconds;
    readonly callbacks: Set<() => void>;
}

/**
 * Creates a clock with the times of `clock`. Its timers fire at multiples of `stepMs`, at most `MAX_EARLY_MS` early and
 * at most `stepMs` late.
 */
export const createBackgroundClock = (clock: Clock, stepMs: Milliseconds): Clock => {
    const batches = new Map<number, TimerBatch>();
    let armedTimer: { readonly at: Milliseconds; readonly cancel: CancelTimer } | undefined;

    const listDueBatches = (now: Milliseconds): readonly TimerBatch[] =>
        [...batches.values()].filter(({ at }) => at <= now + MAX_EARLY_MS).sort((left, right) => left.at - right.at);

    const armTimer = (): void => {
        const nextAt = Math.min(...[...batches.values()].map(({ at }) => at));
        if (nextAt === armedTimer?.at) {
            return;
        }
        armedTimer?.cancel();
        armedTimer = undefined;
        if (batches.size > 0) {
            armedTimer = { at: nextAt, cancel: clock.after(Math.max(0, nextAt - clock.monotonic()), runDueBatches) };
        }
    };

    const runDueBatches = (): void => {
        armedTimer = undefined;
        const dueBatches = listDueBatches(clock.monotonic());
        for (const batch of dueBatches) {
            batches.delete(batch.at);
        }
        // The next timer is armed before the callbacks run, so that later tasks run on time even if a task throws.
        armTimer();
        for (const batch of dueBatches) {
            for (const callback of batch.callbacks) {
                callback();
            }
        }
    };

    const after: Clock["after"] = (delay, callback) => {
        const at = Math.ceil((clock.monotonic() + delay - MAX_EARLY_MS) / stepMs) * stepMs;
        const batch = batches.get(at) ?? { at, callbacks: new Set<() => void>() };
        batches.set(at, batch);
        // The wrapper allows the same function to be scheduled twice.
        const wrappedCallback = (): void => callback();
        batch.callbacks.add(wrappedCallback);
        armTimer();
        return () => {
            batch.callbacks.delete(wrappedCallback);
            if (batch.callbacks.size === 0 && batches.get(at) === batch) {
                batches.delete(at);
                armTimer();
            }
        };
    };

    return { now: clock.now, monotonic: clock.monotonic, after, sleep: createSleep(after) };
};
