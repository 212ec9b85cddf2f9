/**
 * Spreads requests that arrive together over several turns of the event loop.
 *
 * The runtime accepts one connection of each listening socket in a turn (libuv since 1.45). A turn in which a dozen
 * requests are started is long, and callers whose connections wait to be accepted wait for as many turns as there are
 * connections before theirs; after a restart, when the code is slow and everybody connects anew, one would see requests
 * read a second after they were sent, by a process that is never busy for long. With one start in a turn, connections
 * are accepted as fast as requests are started, and a caller that has hung up meanwhile is noticed before its request
 * makes any work.
 */

/** Runs `task` in the next turn of the event loop. */
export type RunNextTurn = (task: () => void) => void;

/** First come, first served. */
export interface TurnQueue {
    /** Runs `task` at once if it is the first of this turn, else in one of the next turns. */
    readonly run: (task: () => void) => void;
    /** Tasks that wait for their turn. */
    readonly size: () => number;
}

/** Creates an empty queue. Tasks must not throw. */
export const createTurnQueue = (runNextTurn: RunNextTurn = (task) => void setImmediate(task)): TurnQueue => {
    let waiting: (() => void)[] = [];
    let next = 0;
    let isTaken = false;

    const takeNext = (): (() => void) | undefined => {
        const task = waiting[next];
        next += 1;
        if (next >= waiting.length) {
            waiting = [];
            next = 0;
        }
        return task;
    };

    const startTurn = (): void => {
        const task = takeNext();
        if (task === undefined) {
            isTaken = false;
            return;
        }
        runNextTurn(startTurn);
        task();
    };

    return {
        run: (task) => {
            if (isTaken) {
                waiting.push(task);
                return;
            }
            isTaken = true;
            runNextTurn(startTurn);
            task();
        },
        size: () => waiting.length - next,
    };
};
