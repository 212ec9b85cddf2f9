/** Stores every latency of a run. Runs are short enough to compute exact percentiles. */
import type { Milliseconds } from "oleandergap-types";

/** Exact statistics of all recorded latencies. All fields are 0 if no latency was recorded. */
export interface LatencySummary {
    readonly count: number;
    readonly p50Ms: Milliseconds;
    readonly p99Ms: Milliseconds;
    readonly maxMs: Milliseconds;
    readonly meanMs: Milliseconds;
}

/** Records latencies and summarises them at the end of a run. */
export interface LatencyRecorder {
    readonly record: (latency: Milliseconds) => void;
    readonly summarise: () => LatencySummary;
}

/** Returns the smallest value that at least `share` of the sorted values do not exceed, or 0 for an empty array. */
const percentile = (sorted: readonly Milliseconds[], share: number): Milliseconds =>
    sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? 0;

const mean = (values: readonly Milliseconds[]): Milliseconds =>
    values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;

/** Creates a recorder without latencies. */
export const createLatencyRecorder = (): LatencyRecorder => {
    const latencies: Milliseconds[] = [];
    return {
        record: (latency) => {
            latencies.push(latency);
        },
        summarise: () => {
            const sorted = [...latencies].sort((left, right) => left - right);
            return {
                count: sorted.length,
                p50Ms: percentile(sorted, 0.5),
                p99Ms: percentile(sorted, 0.99),
                maxMs: sorted.at(-1) ?? 0,
                meanMs: mean(sorted),
            };
        },
    };
};
