/**
 * A monotonic clock that counts the time for which the process's VM was suspended. The clock of the runtime stops
 * meanwhile, and a pool owner that runs again would grant tokens from loans that their lenders have given to another
 * owner by then.
 */
import type { Clock, Milliseconds } from "oleandergap-types";

/** Least change of the wall clock between two readings that counts as a suspension; smaller ones are corrections. */
const MIN_SUSPENSION_MS: Milliseconds = 100;

/**
 * Creates the clock. The wall clock shows suspensions; if it is set forward, the time counts as suspended as well, and
 * loans end early. Timers are those of `clock`.
 */
export const createSuspensionAwareClock = (clock: Clock): Clock => {
    let suspendedMs = 0;
    let lastOffset = clock.now() - clock.monotonic();

    return {
        ...clock,
        monotonic: () => {
            const time = clock.monotonic();
            const offset = clock.now() - time;
            if (offset - lastOffset >= MIN_SUSPENSION_MS) {
                suspendedMs += offset - lastOffset;
            }
            lastOffset = offset;
            return time + suspendedMs;
        },
    };
};
