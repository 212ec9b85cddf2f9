/**
 * Draining of a gate: the gate accepts no new requests, waiting requests start for a limited time, and a promise
 * resolves when the last request has ended.
 */
import type { Clock, Milliseconds } from "oleandergap-types";

/** State of the drain. A drain is started once and cannot be undone; a drained gate is not reused. */
export interface Drain {
    readonly isStarted: () => boolean;
    /**
     * Starts the drain. Resolves when no request is left; further calls return the same promise.
     *
     * @param startsForMs time from now after which no request starts any more; by default, they start without a limit
     */
    readonly start: (startsForMs?: Milliseconds) => Promise<void>;
    /** Returns whether requests may start. By time alone, because a timer is late after the process stood still. */
    readonly mayStart: () => boolean;
    /** Lets no request start from now on. */
    readonly endStarts: () => void;
    /** Resolves the drain if the gate is empty. Must be called whenever a request has left the gate. */
    readonly resolveIfEmpty: () => void;
}

/** Creates a drain that has not started. `isEmpty` returns whether no request is running or waiting. */
export const createDrain = (clock: Pick<Clock, "monotonic">, isEmpty: () => boolean): Drain => {
    /** Monotonic time from which on no request starts. */
    let startsUntil = Number.POSITIVE_INFINITY;
    let drainPromise: Promise<void> | undefined;
    let resolveDrain: () => void = () => undefined;

    const resolveIfEmpty = (): void => {
        if (isEmpty()) {
            resolveDrain();
        }
    };

    const limitStarts = (durationMs: Milliseconds): void => {
        startsUntil = Math.min(startsUntil, clock.monotonic() + durationMs);
    };

    return {
        isStarted: () => drainPromise !== undefined,
        start: (startsForMs = Number.POSITIVE_INFINITY) => {
            limitStarts(startsForMs);
            drainPromise ??= new Promise((resolve) => {
                resolveDrain = resolve;
            });
            resolveIfEmpty();
            return drainPromise;
        },
        mayStart: () => clock.monotonic() < startsUntil,
        endStarts: () => limitStarts(0),
        resolveIfEmpty,
    };
};
