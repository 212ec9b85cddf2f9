/**
 * Detects event loop lag, caused by a lack of processor time or by a pause of the process.
 *
 * A process with event loop lag reads a request long after it arrived, and reads the end of the caller's connection
 * even later. Without countermeasures, requests would be sent to targets although their callers had disconnected a
 * second ago. While the event loop lags, the process therefore reads all pending input before it forwards a request.
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import { waitForPendingInput } from "oleandergap-utils";

/** Interval between checks while requests arrive. */
const CHECK_INTERVAL_MS: Milliseconds = 50;
/**
 * Interval between checks while no requests arrive. It equals the interval of the node's other periodic work and is
 * aligned with it, so that a check causes no additional wake-up of the process.
 */
const IDLE_CHECK_INTERVAL_MS: Milliseconds = 100;
/** Time since the last request after which the process counts as idle. */
const IDLE_AFTER_MS: Milliseconds = 1000;
/** Delay of a check from which on the process counts as lagging. */
const LAG_THRESHOLD_MS: Milliseconds = 30;
/** Time for which the process counts as lagging after one late check. */
const LAG_HOLD_MS: Milliseconds = 500;

/** Detects event loop lag once `start` has been called. */
export interface EventLoopLagMonitor {
    readonly start: (signal: AbortSignal) => void;
    /**
     * Returns undefined unless the event loop lags; otherwise a promise that resolves when all input that has arrived
     * by now has been read.
     */
    readonly catchUp: () => Promise<void> | undefined;
    /** Returns how long a request that is read now may have waited to be read; 0 unless the event loop lags. */
    readonly recentLag: () => Milliseconds;
    /** Returns by how long checks have been late in total, so that a difference is the time of pauses in between. */
    readonly pausedTime: () => Milliseconds;
}

/** Minimum length of a pause that affects requests and is reported to operators. */
const REPORTED_PAUSE_MS: Milliseconds = 250;

/** Dependencies of the event loop lag detection. */
export interface EventLoopLagOptions {
    readonly clock: Clock;
    /** Called once for each pause longer than 250 ms. */
    readonly onPause: (lagMs: Milliseconds) => void;
    /** Returns a promise that resolves in the next iteration of the event loop. */
    readonly nextTurn?: () => Promise<void>;
}

export const createEventLoopLagMonitor = ({ clock, onPause, nextTurn }: EventLoopLagOptions): EventLoopLagMonitor => {
    let laggingUntil = Number.NEGATIVE_INFINITY;
    /** Longest delay of a check since the process began to lag. */
    let longestLagMs: Milliseconds = 0;
    /** Monotonic time at which the next check is due. */
    let nextCheckAt = Number.POSITIVE_INFINITY;
    let lastRequestAt = Number.NEGATIVE_INFINITY;
    let pausedMs: Milliseconds = 0;

    /**
     * Returns the time of the next check. Idle checks fall on multiples of their interval. Under load, a fixed schedule
     * would place a check directly after a late one and report lag more often than it occurs.
     */
    const computeNextCheck = (now: Milliseconds): Milliseconds =>
        now - lastRequestAt < IDLE_AFTER_MS ?
            now + CHECK_INTERVAL_MS :
            (Math.floor(now / IDLE_CHECK_INTERVAL_MS) + 1) * IDLE_CHECK_INTERVAL_MS;

    /**
     * Evaluated at every check and for every request: after a pause, the event loop may read many requests before it
     * runs the timer of the check, and these are the requests that have waited longest.
     */
    const isLagging = (now: Milliseconds): boolean => {
        const lagMs = now - nextCheckAt;
        if (lagMs > LAG_THRESHOLD_MS) {
            longestLagMs = now < laggingUntil ? Math.max(longestLagMs, lagMs) : lagMs;
            laggingUntil = now + LAG_HOLD_MS;
        }
        return now < laggingUntil;
    };

    const getPresentLag = (now: Milliseconds): Milliseconds => {
        const lagMs = now - nextCheckAt;
        return lagMs > LAG_THRESHOLD_MS ? lagMs : 0;
    };

    const check = (signal: AbortSignal): void => {
        const now = clock.monotonic();
        isLagging(now);
        pausedMs += getPresentLag(now);
        if (now - nextCheckAt > REPORTED_PAUSE_MS) {
            onPause(now - nextCheckAt);
        }
        if (!signal.aborted) {
            nextCheckAt = computeNextCheck(now);
            clock.after(nextCheckAt - now, () => check(signal));
        }
    };

    return {
        start: check,
        catchUp: () => {
            lastRequestAt = clock.monotonic();
            return isLagging(lastRequestAt) ? waitForPendingInput(nextTurn) : undefined;
        },
        pausedTime: () => pausedMs + getPresentLag(clock.monotonic()),
        recentLag: () => isLagging(clock.monotonic()) ? longestLagMs : 0,
    };
};

/** Starts event loop lag detection, which stops when `signal` aborts. */
export const startEventLoopLagMonitor = (options: EventLoopLagOptions, signal: AbortSignal): EventLoopLagMonitor => {
    const monitor = createEventLoopLagMonitor(options);
    monitor.start(signal);
    return monitor;
};
