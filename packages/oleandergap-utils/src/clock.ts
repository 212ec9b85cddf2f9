/** The clock of a running process. */
import { performance } from "node:perf_hooks";
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";
import { createSleep } from "./sleep.js";

const startUnreferencedTimer = (delay: Milliseconds, callback: () => void): CancelTimer => {
    const timer = setTimeout(callback, delay);
    timer.unref();
    return () => {
        clearTimeout(timer);
    };
};

/** Starts a timer for `sleep`, which keeps the process alive. The timers of `after` do not keep it alive. */
const startReferencedTimer = (delay: Milliseconds, callback: () => void): CancelTimer => {
    const timer = setTimeout(callback, delay);
    return () => {
        clearTimeout(timer);
    };
};

/** Creates a clock backed by the operating system. */
export const createSystemClock = (): Clock => ({
    now: () => Date.now(),
    monotonic: () => performance.now(),
    after: startUnreferencedTimer,
    sleep: createSleep(startReferencedTimer),
});
