/**
 * Ejection with growing back-off, for a target or a whole zone. After each back-off a single request is let through;
 * its success closes the circuit, its failure opens it for longer.
 *
 * Without the single probing request, all callers would return at once to a target that is still down, or starting
 * under their very load; one would see errors in bursts at the distance of the back-off.
 */
import type { Milliseconds } from "oleandergap-types";
import type { Random } from "oleandergap-utils";

/** A probe that was never reported back is forgotten after this many back-offs. */
const PROBE_TIMEOUT_FACTOR = 2;
/**
 * And not before this time, longer than a usual request takes. After a back-off that was cut short to nothing, every
 * request would otherwise be a probe; one would see all requests of a node go to a target that is still cut off.
 */
const MINIMUM_PROBE_TIMEOUT_MS = 500;
/** Requests that may not be sent again probe only after so many back-offs more, within the bound below. */
const UNSAFE_PROBE_FACTOR = 10;
const MAXIMUM_UNSAFE_DELAY_MS = 30_000;
/** Part of each back-off that is drawn at random, so that callers do not probe in step. */
const JITTER = 0.5;

/** The state of one circuit breaker. */
export interface Circuit {
    state: "closed" | "open" | "probing";
    /** Failures since the last success. */
    failures: number;
    /** How often it opened, less one for each run of answers; sets the back-off. */
    trips: number;
    backoffMs: Milliseconds;
    /** When the next probe may go out, on the monotonic clock. */
    probeAt: Milliseconds;
}

/** Bounds of the back-off; it doubles with each trip. */
export interface BackoffOptions {
    readonly ejectionMs: Milliseconds;
    readonly maximumEjectionMs: Milliseconds;
}

/** Starts closed. */
export const createCircuit = (): Circuit => ({
    state: "closed",
    failures: 0,
    trips: 0,
    backoffMs: 0,
    probeAt: 0,
});

/** Stops the requests until the next probe is due. */
export const openCircuit = (circuit: Circuit, now: Milliseconds, options: BackoffOptions, random: Random): void => {
    const backoff = Math.min(options.maximumEjectionMs, options.ejectionMs * 2 ** circuit.trips);
    circuit.state = "open";
    circuit.trips += 1;
    circuit.backoffMs = backoff * (1 - JITTER + JITTER * random());
    circuit.probeAt = now + circuit.backoffMs;
};

const unsafeDelay = ({ backoffMs }: Circuit): Milliseconds =>
    Math.min(MAXIMUM_UNSAFE_DELAY_MS, UNSAFE_PROBE_FACTOR * backoffMs);

/**
 * Whether a request may go out as the probe. Requests that may not be sent again wait for much longer, so that the
 * probe is a request that can be saved if the target is still dead; they serve where a service has no other requests.
 */
export const isProbeDue = (circuit: Circuit, now: Milliseconds, canResend: boolean): boolean =>
    circuit.state !== "closed" && now >= circuit.probeAt + (canResend ? 0 : unsafeDelay(circuit));

/** Lets one request through. If its outcome never comes, another one may follow later. */
export const startProbe = (circuit: Circuit, now: Milliseconds): void => {
    circuit.state = "probing";
    circuit.probeAt = now + Math.max(MINIMUM_PROBE_TIMEOUT_MS, PROBE_TIMEOUT_FACTOR * circuit.backoffMs);
};

/** Lets all requests through again; the number of trips stays, so that a relapse is ejected for longer. */
export const closeCircuit = (circuit: Circuit): void => {
    circuit.state = "closed";
    circuit.failures = 0;
};

/** Makes the next ejection shorter again, after a number of answers. */
export const reduceTrips = (circuit: Circuit): void => {
    circuit.trips = Math.max(0, circuit.trips - 1);
};
