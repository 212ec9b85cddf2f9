/**
 * Circuit breaker for claims. It opens after the platform has refused a claim or has not responded in time. Without it,
 * every request with an idempotency key on 6,400 nodes would call a platform that is recovering, so the platform's load
 * would peak at the end of each outage, and each caller would wait for the same refusal. While the circuit breaker is
 * open, claims are refused immediately with a retry-after time. When the open time is over, it lets one claim through
 * as a probe: if it let all claims through, each would wait for a timeout again while the platform still hangs.
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import { drawBackoff, type Random } from "oleandergap-utils";
import type { ClaimOptions } from "../options.js";

export interface PlatformCircuitBreaker {
    /** Returns the time until the platform may be called again, in milliseconds; 0 when it may be called now. */
    readonly remainingOpenTime: () => Milliseconds;
    /**
     * Returns whether a claim may call the platform now. After a failure, only one claim may, as a probe. The next
     * claim may when the probe has succeeded, when the open time after a failed probe is over, or when the probe has
     * timed out.
     */
    readonly tryAcquire: () => boolean;
    /** Reports that a claim started at the monotonic time `startedAt` was refused or received no response. */
    readonly reportFailure: (startedAt: Milliseconds) => void;
    /** Reports a response of the platform; closes the circuit breaker. */
    readonly reportSuccess: () => void;
    /** Returns the monotonic time of the platform's last response, or minus infinity before the first one. */
    readonly lastResponseAt: () => Milliseconds;
}

export interface PlatformCircuitBreakerDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly options: Pick<ClaimOptions, "retryPauseMs" | "maxRetryPauseMs" | "answerTimeoutMs">;
}

export const createPlatformCircuitBreaker = (
    { clock, random, options }: PlatformCircuitBreakerDependencies,
): PlatformCircuitBreaker => {
    let failures = 0;
    let lastFailureAt = Number.NEGATIVE_INFINITY;
    let lastResponseAt = Number.NEGATIVE_INFINITY;
    /** Monotonic time at which the open time or the timeout of the current probe ends. */
    let openUntil = Number.NEGATIVE_INFINITY;

    const remainingOpenTime = (): Milliseconds => Math.max(0, openUntil - clock.monotonic());

    return {
        remainingOpenTime,
        tryAcquire: () => {
            if (remainingOpenTime() > 0) {
                return false;
            }
            if (failures > 0) {
                // A probe whose caller disconnects reports no result; the next probe may start after this timeout.
                openUntil = clock.monotonic() + options.answerTimeoutMs;
            }
            return true;
        },
        reportFailure: (startedAt) => {
            // Claims that were in flight when the last failure was reported fail for the same reason. If each of them
            // counted, the backoff would reach its maximum within the timeout of one response.
            if (startedAt <= lastFailureAt) {
                return;
            }
            lastFailureAt = clock.monotonic();
            openUntil = lastFailureAt +
                options.retryPauseMs +
                drawBackoff(random, failures, options.retryPauseMs, options.maxRetryPauseMs);
            failures += 1;
        },
        reportSuccess: () => {
            failures = 0;
            openUntil = Number.NEGATIVE_INFINITY;
            lastResponseAt = clock.monotonic();
        },
        lastResponseAt: () => lastResponseAt,
    };
};
