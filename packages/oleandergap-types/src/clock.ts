/**
 * The clock interface of the project. Every part that waits or reads the time receives a clock, so that tests can
 * control the time. All values are in milliseconds.
 */

/** A duration or a point in time, in milliseconds. */
export type Milliseconds = number;

/** Conversion factor for rates per second and for times displayed in seconds. */
export const MILLISECONDS_PER_SECOND = 1000;

/** Cancels a timer. Has no effect if the timer has fired or is already cancelled. */
export type CancelTimer = () => void;

/** The only source of time. See `createSystemClock` and `createManualClock` in `oleandergap-utils`. */
export interface Clock {
    /**
     * Returns the wall-clock time since the Unix epoch. It may jump, so use it only for records shown to people, never
     * for measurements.
     */
    readonly now: () => Milliseconds;
    /** Returns the time since an arbitrary origin. It never decreases; use it for leases, timeouts and measurements. */
    readonly monotonic: () => Milliseconds;
    /** Runs `callback` once after `delay`. A pending timer does not keep the process alive. */
    readonly after: (delay: Milliseconds, callback: () => void) => CancelTimer;
    /** Resolves after `delay` or when `signal` aborts, whichever happens first. Never rejects. */
    readonly sleep: (delay: Milliseconds, signal: AbortSignal) => Promise<void>;
}
