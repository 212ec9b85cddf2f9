/** Rate limiter with one token bucket per key, so that excessive requests for one key do not affect other keys. */
import type { Clock } from "oleandergap-types";
import { createTokenBucket, type TokenBucket } from "oleandergap-utils";

/** Limits that apply to each key. */
export interface KeyedRateLimiterOptions {
    readonly clock: Clock;
    /** Sustained rate of each key, in requests per second. */
    readonly ratePerSecond: number;
    /** Number of requests that a new key may send in one burst. */
    readonly burst: number;
    /** Maximum number of keys that are tracked. The least recently used key is evicted first. */
    readonly capacity: number;
}

/** Rate limiter with a separate limit for each key. */
export interface KeyedRateLimiter {
    /** Takes one token of the key. Returns 0 when it was available, or the milliseconds until the next token. */
    readonly acquire: (key: string) => number;
}

/** Creates a rate limiter whose buckets are initially full. */
export const createKeyedRateLimiter = ({
    clock, ratePerSecond, burst, capacity,
}: KeyedRateLimiterOptions): KeyedRateLimiter => {
    const buckets = new Map<string, TokenBucket>();

    const getOrCreateBucket = (key: string): TokenBucket => {
        const bucket = buckets.get(key) ?? createTokenBucket({ clock, ratePerSecond: () => ratePerSecond, burst });
        buckets.delete(key);
        buckets.set(key, bucket);
        const oldest = buckets.keys().next();
        if (buckets.size > capacity && oldest.done !== true) {
            buckets.delete(oldest.value);
        }
        return bucket;
    };

    return {
        acquire: (key) => {
            const bucket = getOrCreateBucket(key);
            return bucket.tryTake() ? 0 : Math.ceil(bucket.timeToNext());
        },
    };
};
