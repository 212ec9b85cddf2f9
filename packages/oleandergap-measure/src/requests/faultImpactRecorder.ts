/** Measures the impact of a fault on requests, by the time at which each request was sent. */
import type { CallResult } from "oleandergap-standins";
import type { Clock, Milliseconds } from "oleandergap-types";
import type { Figures } from "../experiment.js";

/** Records the results of all requests of a run and summarizes those of the requests that the fault affected. */
export interface FaultImpactRecorder {
    readonly record: (result: CallResult) => void;
    /** Sets the start of the fault to the present time. */
    readonly markFaultStart: () => void;
    /** Returns the figures of the affected requests. */
    readonly describeImpact: () => Figures;
}

interface Observation {
    readonly sentAt: Milliseconds;
    readonly latencyMs: Milliseconds;
    /** Whether the complete response arrived within the caller's timeout. */
    readonly isAnswered: boolean;
    /** Whether the complete response arrived after the caller's timeout. */
    readonly isLate: boolean;
    readonly isRead: boolean;
}

const computeAnsweredShare = (observations: readonly Observation[]): number =>
    observations.filter(({ isAnswered }) => isAnswered).length / Math.max(1, observations.length);

/**
 * Returns the longest latency of a complete response. Late responses are included, because their callers waited for
 * them.
 */
const findLongestLatency = (observations: readonly Observation[]): Milliseconds =>
    observations
        .filter(({ isLate, isAnswered }) => isLate || isAnswered)
        .reduce((slowest, { latencyMs }) => Math.max(slowest, latencyMs), 0);

/** Options of a fault impact recorder. */
export interface FaultImpactOptions {
    readonly clock: Clock;
    /** Timeout of the callers; a later response does not count as an answer. */
    readonly timeoutMs: Milliseconds;
    /** Highest latency of a response that counts as served normally. */
    readonly normalLatencyMs: Milliseconds;
    /** Returns whether the request with this run key is a read. */
    readonly isRead: (runKey: string) => boolean;
}

/** Creates a recorder. No request counts as affected until `markFaultStart` is called. */
export const createFaultImpactRecorder = ({
    clock,
    timeoutMs,
    normalLatencyMs,
    isRead,
}: FaultImpactOptions): FaultImpactRecorder => {
    const observations: Observation[] = [];
    let faultStartedAt = Number.POSITIVE_INFINITY;
    return {
        record: (result) => {
            observations.push({
                sentAt: clock.monotonic() - result.latencyMs,
                latencyMs: result.latencyMs,
                isAnswered: result.kind === "Answered" && result.latencyMs <= timeoutMs,
                isLate: result.kind === "Answered" && result.latencyMs > timeoutMs,
                isRead: isRead(result.runKey),
            });
        },
        markFaultStart: () => {
            faultStartedAt = clock.monotonic();
        },
        describeImpact: () => {
            // Requests that were in flight when the fault began are affected as well.
            const affected = observations.filter(({ sentAt, latencyMs }) => sentAt + latencyMs >= faultStartedAt);
            const disturbed = affected.filter(({ isAnswered, latencyMs }) =>
                !isAnswered || latencyMs > normalLatencyMs);
            const lastDisturbedAt = disturbed.reduce((last, { sentAt }) => Math.max(last, sentAt), faultStartedAt);
            return {
                answeredShare: computeAnsweredShare(affected),
                answeredReadsShare: computeAnsweredShare(affected.filter((observation) => observation.isRead)),
                answeredPostsShare: computeAnsweredShare(affected.filter((observation) => !observation.isRead)),
                disturbed: disturbed.length,
                slowestAnsweredMs: findLongestLatency(affected),
                late: affected.filter(({ isLate }) => isLate).length,
                servedNormallyAfterMs: lastDisturbedAt - faultStartedAt,
            };
        },
    };
};
