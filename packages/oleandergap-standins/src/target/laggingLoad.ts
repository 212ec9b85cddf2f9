/** Load value that is always outdated, like the values of the partners' load endpoints. */
import type { Clock, Milliseconds } from "oleandergap-types";

/** Load that a load endpoint reports. */
export interface LoadReading {
    readonly inFlight: number;
    readonly slots: number;
}

/** Returns a function that reports the value that `read` returned between one and two times `lag` earlier. */
export const createLaggingLoad = (
    read: () => LoadReading,
    lag: Milliseconds,
    clock: Clock,
    signal: AbortSignal,
): (() => LoadReading) => {
    let reportedLoad = read();
    let latestSample = reportedLoad;

    const sample = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(lag, signal);
            reportedLoad = latestSample;
            latestSample = read();
        }
    };

    if (lag === 0) {
        return read;
    }
    void sample();
    return () => reportedLoad;
};
