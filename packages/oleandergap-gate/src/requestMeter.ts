/** Counts the requests that were recently sent to the target. */
import type { Clock, Milliseconds } from "oleandergap-types";

/** Longest period that can be counted. */
export const MAX_METER_PERIOD_MS: Milliseconds = 4000;
/** Requests are counted in buckets of this width, so that the memory does not grow with the rate. */
const BUCKET_MS: Milliseconds = 100;
const BUCKETS = MAX_METER_PERIOD_MS / BUCKET_MS;

/** Counts requests over a sliding period. */
export interface RequestMeter {
    /** Counts a request that is sent now. */
    readonly record: () => void;
    /** Returns the number of requests in the last `periodMs`, which is at most {@link MAX_METER_PERIOD_MS}. */
    readonly countRecent: (periodMs: Milliseconds) => number;
}

interface Bucket {
    /** Number of the bucket's time slot since time 0 of the monotonic clock. */
    slot: number;
    count: number;
}

/** Creates a meter without requests. */
export const createRequestMeter = (clock: Clock): RequestMeter => {
    const buckets: Bucket[] = Array.from({ length: BUCKETS }, () => ({ slot: -1, count: 0 }));

    const getCurrentSlot = (): number => Math.floor(clock.monotonic() / BUCKET_MS);

    return {
        record: () => {
            const slot = getCurrentSlot();
            const bucket = buckets[slot % BUCKETS];
            if (bucket === undefined) {
                return;
            }
            if (bucket.slot !== slot) {
                bucket.slot = slot;
                bucket.count = 0;
            }
            bucket.count += 1;
        },
        countRecent: (periodMs) => {
            const firstSlot = getCurrentSlot() - Math.ceil(periodMs / BUCKET_MS) + 1;
            return buckets.reduce((sum, { slot, count }) => sum + (slot >= firstSlot ? count : 0), 0);
        },
    };
};
