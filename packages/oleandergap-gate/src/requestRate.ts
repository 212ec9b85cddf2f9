/**
 * Keeps the requests that are sent to a target within the rate that the target names.
 *
 * Every request to a target passes through its gate, so that the gate alone can keep a limit on the requests of all
 * nodes together. If each node kept a share of the limit, the shares would have to follow the load and the membership.
 */
import { MILLISECONDS_PER_SECOND, type CancelTimer, type Clock, type Milliseconds } from "oleandergap-types";
import { createBulkTokenBucket, type BulkTokenBucket } from "oleandergap-utils";
import { createRequestMeter } from "./requestMeter.js";

/** Time for which unused requests of the limit accumulate, so that random arrivals need not wait. */
const BURST_MS: Milliseconds = 250;
/** Requests per second that are sent at any limit: only a response shows that a limit no longer holds. */
const MINIMUM_RATE = 0.5;
/** Time before a limit is named in which the requests sent count against it. */
const COUNTED_MS: Milliseconds = 2000;
/** Multiple of the limit that requests in that time may reach without being compensated. */
const UNCOMPENSATED_FACTOR = 1.25;
/** Time over which the remaining excess is compensated by a lower rate. */
const COMPENSATION_MS: Milliseconds = 3000;
/** Share of the limit that is sent at least during the compensation. */
const MINIMUM_COMPENSATED_SHARE = 0.1;

/** Longest timer for the next request. The rate may rise while a timer runs, so a longer one would fire too late. */
const MAX_TIMER_MS: Milliseconds = 100;

/** Limits and counts the requests to one target. */
export interface RequestRate {
    /** Applies the limit that the target names, in requests per second; undefined if it names none. */
    readonly setLimit: (requestsPerSecond: number | undefined) => void;
    /** Counts a request that is sent to the target. It is counted even if the limit does not allow it. */
    readonly recordRequest: () => void;
    /** Returns the number of requests sent in the last `periodMs`. */
    readonly countRecent: (periodMs: Milliseconds) => number;
    /** Returns the time until the limit allows the next request; 0 if it allows one now. */
    readonly timeToNext: () => Milliseconds;
    /** Returns the mean interval between two requests that are allowed at present; 0 without a limit. */
    readonly interval: () => Milliseconds;
    /**
     * Calls `callback` once when the limit allows the next request, or somewhat earlier, unless it allows one now.
     */
    readonly callWhenAllowed: (callback: () => void) => void;
}

/** Creates the rate of a target that names no limit. */
export const createRequestRate = (clock: Clock): RequestRate => {
    const meter = createRequestMeter(clock);
    let limit: number | undefined;
    /** Present while the target names a limit. */
    let bucket: BulkTokenBucket | undefined;
    let compensatedRate = 0;
    let compensatedUntil = Number.NEGATIVE_INFINITY;
    let cancelTimer: CancelTimer | undefined;

    const getRate = (): number =>
        Math.max(MINIMUM_RATE, clock.monotonic() < compensatedUntil ? compensatedRate : limit ?? 0);

    const getBurst = (): number => Math.max(1, getRate() * BURST_MS / MILLISECONDS_PER_SECOND);

    /**
     * Starts the compensation of requests that were sent before the limit was known. The target has received them
     * recently, so that the limit alone would still leave it with more requests than it can take.
     */
    const startCompensation = (nextLimit: number): void => {
        const allowed = UNCOMPENSATED_FACTOR * nextLimit * COUNTED_MS / MILLISECONDS_PER_SECOND;
        const excess = Math.max(0, meter.countRecent(COUNTED_MS) - allowed);
        const reduction = excess / COMPENSATION_MS * MILLISECONDS_PER_SECOND;
        compensatedRate = Math.max(MINIMUM_COMPENSATED_SHARE * nextLimit, nextLimit - reduction);
        compensatedUntil = clock.monotonic() + COMPENSATION_MS;
    };

    const createEmptyBucket = (): BulkTokenBucket => {
        const created = createBulkTokenBucket({ clock, ratePerSecond: getRate, burst: getBurst });
        created.take(getBurst());
        return created;
    };

    const timeToNext = (): Milliseconds => bucket?.timeUntil(1) ?? 0;

    return {
        setLimit: (requestsPerSecond) => {
            if (requestsPerSecond === limit) {
                return;
            }
            if (requestsPerSecond !== undefined) {
                startCompensation(requestsPerSecond);
            }
            limit = requestsPerSecond;
            bucket = limit === undefined ? undefined : bucket ?? createEmptyBucket();
        },
        recordRequest: () => {
            meter.record();
            bucket?.take(1);
        },
        countRecent: meter.countRecent,
        timeToNext,
        interval: () => limit === undefined ? 0 : MILLISECONDS_PER_SECOND / getRate(),
        callWhenAllowed: (callback) => {
            const delay = timeToNext();
            if (delay > 0 && cancelTimer === undefined) {
                cancelTimer = clock.after(Math.min(MAX_TIMER_MS, Math.max(1, Math.ceil(delay))), () => {
                    cancelTimer = undefined;
                    callback();
                });
            }
        },
    };
};
