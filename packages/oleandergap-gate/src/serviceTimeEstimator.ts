/** Estimates the service time of a target from recent samples. */
import type { Milliseconds } from "oleandergap-types";

/** Number of samples from which the quantiles are computed. */
const WINDOW_SIZE = 32;
/** Minimum number of samples for an estimate, so that no request is refused during a cold start. */
const MINIMUM_SAMPLES = 5;
/** Number of samples after which the quantiles are recomputed. */
const REFRESH_EVERY = 8;
/** Number of samples that the moving mean covers. */
const MEAN_WINDOW_SIZE = 64;
/** A sample contributes at most this multiple of the median to the mean. */
const OUTLIER_FACTOR = 5;
/** Probability of the end of a request that has been running for longer than all samples. */
const UNKNOWN_END_PROBABILITY = 0.5;
/** Quantile that `percentile90` returns. */
const UPPER_QUANTILE = 0.9;

export interface ServiceTimeEstimator {
    /** Adds the service time of a request that was answered. */
    readonly addAnswered: (duration: Milliseconds) => void;
    /** Adds a request that ended without a response after `duration`. Its service time is at least `duration`. */
    readonly addUnanswered: (duration: Milliseconds) => void;
    /** Returns the median service time, or undefined without enough samples. */
    readonly median: () => Milliseconds | undefined;
    /** Returns the 90th percentile of the service time, or undefined without enough samples. */
    readonly percentile90: () => Milliseconds | undefined;
    /**
     * Returns the probability that a request that has been running for `elapsed` ends within `period`, or 0 without
     * enough samples.
     */
    readonly endProbability: (elapsed: Milliseconds, period: Milliseconds) => number;
    /** Returns the mean service time, which determines how fast a queue moves, or undefined without enough samples. */
    readonly mean: () => Milliseconds | undefined;
}

/**
 * Creates an estimator without samples. It provides three estimates for three purposes:
 *
 * - The median decides whether a request can finish before its deadline, because a few outliers do not change it.
 * - The 90th percentile decides whether a response will meet its objective. With the median, half of the responses that
 *   were expected to be on time would be late.
 * - The mean predicts how fast a queue moves, because rare long requests matter there. Each sample is capped at a small
 *   multiple of the median, so that one hung request does not cause the gate to refuse all requests for their
 *   deadlines.
 */
export const createServiceTimeEstimator = (): ServiceTimeEstimator => {
    const durations = new Float64Array(WINDOW_SIZE);
    let count = 0;
    let median = 0;
    let percentile90 = 0;
    let mean = 0;

    const refreshQuantiles = (): void => {
        const sorted = durations.slice(0, Math.min(count, WINDOW_SIZE)).sort();
        median = sorted[Math.floor(sorted.length / 2)] ?? 0;
        percentile90 = sorted[Math.floor(sorted.length * UPPER_QUANTILE)] ?? 0;
    };

    const addAnswered = (duration: Milliseconds): void => {
        durations[count % WINDOW_SIZE] = duration;
        count += 1;
        if (count <= MINIMUM_SAMPLES || count % REFRESH_EVERY === 0) {
            refreshQuantiles();
        }
        const cappedDuration = count < MINIMUM_SAMPLES ? duration : Math.min(duration, OUTLIER_FACTOR * median);
        mean += (cappedDuration - mean) / Math.min(count, MEAN_WINDOW_SIZE);
    };

    const hasEnoughSamples = (): boolean => count >= MINIMUM_SAMPLES;

    const endProbability: ServiceTimeEstimator["endProbability"] = (elapsed, period) => {
        if (!hasEnoughSamples()) {
            return 0;
        }
        let longer = 0;
        let ending = 0;
        for (const duration of durations.subarray(0, Math.min(count, WINDOW_SIZE))) {
            longer += duration > elapsed ? 1 : 0;
            ending += duration > elapsed && duration <= elapsed + period ? 1 : 0;
        }
        return longer === 0 ? UNKNOWN_END_PROBABILITY : ending / longer;
    };

    return {
        addAnswered,
        endProbability,
        addUnanswered: (duration) => {
            if (duration > median) {
                addAnswered(duration);
            }
        },
        median: () => hasEnoughSamples() ? median : undefined,
        percentile90: () => hasEnoughSamples() ? percentile90 : undefined,
        mean: () => hasEnoughSamples() ? mean : undefined,
    };
};
