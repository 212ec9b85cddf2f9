/** A token bucket, which limits the rate of an operation and allows a short burst. */
import { MILLISECONDS_PER_SECOND, type Clock, type Milliseconds } from "oleandergap-types";

/** Options of a token bucket. */
export interface TokenBucketOptions {
    readonly clock: Clock;
    /**
     * Returns the number of tokens added per second. The function is called at each use of the bucket, so that the rate
     * can follow the size of the fleet.
     */
    readonly ratePerSecond: () => number;
    /**
     * Maximum number of tokens in the bucket, or a function that returns it and is called at each use. The bucket
     * starts full.
     */
    readonly burst: number | (() => number);
}

/** A token bucket for callers that take several tokens at once, or that check several buckets before taking tokens. */
export interface BulkTokenBucket {
    /**
     * Returns the time until `amount` tokens are available: 0 if they are available now, infinite if no tokens are
     * added.
     */
    readonly timeUntil: (amount: number) => Milliseconds;
    /** Takes `amount` tokens, even if fewer are available; the number of tokens may become negative. */
    readonly take: (amount: number) => void;
}

/** A token bucket from which one token is taken at a time. */
export interface TokenBucket {
    /** Takes one token if one is available, and returns whether a token was taken. */
    readonly tryTake: () => boolean;
    /** Returns the time until the next token is available: 0 if one is available now. */
    readonly timeToNext: () => Milliseconds;
}

/** Creates a full token bucket with separate functions for checking and for taking tokens. */
export const createBulkTokenBucket = ({ clock, ratePerSecond, burst }: TokenBucketOptions): BulkTokenBucket => {
    const getBurst = typeof burst === "function" ? burst : () => burst;
    let tokens = getBurst();
    let refilledAt = clock.monotonic();

    const refill = (): void => {
        const now = clock.monotonic();
        const addedTokens = ((now - refilledAt) / MILLISECONDS_PER_SECOND) * ratePerSecond();
        tokens = Math.min(getBurst(), tokens + addedTokens);
        refilledAt = now;
    };

    return {
        timeUntil: (amount) => {
            refill();
            const missingTokens = amount - tokens;
            return missingTokens > 0 ? (missingTokens / ratePerSecond()) * MILLISECONDS_PER_SECOND : 0;
        },
        take: (amount) => {
            tokens -= amount;
        },
    };
};

/** Creates a full token bucket. */
export const createTokenBucket = (options: TokenBucketOptions): TokenBucket => {
    const bulkBucket = createBulkTokenBucket(options);
    const timeToNext = (): Milliseconds => bulkBucket.timeUntil(1);
    return {
        tryTake: () => {
            if (timeToNext() > 0) {
                return false;
            }
            bulkBucket.take(1);
            return true;
        },
        timeToNext,
    };
};
