/**
 * Detects event loop lag, caused by a lack of processor time or by a pause of the process.
 *
 * A process with event loop lag reads a request long after it arrived, and only later reads that the caller has closed
 * the connection in the meantime. Without countermeasures, requests would be sent to targets although their callers had
 * left a second ago. While the event loop lags, the process therefore reads all pending input before it forwards a
 * request.
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import { waitTurns } from "oleandergap-utils";

/** Interval between checks while requests arrive. */
const LOOK_INTERVAL_MS: Milliseconds = 50;
/**
 * Interval between checks while no requests arrive. It equals the interval of the node's other periodic work and is
 * aligned with it, so that a check causes no additional wake-up of the process.
 */
const QUIET_INTERVAL_MS: Milliseconds = 100;
/** Time since the last request after which the process counts as idle. */
const QUIET_AFTER_MS: Milliseconds = 1000;
/** Delay of a check from which on the process counts as lagging. */
const BEHIND_MS: Milliseconds = 30;
/** Time for which the process counts as lagging after one late check. */
const MEMORY_MS: Milliseconds = 500;

/** Detects event loop lag once `start` has been called. */
export interface LoopLag {
    readonly start: (signal: AbortSignal) => void;
    /**
     * Returns undefined unless the event loop lags; otherwise a promise that resolves when all input that has arrived
     * by now has been read.
     */
    readonly catchUp: () => Promise<void> | undefined;
}

/** Minimum length of a pause that affects requests and is reported to operators. */
const NOTEWORTHY_MS: Milliseconds = 250;

/** Dependencies of the event loop lag detection. */
export interface LoopLagOptions {
    readonly clock: Clock;
    /** Called once for each pause longer than 250 ms. */
    readonly onPause: (lagMs: Milliseconds) => void;
    /** Returns a promise that resolves in the next iteration of the event loop. */
    readonly turn?: () => Promise<void>;
}

export const createLoopLag = ({ clock, onPause, turn }: LoopLagOptions): LoopLag => {
    let behindUntil = Number.NEGATIVE_INFINITY;
    /** Monotonic time at which the next check is due. */
    let dueAt = Number.POSITIVE_INFINITY;
    let askedAt = Number.NEGATIVE_INFINITY;

    /**
     * Returns the time of the next check. Idle checks fall on multiples of their interval. Under load, a fixed schedule
     * would place a check directly after a late one and report lag more often than it occurs.
     */
    const nextLook = (now: Milliseconds): Milliseconds =>
        now - askedAt < QUIET_AFTER_MS ?
            now + LOOK_INTERVAL_MS :
            (Math.floor(now / QUIET_INTERVAL_MS) + 1) * QUIET_INTERVAL_MS;

    /**
     * Evaluated at every check and for every request: after a pause, the event loop may read many requests before it
     * runs the timer of the check, and these are the requests that have waited longest.
     */
    const isBehind = (now: Milliseconds): boolean => {
        if (now - dueAt > BEHIND_MS) {
            behindUntil = now + MEMORY_MS;
        }
        return now < behindUntil;
    };

    const look = (signal: AbortSignal): void => {
        const now = clock.monotonic();
        isBehind(now);
        if (now - dueAt > NOTEWORTHY_MS) {
            onPause(now - dueAt);
        }
        if (!signal.aborted) {
            dueAt = nextLook(now);
            clock.after(dueAt - now, () => look(signal));
        }
    };

    return {
        start: look,
        catchUp: () => {
            askedAt = clock.monotonic();
            return isBehind(askedAt) ? waitTurns(turn) : undefined;
        },
    };
};

/** Starts event loop lag detection, which stops when `signal` aborts. */
export const startLoopLag = (options: LoopLagOptions, signal: AbortSignal): LoopLag => {
    const lag = createLoopLag(options);
    lag.start(signal);
    return lag;
};
