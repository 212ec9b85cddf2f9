/** Estimates a target's service time from the recent ones. */
import type { Milliseconds } from "oleandergap-types";

/** Service times kept for the median. */
const WINDOW_SIZE = 32;
/** Below this many service times there is no estimate, so that a cold start refuses nobody. */
const MINIMUM_SAMPLES = 5;
/** The median is computed anew after this many service times. */
const REFRESH_EVERY = 8;
/** Service times in the average's memory. */
const AVERAGE_MEMORY = 64;
/** A service time counts in the average for at most this many medians. */
const OUTLIER_FACTOR = 5;
/** Part of the service times that are at most the likely one. */
const LIKELY_PART = 0.9;

export interface ServiceTimeEstimator {
    /** Takes in the service time of a request that was answered. */
    readonly addAnswered: (duration: Milliseconds) => void;
    /** Takes in a request that ended without an answer after `duration`: its service time is at least that. */
    readonly addUnanswered: (duration: Milliseconds) => void;
    /** What a typical request takes, undefined until enough is known. */
    readonly typical: () => Milliseconds | undefined;
    /** What nine in ten requests take at most, undefined until enough is known. */
    readonly likely: () => Milliseconds | undefined;
    /** Average that decides how fast a queue moves, undefined until enough is known. */
    readonly average: () => Milliseconds | undefined;
}

/**
 * Three estimates, because they answer three questions. Whether one request still fits its deadline is asked of the
 * median, which a few outliers cannot move. Whether an answer will be in time to be worth most is asked of the time
 * that nine in ten keep to: by the median, half of the answers that were counted on come late. How fast a queue moves
 * is asked of the mean, in which rare long requests do count; each is cut at a few medians, so that one hung request
 * does not make the gate refuse everybody for its deadline.
 */
export const createServiceTimeEstimator = (): ServiceTimeEstimator => {
    const durations = new Float64Array(WINDOW_SIZE);
    let count = 0;
    let median = 0;
    let likely = 0;
    let mean = 0;

    const refreshQuantiles = (): void => {
        const sorted = durations.slice(0, Math.min(count, WINDOW_SIZE)).sort();
        median = sorted[Math.floor(sorted.length / 2)] ?? 0;
        likely = sorted[Math.floor(sorted.length * LIKELY_PART)] ?? 0;
    };

    const addAnswered = (duration: Milliseconds): void => {
        durations[count % WINDOW_SIZE] = duration;
        count += 1;
        if (count <= MINIMUM_SAMPLES || count % REFRESH_EVERY === 0) {
            refreshQuantiles();
        }
        const counted = count < MINIMUM_SAMPLES ? duration : Math.min(duration, OUTLIER_FACTOR * median);
        mean += (counted - mean) / Math.min(count, AVERAGE_MEMORY);
    };

    const isKnown = (): boolean => count >= MINIMUM_SAMPLES;

    return {
        addAnswered,
        addUnanswered: (duration) => {
            if (duration > median) {
                addAnswered(duration);
            }
        },
        typical: () => isKnown() ? median : undefined,
        likely: () => isKnown() ? likely : undefined,
        average: () => isKnown() ? mean : undefined,
    };
};
