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

/** False when there was hardly anything to do, so that the turn has room for the next task. */
export type TurnTask = () => boolean;

/**
 * Turns after which the end of a connection is known that had come before its first request was read: the end is read
 * in the turn after the data, and told in the one after that.
 */
const TURNS_TO_NOTICE_END = 2;

/**
 * Tasks without work that one turn takes at most, so that a turn stays short.
 *
 * A node that is behind finds many callers gone. If each of them took a turn, those that still wait would be reached
 * later than they wait as well; one would see a node read only requests that nobody waits for any more.
 */
const MOST_IDLE_TASKS = 16;

/** First come, first served. */
export interface TurnQueue {
    /** Runs `task` at once if it is the first of this turn, else in one of the next turns. */
    readonly run: (task: TurnTask) => void;
    /**
     * Like `run`, for the first request of a connection: some turns later, since the connection may have waited long to
     * be accepted, and its other side may have gone.
     */
    readonly runFirst: (task: TurnTask) => void;
    /** Tasks that wait for their turn. */
    readonly size: () => number;
}

/** Creates an empty queue. Tasks must not throw. */
export const createTurnQueue = (runNextTurn: RunNextTurn = (task) => void setImmediate(task)): TurnQueue => {
    let waiting: TurnTask[] = [];
    let next = 0;
    let isTaken = false;

    const takeNext = (): TurnTask | undefined => {
        const task = waiting[next];
        next += 1;
        if (next >= waiting.length) {
            waiting = [];
            next = 0;
        }
        return task;
    };

    /** False when nothing waits. */
    const runWaiting = (): boolean => {
        for (let idle = 0; idle < MOST_IDLE_TASKS; idle++) {
            const task = takeNext();
            if (task === undefined) {
                return idle > 0;
            }
            if (task()) {
                return true;
            }
        }
        return true;
    };

    const startTurn = (): void => {
        if (runWaiting()) {
            runNextTurn(startTurn);
        }
        else {
            isTaken = false;
        }
    };

    const run: TurnQueue["run"] = (task) => {
        if (isTaken) {
            waiting.push(task);
            return;
        }
        isTaken = true;
        runNextTurn(startTurn);
        task();
    };

    const runAfter = (turns: number, task: TurnTask): void => {
        if (turns === 0) {
            run(task);
            return;
        }
        runNextTurn(() => runAfter(turns - 1, task));
    };

    return {
        run,
        runFirst: (task) => runAfter(TURNS_TO_NOTICE_END, task),
        size: () => waiting.length - next,
    };
};
