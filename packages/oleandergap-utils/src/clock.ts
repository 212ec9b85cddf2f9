/** The clock of a running process. */
import { performance } from "node:perf_hooks";
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";
import { createSleep } from "./sleep.js";

const startTimer = (delay: Milliseconds, callback: () => void): CancelTimer => {
    const timer = setTimeout(callback, delay);
    timer.unref();
    return () => {
        clearTimeout(timer);
    };
};

/** Unlike the timers of `after`, those of a sleep keep the process alive. */
const startKeptTimer = (delay: Milliseconds, callback: () => void): CancelTimer => {
    const timer = setTimeout(callback, delay);
    return () => {
        clearTimeout(timer);
    };
};

/** A clock backed by the operating system. */
export const createSystemClock = (): Clock => ({
    now: () => Date.now(),
    monotonic: () => performance.now(),
    after: startTimer,
    sleep: createSleep(startKeptTimer),
});
