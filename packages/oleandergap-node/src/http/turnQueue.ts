/**
 * Spreads requests that arrive together over several iterations (turns) of the event loop.
 *
 * The runtime accepts one connection per listening socket in each iteration (libuv since 1.45). An iteration that
 * starts a dozen requests is long, and a caller in the accept queue waits for as many iterations as there are
 * connections before it. After a restart, when the code is not optimized yet and all callers reconnect, requests would
 * be read a second after they were sent, although the process is never busy for long. With one start per iteration,
 * connections are accepted as fast as requests are started, and the process detects that a caller has disconnected
 * before it does any work for the request.
 */

/** Runs `task` in the next iteration of the event loop. */
export type RunNextTurn = (task: () => void) => void;

/** Returns false if the task did hardly any work, so that the same iteration can run the next task. */
export type TurnTask = () => boolean;

/**
 * Number of iterations after which the end of a connection is known if it arrived before the first request was read:
 * the end is read in the iteration after the data and reported in the following one.
 */
const TURNS_TO_DETECT_CLOSE = 2;

/**
 * Maximum number of tasks without work in one iteration, which keeps iterations short.
 *
 * A node with event loop lag finds that many callers have disconnected. If each of their requests took an iteration,
 * the remaining requests would be started after their callers have disconnected as well, and the node would only
 * process requests without a caller.
 */
const MAX_EMPTY_TASKS = 16;

/** A first-in, first-out queue of tasks. */
export interface TurnQueue {
    /** Runs `task` immediately if it is the first one in this iteration, otherwise in a later iteration. */
    readonly run: (task: TurnTask) => void;
    /**
     * Like `run`, for the first request of a connection. Delays it by a few iterations, because the connection may have
     * waited in the accept queue for a long time and its remote side may have disconnected.
     */
    readonly runFirst: (task: TurnTask) => void;
    /** Returns the number of queued tasks. */
    readonly size: () => number;
}

/** Creates an empty queue. Tasks must not throw. */
export const createTurnQueue = (runNextTurn: RunNextTurn = (task) => void setImmediate(task)): TurnQueue => {
    let queuedTasks: TurnTask[] = [];
    let nextIndex = 0;
    let isTurnScheduled = false;

    const dequeueTask = (): TurnTask | undefined => {
        const task = queuedTasks[nextIndex];
        nextIndex += 1;
        if (nextIndex >= queuedTasks.length) {
            queuedTasks = [];
            nextIndex = 0;
        }
        return task;
    };

    /** Runs queued tasks. Returns false when the queue is empty. */
    const runQueuedTasks = (): boolean => {
        for (let emptyTasks = 0; emptyTasks < MAX_EMPTY_TASKS; emptyTasks++) {
            const task = dequeueTask();
            if (task === undefined) {
                return emptyTasks > 0;
            }
            if (task()) {
                return true;
            }
        }
        return true;
    };

    const runTurn = (): void => {
        if (runQueuedTasks()) {
            runNextTurn(runTurn);
        }
        else {
            isTurnScheduled = false;
        }
    };

    const run: TurnQueue["run"] = (task) => {
        if (isTurnScheduled) {
            queuedTasks.push(task);
            return;
        }
        isTurnScheduled = true;
        runNextTurn(runTurn);
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
        runFirst: (task) => runAfter(TURNS_TO_DETECT_CLOSE, task),
        size: () => queuedTasks.length - nextIndex,
    };
};
