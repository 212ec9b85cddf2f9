/**
 * Spreads requests that arrive together over several iterations (turns) of the event loop.
 *
 * The runtime accepts one connection per listening socket in each iteration (libuv since 1.45). An iteration that
 * starts a dozen requests is long, and a caller in the accept queue waits for as many iterations as there are
 * connections before it. After a restart, when the code is not optimized yet and all callers reconnect, requests would
 * be read a second after they were sent, although the process is never busy for long. With one start per iteration,
 * connections are accepted as fast as requests are started, and the process detects that a caller has disconnected
 * before it does any work for the request.
 *
 * A process that receives more requests than it can start must not start each of them late. Callers that give up come
 * back on new connections, so that such a process would stay behind for as long as they do. Therefore:
 * - Requests of other nodes hardly wait for those of callers. Another node has admitted them, and if they were late,
 *   the targets would be idle while callers wait for them. The most urgent ones are started first.
 * - While the oldest first request waits for long, the newest one is started first: its caller is still waiting.
 * - Requests that waited for too long are refused, which costs little.
 * - A few connections are accepted for each first request that is started, as the age of a request is unknown before it
 *   is read.
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import { createTaskList, type QueuedTask, type TaskList, type TurnTask } from "./taskList.js";
import { createUrgencyList } from "./urgencyList.js";

/** Runs `task` in the next iteration of the event loop. */
export type RunNextTurn = (task: () => void) => void;

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

/**
 * Maximum number of iterations in a row in which the first requests of connections wait while more connections are
 * accepted. Those that were accepted are started in between, however many connections follow.
 */
const MAX_ACCEPTING_TURNS = 16;

/**
 * Maximum number of iterations in a row that start no request of a caller while requests of other nodes wait. Otherwise
 * the callers of a node whose target many nodes need would never be served.
 */
const MAX_NODE_TURNS = 3;

/**
 * Maximum number of requests of other nodes that are started in one iteration while they wait. An iteration has a cost
 * of its own, and the connections of other nodes are open, so that none of them waits to be accepted.
 */
const MAX_NODE_STARTS = 3;

/** Wait of the oldest request of another node from which on several are started in one iteration. */
const NODES_BEHIND_AFTER_MS: Milliseconds = 10;

/** Wait of the oldest first request from which on the newest one is started first. */
const BEHIND_AFTER_MS: Milliseconds = 100;

/** Wait after which a request of a caller is refused. It leaves the caller time for a second try. */
const MAX_WAIT_MS: Milliseconds = 200;

/**
 * Wait after which a request of another node is refused. Calls of targets expire within a few hundred milliseconds, and
 * a request that is given up while it waits also costs its connection.
 */
const MAX_NODE_WAIT_MS: Milliseconds = 100;

/** Maximum number of requests of one kind that are refused in one iteration because they waited for too long. */
const MAX_OVERDUE_TASKS = 3;

/** The queue as the listener of one kind of senders sees it. */
export interface TurnLane {
    /**
     * Runs `task` immediately if it is the first one in this iteration, otherwise in a later iteration. `priority` is
     * that of a request of another node; lower numbers are started first.
     */
    readonly run: (task: TurnTask, priority?: number) => void;
    /**
     * Like `run`, for the first request of a connection. Delays it by a few iterations, because the connection may have
     * waited in the accept queue for a long time and its remote side may have disconnected. Requests of callers also
     * wait for a limited number of iterations while connections are accepted.
     */
    readonly runFirst: (task: TurnTask, priority?: number) => void;
    /** Records that a connection was accepted in this iteration. */
    readonly recordConnection: () => void;
}

/** A queue of the requests of callers and of other nodes. */
export interface TurnQueue {
    readonly callers: TurnLane;
    /** Requests of other nodes. One or a few are started in each iteration, before one of a caller. */
    readonly nodes: TurnLane;
    /** Returns the number of queued tasks. */
    readonly size: () => number;
}

/** Dependencies of a queue. */
export interface TurnQueueOptions {
    readonly clock: Pick<Clock, "monotonic">;
    /** By default, the next iteration of the event loop of this process. */
    readonly runNextTurn?: RunNextTurn;
}

type OrderedTasks = Pick<TaskList, "oldest" | "takeOldest">;

interface AddTask {
    readonly add: (task: QueuedTask, priority: number) => void;
}

const getPosition = (task: QueuedTask | undefined): number => task?.position ?? Number.POSITIVE_INFINITY;

/** Creates an empty queue. Tasks must not throw. */
export const createTurnQueue = (
    { clock, runNextTurn = (task) => void setImmediate(task) }: TurnQueueOptions,
): TurnQueue => {
    const nodeRequests = createUrgencyList();
    const firstRequests = createTaskList();
    const laterRequests = createTaskList();
    let nextPosition = 0;
    let isTurnScheduled = false;
    let wasConnectionAccepted = false;
    let acceptingTurns = 0;
    let nodeTurns = 0;

    const size = (): number => nodeRequests.size() + firstRequests.size() + laterRequests.size();

    /** Returns whether first requests wait in this iteration, because more connections may wait to be accepted. */
    const isAccepting = (): boolean => {
        const isWaiting = wasConnectionAccepted && firstRequests.size() > 0 && acceptingTurns < MAX_ACCEPTING_TURNS;
        acceptingTurns = isWaiting ? acceptingTurns + 1 : 0;
        wasConnectionAccepted = false;
        return isWaiting;
    };

    /** Returns whether requests of callers wait in this iteration, because more requests of other nodes wait. */
    const isForNodes = (): boolean => {
        const isWaiting = nodeRequests.size() > 0 && nodeTurns < MAX_NODE_TURNS;
        nodeTurns = isWaiting ? nodeTurns + 1 : 0;
        return isWaiting;
    };

    const hasWaited = (task: QueuedTask | undefined, durationMs: Milliseconds): boolean =>
        task !== undefined && clock.monotonic() - task.queuedAt > durationMs;

    const takeFirstRequest = (): QueuedTask | undefined =>
        hasWaited(firstRequests.oldest(), BEHIND_AFTER_MS) ? firstRequests.takeNewest() : firstRequests.takeOldest();

    const takeCallerRequest = (isWithFirst: boolean): QueuedTask | undefined => {
        const isFirstNext = isWithFirst && getPosition(firstRequests.oldest()) < getPosition(laterRequests.oldest());
        return isFirstNext ? takeFirstRequest() : laterRequests.takeOldest();
    };

    /** Runs one task that does work, after those that do none. */
    const runNextOf = (take: () => QueuedTask | undefined): void => {
        for (let emptyTasks = 0; emptyTasks < MAX_EMPTY_TASKS; emptyTasks++) {
            const task = take();
            if (task === undefined || task.run(false)) {
                return;
            }
        }
    };

    const runNodeRequests = (): void => {
        let starts = 0;
        do {
            runNextOf(nodeRequests.takeMostUrgent);
            starts += 1;
        } while (starts < MAX_NODE_STARTS && hasWaited(nodeRequests.oldest(), NODES_BEHIND_AFTER_MS));
    };

    /** Refuses requests that waited for too long. */
    const runOverdue = (list: OrderedTasks, longestMs: Milliseconds): void => {
        for (let count = 0; count < MAX_OVERDUE_TASKS && hasWaited(list.oldest(), longestMs); count++) {
            list.takeOldest()?.run(true);
        }
    };

    const runTurn = (): void => {
        const hadTasks = size() > 0;
        runOverdue(firstRequests, MAX_WAIT_MS);
        runOverdue(laterRequests, MAX_WAIT_MS);
        runOverdue(nodeRequests, MAX_NODE_WAIT_MS);
        runNodeRequests();
        const isWithFirst = !isAccepting();
        if (!isForNodes()) {
            runNextOf(() => takeCallerRequest(isWithFirst));
        }
        if (hadTasks) {
            runNextTurn(runTurn);
        }
        else {
            isTurnScheduled = false;
        }
    };

    const scheduleTurn = (): void => {
        if (!isTurnScheduled) {
            isTurnScheduled = true;
            runNextTurn(runTurn);
        }
    };

    const runIn = (list: AddTask, task: TurnTask, priority: number): void => {
        if (isTurnScheduled) {
            list.add({ position: nextPosition, queuedAt: clock.monotonic(), run: task }, priority);
            nextPosition += 1;
            return;
        }
        scheduleTurn();
        task(false);
    };

    const runAfter = (list: AddTask, turns: number, task: TurnTask, priority: number): void => {
        if (turns === 0) {
            runIn(list, task, priority);
            return;
        }
        runNextTurn(() => runAfter(list, turns - 1, task, priority));
    };

    const createLane = (first: AddTask, later: AddTask, recordConnection: () => void): TurnLane => ({
        run: (task, priority = 0) => runIn(later, task, priority),
        runFirst: (task, priority = 0) => runAfter(first, TURNS_TO_DETECT_CLOSE, task, priority),
        recordConnection,
    });

    return {
        callers: createLane(firstRequests, laterRequests, () => {
            wasConnectionAccepted = true;
            scheduleTurn();
        }),
        nodes: createLane(nodeRequests, nodeRequests, () => undefined),
        size,
    };
};
