/** Abort signals with a time limit that is measured by a `Clock`. */
import { setMaxListeners } from "node:events";
import type { Clock, Milliseconds } from "oleandergap-types";

/** Value with which `setMaxListeners` allows any number of listeners. */
const UNLIMITED = 0;

/** An abort signal that follows another abort signal. */
export interface LinkedSignal {
    /** Aborts when `outer` aborts or `abort` is called. */
    readonly signal: AbortSignal;
    readonly abort: () => void;
    /** Removes the listener from `outer`; call it when the work has ended. */
    readonly release: () => void;
}

/**
 * Creates an abort signal that follows `outer` until it is released.
 *
 * `AbortSignal.any` would do the same, but in Node.js 20 a signal that lives as long as the process retains some memory
 * for each signal derived from it, and retains the whole derived signal while that signal has listeners. The memory
 * usage of a node would therefore grow with each request.
 */
export const linkSignal = (outer?: AbortSignal): LinkedSignal => {
    const controller = new AbortController();
    const abort = (): void => {
        controller.abort();
    };
    if (outer !== undefined) {
        // Each request in flight adds a listener to the signal of the node. The warning of Node.js about too many
        // listeners is meant for listeners that are never removed, so the limit is lifted here.
        setMaxListeners(UNLIMITED, outer);
        outer.addEventListener("abort", abort, { once: true });
    }
    if (outer?.aborted === true) {
        abort();
    }
    return {
        signal: controller.signal,
        abort,
        release: () => {
            outer?.removeEventListener("abort", abort);
        },
    };
};

/** A running time limit. */
export interface TimeLimit {
    /** Aborts when the time limit expires or `outer` aborts. */
    readonly signal: AbortSignal;
    /** Returns true once the time limit has expired. */
    readonly hasExpired: () => boolean;
    /** Stops the timer and removes the listener from `outer`; call it when the work has ended. */
    readonly cancel: () => void;
}

/** Starts a time limit of `limit` milliseconds. */
export const startTimeLimit = (clock: Clock, limit: Milliseconds, outer?: AbortSignal): TimeLimit => {
    const { signal, abort, release } = linkSignal(outer);
    let hasExpired = false;
    const cancelTimer = clock.after(limit, () => {
        hasExpired = true;
        abort();
    });
    return {
        signal,
        hasExpired: () => hasExpired,
        cancel: () => {
            cancelTimer();
            release();
        },
    };
};

/** Returns the result of `work`, or that of `onAbort` as soon as `signal` aborts, even if `work` ignores the signal. */
export const raceAbort = <Result>(
    work: Promise<Result>,
    signal: AbortSignal,
    onAbort: () => Result,
): Promise<Result> =>
    new Promise((resolve, reject) => {
        const handleAbort = (): void => {
            resolve(onAbort());
        };
        if (signal.aborted) {
            handleAbort();
        }
        signal.addEventListener("abort", handleAbort, { once: true });
        work.then(resolve, reject).finally(() => {
            signal.removeEventListener("abort", handleAbort);
        });
    });

/** Returns the result of `call`, whose signal aborts after `limit` milliseconds or when `outer` aborts. */
export const callWithTimeLimit = async <Result>(
    clock: Clock,
    limit: Milliseconds,
    outer: AbortSignal,
    call: (signal: AbortSignal) => Promise<Result>,
): Promise<Result> => {
    const timeLimit = startTimeLimit(clock, limit, outer);
    try {
        return await call(timeLimit.signal);
    }
    finally {
        timeLimit.cancel();
    }
};
