/** Estimates a rate of arrivals, with exponentially decreasing weights of older ones. */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from "oleandergap-types";

/** Time in which the weight of an arrival decreases to 1/e. */
const MEMORY_MS: Milliseconds = 1000;

export interface DemandMeter {
    readonly record: (now: Milliseconds) => void;
    /** Returns the arrivals per second. */
    readonly rate: (now: Milliseconds) => number;
}

export const createDemandMeter = (): DemandMeter => {
    let weight = 0;
    let at = 0;
    const decay = (now: Milliseconds): number => weight * Math.exp((at - now) / MEMORY_MS);
    return {
        record: (now) => {
            weight = decay(now) + 1;
            at = now;
        },
        rate: (now) => decay(now) * MILLISECONDS_PER_SECOND / MEMORY_MS,
    };
};
