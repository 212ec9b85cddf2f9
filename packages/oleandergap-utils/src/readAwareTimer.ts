/**
 * Timeouts for actions of other processes, which do not count delays of the local process.
 *
 * Node.js runs expired timers before it reads pending input. After a pause, the process would therefore treat every
 * timeout as exceeded, although a response, a heartbeat or an open connection is ready to be read. A process that is
 * short of CPU time would avoid healthy nodes and discard their responses.
 */
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";

/**
 * Number of event loop turns until all pending input is read. Each socket is read once between two turns, and the data
 * and the end of the same socket need two reads.
 */
const TURNS_UNTIL_READ = 2;

const waitForNextTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/**
 * Resolves when all input that has arrived by the time of the call is read. `waitForTurn` resolves in the next turn of
 * the event loop.
 */
export const waitForPendingInput = async (waitForTurn: () => Promise<void> = waitForNextTurn): Promise<void> => {
    for (let count = 0; count < TURNS_UNTIL_READ; count++) {
        await waitForTurn();
    }
};

/**
 * Calls `callback` after `delay`, unless the timer is cancelled before. If the timer fires late, all input that has
 * arrived by then is read first, and the timer can still be cancelled in the meantime.
 */
export const startReadAwareTimer = (clock: Clock, delay: Milliseconds, callback: () => void): CancelTimer => {
    const dueAt = clock.monotonic() + delay;
    let isCancelled = false;
    const cancelTimer = clock.after(delay, () => {
        if (clock.monotonic() <= dueAt) {
            callback();
            return;
        }
        void waitForPendingInput().then(() => isCancelled || callback());
    });
    return () => {
        isCancelled = true;
        cancelTimer();
    };
};
