/** Computes when refused requests should be retried. */
import type { Milliseconds } from "oleandergap-types";

export interface RetryAfterSchedule {
    /**
     * Reserves a retry time for a refused request.
     *
     * @param now monotonic time
     * @param minimumDelay time until the gate may have room
     * @param interval mean time between two requests that the gate completes
     * @returns the time after which the request should be retried
     */
    readonly schedule: (now: Milliseconds, minimumDelay: Milliseconds, interval: Milliseconds) => Milliseconds;
}

/**
 * Creates a schedule that spaces retries at the rate at which the gate completes requests. With the same retry time for
 * all refused requests, all retries would arrive together and be refused together, which causes peaks of refusals at
 * regular intervals.
 */
export const createRetryAfterSchedule = (maximum: Milliseconds): RetryAfterSchedule => {
    let lastScheduledAt = 0;
    return {
        schedule: (now, minimumDelay, interval) => {
            lastScheduledAt = Math.max(lastScheduledAt, now + minimumDelay) + interval;
            lastScheduledAt = Math.min(lastScheduledAt, now + maximum);
            return Math.max(1, Math.ceil(lastScheduledAt - now));
        },
    };
};
