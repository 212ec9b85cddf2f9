/** Computes percentiles of durations in constant memory. */
import { build, type Histogram } from "hdr-histogram-js";
import type { Milliseconds } from "oleandergap-types";

/** Records durations and returns their percentiles, maximum and count. */
export interface DurationRecorder {
    readonly record: (duration: Milliseconds) => void;
    readonly percentile: (percent: number) => Milliseconds;
    readonly maximum: () => Milliseconds;
    readonly count: () => number;
}

/** The histogram stores whole microseconds. */
const MICROSECONDS_PER_MILLISECOND = 1000;
/** Ten minutes; longer durations are recorded as this value. */
const MAX_TRACKED_MICROSECONDS = 600_000_000;

/** Creates an empty recorder, which keeps values to three significant digits. */
export const createDurationRecorder = (): DurationRecorder => {
    const histogram: Histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_TRACKED_MICROSECONDS,
        numberOfSignificantValueDigits: 3,
    });
    return {
        record: (duration) => {
            const microseconds = Math.round(duration * MICROSECONDS_PER_MILLISECOND);
            histogram.recordValue(Math.min(MAX_TRACKED_MICROSECONDS, Math.max(0, microseconds)));
        },
        percentile: (percent) => histogram.getValueAtPercentile(percent) / MICROSECONDS_PER_MILLISECOND,
        maximum: () => histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
        count: () => histogram.totalCount,
    };
};
