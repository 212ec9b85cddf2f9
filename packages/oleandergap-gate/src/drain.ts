/** Draining of a gate: the gate accepts no new requests, and a promise resolves when the last request has ended. */

/** State of the drain. A drain is started once and cannot be undone; a drained gate is not reused. */
export interface Drain {
    readonly isStarted: () => boolean;
    /** Starts the drain. Resolves when no request is left; further calls return the same promise. */
    readonly start: () => Promise<void>;
    /** Resolves the drain if the gate is empty. Must be called whenever a request has left the gate. */
    readonly resolveIfEmpty: () => void;
}

/** Creates a drain that has not started. `isEmpty` returns whether no request is running or waiting. */
export const createDrain = (isEmpty: () => boolean): Drain => {
    let drainPromise: Promise<void> | undefined;
    let resolveDrain: () => void = () => undefined;

    const resolveIfEmpty = (): void => {
        if (isEmpty()) {
            resolveDrain();
        }
    };

    return {
        isStarted: () => drainPromise !== undefined,
        start: () => {
            drainPromise ??= new Promise((resolve) => {
                resolveDrain = resolve;
            });
            resolveIfEmpty();
            return drainPromise;
        },
        resolveIfEmpty,
    };
};
