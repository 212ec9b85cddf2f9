/**
 * Limits the rate of a partner's changes across the whole fleet. The state is one number in the head row, which each
 * accepted change replaces anyway. The limit therefore applies regardless of the nodes that operators connect to and
 * needs no additional call.
 *
 * The limit uses the generic cell rate algorithm (GCRA). The state is the time up to which the rate is used. Each
 * change advances it by one interval, and it may be ahead of the clock by at most the burst.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { MILLISECONDS_PER_SECOND, type Milliseconds } from "oleandergap-types";

/** Rate limit of a partner. */
export interface RateLimit {
    /** Average number of changes per second. */
    readonly ratePerSecond: number;
    /** Maximum number of changes in a burst. */
    readonly burst: number;
}

/** Error with the time after which the change may be retried. */
export interface RateExceeded {
    readonly retryAfterMs: Milliseconds;
}

/**
 * Returns the new state, or the time to wait if the limit is exceeded.
 *
 * The clocks of nodes differ. A clock that is far ahead would use up the rate for all other nodes until their clocks
 * reach its time, and the changes of a partner would be refused for hours. A state that is further ahead than twice the
 * burst can only come from such a clock and is ignored. The limit only bounds cost; correctness does not depend on it.
 */
export const applyRateLimit = (
    rateUsedUpTo: Milliseconds,
    now: Milliseconds,
    { ratePerSecond, burst }: RateLimit,
): Either<RateExceeded, Milliseconds> => {
    const intervalMs = MILLISECONDS_PER_SECOND / ratePerSecond;
    const burstMs = burst * intervalMs;
    const isPlausible = rateUsedUpTo - now <= 2 * burstMs;
    const next = Math.max(isPlausible ? rateUsedUpTo : now, now) + intervalMs;
    const excessMs = next - now - burstMs;
    return excessMs > 0 ? either.left({ retryAfterMs: Math.ceil(excessMs) }) : either.right(next);
};
