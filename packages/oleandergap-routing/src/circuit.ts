/**
 * A circuit breaker with exponential backoff, for a target or a whole zone. After each backoff, a single request is let
 * through as a probe. Its success closes the circuit; its failure opens the circuit for longer.
 *
 * Without the limit to a single probe, all callers would return at once to a target that is still down, or that is
 * starting and not ready for the full load. Errors would then come in bursts, one after each backoff.
 */
import type { Milliseconds } from "oleandergap-types";
import type { Random } from "oleandergap-utils";

/** A probe whose outcome was never reported expires after this many backoffs. */
const PROBE_TIMEOUT_FACTOR = 2;
/**
 * Minimum time before a probe expires; it is longer than a typical request takes. When the backoff was shortened to 0,
 * every request would otherwise be a probe, and all requests of a node would go to a target that is still unreachable.
 */
const MINIMUM_PROBE_TIMEOUT_MS = 500;
/**
 * Requests that must not be sent again may be used as probes only after this many additional backoffs, up to the limit
 * below.
 */
const NON_RETRYABLE_PROBE_FACTOR = 10;
const MAXIMUM_NON_RETRYABLE_DELAY_MS = 30_000;
/** Fraction of each backoff that is random, so that callers do not probe at the same time. */
const JITTER_FRACTION = 0.5;

/** State of one circuit breaker. */
export interface Circuit {
    state: "closed" | "open" | "probing";
    /** Number of failures since the last success. */
    failures: number;
    /**
     * Number of times that the circuit opened, reduced by one after each series of successful responses. It determines
     * the backoff.
     */
    trips: number;
    backoffMs: Milliseconds;
    /** Time from which the next probe may be sent, on the monotonic clock. */
    probeAt: Milliseconds;
}

/** Limits of the backoff. It doubles with each trip. */
export interface BackoffOptions {
    readonly ejectionMs: Milliseconds;
    readonly maximumEjectionMs: Milliseconds;
}

/** Creates a closed circuit. */
export const createCircuit = (): Circuit => ({
    state: "closed",
    failures: 0,
    trips: 0,
    backoffMs: 0,
    probeAt: 0,
});

/** Opens the circuit: no requests are sent until the next probe is due. */
export const openCircuit = (circuit: Circuit, now: Milliseconds, options: BackoffOptions, random: Random): void => {
    const backoff = Math.min(options.maximumEjectionMs, options.ejectionMs * 2 ** circuit.trips);
    circuit.state = "open";
    circuit.trips += 1;
    circuit.backoffMs = backoff * (1 - JITTER_FRACTION + JITTER_FRACTION * random());
    circuit.probeAt = now + circuit.backoffMs;
};

const computeNonRetryableDelay = ({ backoffMs }: Circuit): Milliseconds =>
    Math.min(MAXIMUM_NON_RETRYABLE_DELAY_MS, NON_RETRYABLE_PROBE_FACTOR * backoffMs);

/**
 * Returns whether a request may be sent as a probe. Requests that must not be sent again have to wait much longer, so
 * that the probe is normally a request that can be retried elsewhere if the target is still down. They are used as
 * probes if a service has no other requests.
 */
export const isProbeDue = (circuit: Circuit, now: Milliseconds, canResend: boolean): boolean =>
    circuit.state !== "closed" && now >= circuit.probeAt + (canResend ? 0 : computeNonRetryableDelay(circuit));

/** Marks the circuit as being probed. If the outcome of the probe is never reported, another probe may follow later. */
export const startProbe = (circuit: Circuit, now: Milliseconds): void => {
    circuit.state = "probing";
    circuit.probeAt = now + Math.max(MINIMUM_PROBE_TIMEOUT_MS, PROBE_TIMEOUT_FACTOR * circuit.backoffMs);
};

/** Closes the circuit. The number of trips is kept, so that a relapse leads to a longer ejection. */
export const closeCircuit = (circuit: Circuit): void => {
    circuit.state = "closed";
    circuit.failures = 0;
};

/**
 * Reduces the number of trips, so that the next ejection is shorter. It is called after a number of successful
 * responses.
 */
export const reduceTrips = (circuit: Circuit): void => {
    circuit.trips = Math.max(0, circuit.trips - 1);
};
