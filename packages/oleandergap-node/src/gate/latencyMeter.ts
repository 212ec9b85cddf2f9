/** Tracks the time to the start of a response as a moving mean and deviation. */
import type { Milliseconds } from "oleandergap-types";

export interface LatencyMeter {
    readonly add: (latency: Milliseconds) => void;
    /** Returns a latency that responses rarely exceed; undefined before the first response. */
    readonly unusualLatency: () => Milliseconds | undefined;
}

/** Weights of a new value in the mean and the deviation, as in TCP's round-trip time estimate (RFC 6298). */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
/** Number of deviations above the mean from which a latency is unusual. */
const UNUSUAL_DEVIATIONS = 8;

export const createLatencyMeter = (): LatencyMeter => {
    let mean: Milliseconds | undefined;
    let deviation = 0;
    return {
        add: (latency) => {
            if (mean === undefined) {
                mean = latency;
                deviation = latency / 2;
                return;
            }
            deviation += DEVIATION_WEIGHT * (Math.abs(latency - mean) - deviation);
            mean += MEAN_WEIGHT * (latency - mean);
        },
        unusualLatency: () => mean === undefined ? undefined : mean + UNUSUAL_DEVIATIONS * deviation,
    };
};
