/**
 * Time limits on what another process does, that do not count this process's own delay.
 *
 * Timers run before what has arrived is read. A process that stood still would take every limit for passed, although an
 * answer, a sign or an open connection lies there; one would see good nodes avoided and answers thrown away by a
 * process that is short of processor time.
 */
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";

/** Sockets are read once between two turns; data and the end of one socket need two. */
const TURNS_TO_CATCH_UP = 2;

const nextTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** Resolves when what has arrived by now is read. `turn` resolves in the next turn of the event loop. */
export const waitTurns = async (turn: () => Promise<void> = nextTurn): Promise<void> => {
    for (let count = 0; count < TURNS_TO_CATCH_UP; count++) {
        await turn();
    }
};

/** Calls `callback` after `delay`; when that comes late, after what has arrived was read, unless cancelled by then. */
export const afterReading = (clock: Clock, delay: Milliseconds, callback: () => void): CancelTimer => {
    const dueAt = clock.monotonic() + delay;
    let isCancelled = false;
    const cancelTimer = clock.after(delay, () => {
        if (clock.monotonic() <= dueAt) {
            callback();
            return;
        }
        void waitTurns().then(() => isCancelled || callback());
    });
    return () => {
        isCancelled = true;
        cancelTimer();
    };
};
