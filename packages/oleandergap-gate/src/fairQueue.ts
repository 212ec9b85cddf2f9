/**
 * The waiting requests of a gate, grouped by flow. A flow contains the requests that one service of one partner sends
 * to the target. A free slot goes to the flow with the fewest running requests, so that a flow that floods the queue
 * delays only its own requests. Flows with a more urgent priority precede all others.
 */
import type { Milliseconds } from "oleandergap-types";
import type { QueueOrder } from "./options.js";

/** With the order `adaptive`, a queue that has not been empty for this long is served newest first. */
const STANDING_QUEUE_MS = 100;

/** The points in time by which waiting requests are ordered. */
export interface RequestTimes {
    readonly deadline: Milliseconds;
    /** Latency objective of the request; equal to the deadline if the request has no objective. */
    readonly objective: Milliseconds;
}

/** Running and waiting requests of one flow. A flow exists only while it has such requests. */
export interface Flow<Item extends RequestTimes> {
    readonly key: string;
    readonly caller: string;
    /** Flows with a lower number start first. */
    readonly priority: number;
    readonly waiting: Item[];
    running: number;
    /**
     * Sequence number of the flow's last start at the gate. Among equal flows, the one with the lowest number starts
     * next.
     */
    lastStartSequence: number;
}

/** All flows of one gate. `size` counts waiting requests, not running ones. */
export interface FairQueue<Item extends RequestTimes> {
    readonly size: () => number;
    readonly getOrCreateFlow: (caller: string, priority: number) => Flow<Item>;
    readonly add: (flow: Flow<Item>, item: Item, now: Milliseconds) => void;
    /** Removes an item from the queue. Returns false if the item was not waiting. */
    readonly remove: (flow: Flow<Item>, item: Item) => boolean;
    /** Returns the request that starts next. */
    readonly peek: (now: Milliseconds) => Item | undefined;
    /** Removes and returns the request that starts next. */
    readonly dequeue: (now: Milliseconds) => Item | undefined;
    /** Returns the number of waiting requests that would start before a new request of `flow` with these times. */
    readonly countRequestsAhead: (flow: Flow<Item>, times: RequestTimes) => number;
    /**
     * Makes room for a request of `flow` in a full queue: removes and returns the newest request of a flow that is less
     * urgent or occupies more of the queue. Returns undefined if there is no such flow.
     */
    readonly evictFor: (flow: Flow<Item>) => Item | undefined;
    /** Removes and returns all waiting requests for which `isMatch` returns true. */
    readonly removeMatching: (isMatch: (item: Item, flow: Flow<Item>) => boolean) => readonly Item[];
    readonly markStarted: (flow: Flow<Item>) => void;
    readonly markEnded: (flow: Flow<Item>) => void;
    /** Deletes a flow that has neither running nor waiting requests. */
    readonly deleteIfIdle: (flow: Flow<Item>) => void;
}

const findEarliestIndex = (waiting: readonly RequestTimes[], time: "deadline" | "objective"): number => {
    let best = 0;
    for (let index = 1; index < waiting.length; index++) {
        if ((waiting[index]?.[time] ?? Infinity) < (waiting[best]?.[time] ?? Infinity)) {
            best = index;
        }
    }
    return best;
};

/** Returns the index of the request that starts next. One must be waiting. */
const findNextIndex = (waiting: readonly RequestTimes[], order: QueueOrder): number => {
    switch (order) {
        case "newestFirst":
            return waiting.length - 1;
        case "deadlineFirst":
            return findEarliestIndex(waiting, "deadline");
        case "objectiveFirst":
            return findEarliestIndex(waiting, "objective");
        default:
            return 0;
    }
};

/**
 * Counts the requests in the same flow that start before a new one. In arrival order, these are all waiting requests.
 */
const countEarlier = (waiting: readonly RequestTimes[], times: RequestTimes, order: QueueOrder): number => {
    switch (order) {
        case "deadlineFirst":
            return waiting.filter(({ deadline }) => deadline <= times.deadline).length;
        case "objectiveFirst":
            return waiting.filter(({ objective }) => objective <= times.objective).length;
        default:
            return waiting.length;
    }
};

const startsBefore = <Item extends RequestTimes>(left: Flow<Item>, right: Flow<Item>): boolean => {
    if (left.priority !== right.priority) {
        return left.priority < right.priority;
    }
    return left.running !== right.running ?
        left.running < right.running :
        left.lastStartSequence < right.lastStartSequence;
};

const isEvictedBefore = <Item extends RequestTimes>(left: Flow<Item>, right: Flow<Item>): boolean =>
    left.priority !== right.priority ?
        left.priority > right.priority :
        left.waiting.length > right.waiting.length;

/**
 * Returns whether `candidate` has to make room for a request of `flow`: it is less urgent, or occupies more of the
 * queue.
 */
const isEvictableFor = <Item extends RequestTimes>(candidate: Flow<Item>, flow: Flow<Item>): boolean =>
    candidate.priority > flow.priority ||
    (candidate.priority === flow.priority && candidate.waiting.length > flow.waiting.length + 1);

/** Creates an empty queue. `order` applies within each flow. */
export const createFairQueue = <Item extends RequestTimes>(order: QueueOrder): FairQueue<Item> => {
    const flows = new Map<string, Flow<Item>>();
    let size = 0;
    let startCount = 0;
    let nonEmptySince = 0;

    const deleteIfIdle = (flow: Flow<Item>): void => {
        if (flow.running === 0 && flow.waiting.length === 0) {
            flows.delete(flow.key);
        }
    };

    const findNextFlow = (): Flow<Item> | undefined => {
        let nextFlow: Flow<Item> | undefined;
        for (const flow of flows.values()) {
            if (flow.waiting.length > 0 && (nextFlow === undefined || startsBefore(flow, nextFlow))) {
                nextFlow = flow;
            }
        }
        return nextFlow;
    };

    /**
     * Returns the flow that has to make room first: among the least urgent flows with waiting requests, the longest.
     */
    const findEvictionCandidate = (): Flow<Item> | undefined => {
        let candidate: Flow<Item> | undefined;
        for (const flow of flows.values()) {
            if (flow.waiting.length > 0 && (candidate === undefined || isEvictedBefore(flow, candidate))) {
                candidate = flow;
            }
        }
        return candidate;
    };

    const getCurrentOrder = (now: Milliseconds): QueueOrder => {
        if (order !== "adaptive") {
            return order;
        }
        return now - nonEmptySince > STANDING_QUEUE_MS ? "newestFirst" : "oldestFirst";
    };

    return {
        size: () => size,
        getOrCreateFlow: (caller, priority) => {
            const key = `${priority} ${caller}`;
            let flow = flows.get(key);
            if (flow === undefined) {
                flow = { key, caller, priority, waiting: [], running: 0, lastStartSequence: startCount };
                flows.set(key, flow);
            }
            return flow;
        },
        add: (flow, item, now) => {
            if (size === 0) {
                nonEmptySince = now;
            }
            flow.waiting.push(item);
            size += 1;
        },
        remove: (flow, item) => {
            const index = flow.waiting.indexOf(item);
            if (index < 0) {
                return false;
            }
            flow.waiting.splice(index, 1);
            size -= 1;
            deleteIfIdle(flow);
            return true;
        },
        peek: (now) => {
            const flow = findNextFlow();
            return flow?.waiting[findNextIndex(flow.waiting, getCurrentOrder(now))];
        },
        dequeue: (now) => {
            const flow = findNextFlow();
            if (flow === undefined) {
                return undefined;
            }
            size -= 1;
            return flow.waiting.splice(findNextIndex(flow.waiting, getCurrentOrder(now)), 1)[0];
        },
        countRequestsAhead: (flow, times) => {
            const ownRequestsAhead = countEarlier(flow.waiting, times, order);
            let requestsAhead = ownRequestsAhead;
            for (const other of flows.values()) {
                if (other.priority < flow.priority) {
                    requestsAhead += other.waiting.length;
                }
                else if (other !== flow && other.priority === flow.priority) {
                    requestsAhead += Math.min(other.waiting.length, ownRequestsAhead + 1);
                }
            }
            return requestsAhead;
        },
        evictFor: (flow) => {
            const candidate = findEvictionCandidate();
            if (candidate === undefined || !isEvictableFor(candidate, flow)) {
                return undefined;
            }
            size -= 1;
            return candidate.waiting.pop();
        },
        removeMatching: (isMatch) => {
            const removed: Item[] = [];
            for (const flow of [...flows.values()]) {
                const matching = flow.waiting.filter((item) => isMatch(item, flow));
                if (matching.length > 0) {
                    const remaining = flow.waiting.filter((item) => !matching.includes(item));
                    flow.waiting.splice(0, flow.waiting.length, ...remaining);
                    removed.push(...matching);
                }
            }
            size -= removed.length;
            return removed;
        },
        deleteIfIdle,
        markStarted: (flow) => {
            flow.running += 1;
            startCount += 1;
            flow.lastStartSequence = startCount;
        },
        markEnded: (flow) => {
            flow.running -= 1;
            deleteIfIdle(flow);
        },
    };
};
