/**
 * The waiting requests of a gate, by flow. A flow is what one caller's service of one partner asks of the target. A
 * free slot goes to the flow that holds the fewest, so that a flow that floods the queue waits for itself alone. Flows
 * of a more urgent priority go before all others.
 */
import type { Milliseconds } from "oleandergap-types";
import type { QueueOrder } from "./options.js";

/** With the order `adaptive`, a queue that was never empty for this long is served newest first. */
const STANDING_QUEUE_MS = 100;

/** What the queue needs to know of a waiting request. */
export interface Waiting {
    readonly deadline: Milliseconds;
    /** Time until which an answer is worth most; the deadline when none is. */
    readonly objective: Milliseconds;
}

/** One flow's running and waiting requests. It exists only while it has any. */
export interface Flow<Item extends Waiting> {
    readonly key: string;
    readonly caller: string;
    /** Flows of a lower number start first. */
    readonly priority: number;
    readonly waiting: Item[];
    running: number;
    /** Grows with each start at the gate; the flow served longest ago wins among equals. */
    servedAt: number;
}

/** All flows of one gate. `size` counts waiting requests, not running ones. */
export interface FairQueue<Item extends Waiting> {
    readonly size: () => number;
    readonly flowOf: (caller: string, priority: number) => Flow<Item>;
    readonly add: (flow: Flow<Item>, item: Item, now: Milliseconds) => void;
    /** False when the item no longer waits. */
    readonly remove: (flow: Flow<Item>, item: Item) => boolean;
    /** Takes out the request that starts next. */
    readonly takeNext: (now: Milliseconds) => Item | undefined;
    /** Requests that start before a new one of `flow` with these times would. */
    readonly countAhead: (flow: Flow<Item>, times: Waiting) => number;
    /** Makes room for a request of `flow` in a full queue by taking the newest of a flow that holds more of it. */
    readonly takeExcess: (flow: Flow<Item>) => Item | undefined;
    /** Takes out all waiting requests that `isWanted` names. */
    readonly takeAll: (isWanted: (item: Item, flow: Flow<Item>) => boolean) => readonly Item[];
    readonly markStarted: (flow: Flow<Item>) => void;
    readonly markEnded: (flow: Flow<Item>) => void;
    /** Forgets a flow that neither runs nor waits. */
    readonly dropIfIdle: (flow: Flow<Item>) => void;
}

const indexOfEarliest = (waiting: readonly Waiting[], time: "deadline" | "objective"): number => {
    let best = 0;
    for (let index = 1; index < waiting.length; index++) {
        if ((waiting[index]?.[time] ?? Infinity) < (waiting[best]?.[time] ?? Infinity)) {
            best = index;
        }
    }
    return best;
};

const takeInOrder = <Item extends Waiting>(waiting: Item[], order: QueueOrder): Item | undefined => {
    switch (order) {
        case "newestFirst":
            return waiting.pop();
        case "deadlineFirst":
            return waiting.splice(indexOfEarliest(waiting, "deadline"), 1)[0];
        case "objectiveFirst":
            return waiting.splice(indexOfEarliest(waiting, "objective"), 1)[0];
        default:
            return waiting.shift();
    }
};

/** Requests of the own flow that start before a new one; by arrival, all of them. */
const countEarlier = (waiting: readonly Waiting[], times: Waiting, order: QueueOrder): number => {
    switch (order) {
        case "deadlineFirst":
            return waiting.filter(({ deadline }) => deadline <= times.deadline).length;
        case "objectiveFirst":
            return waiting.filter(({ objective }) => objective <= times.objective).length;
        default:
            return waiting.length;
    }
};

const startsBefore = <Item extends Waiting>(left: Flow<Item>, right: Flow<Item>): boolean => {
    if (left.priority !== right.priority) {
        return left.priority < right.priority;
    }
    return left.running !== right.running ? left.running < right.running : left.servedAt < right.servedAt;
};

const givesWayBefore = <Item extends Waiting>(left: Flow<Item>, right: Flow<Item>): boolean =>
    left.priority !== right.priority ?
        left.priority > right.priority :
        left.waiting.length > right.waiting.length;

/** Whether `other` has to make room for a request of `flow`: it is less urgent, or holds more of the queue. */
const mustGiveWay = <Item extends Waiting>(other: Flow<Item>, flow: Flow<Item>): boolean =>
    other.priority > flow.priority ||
    (other.priority === flow.priority && other.waiting.length > flow.waiting.length + 1);

/** Creates an empty queue; `order` holds within each flow. */
export const createFairQueue = <Item extends Waiting>(order: QueueOrder): FairQueue<Item> => {
    const flows = new Map<string, Flow<Item>>();
    let size = 0;
    let starts = 0;
    let standingSince = 0;

    const dropIfIdle = (flow: Flow<Item>): void => {
        if (flow.running === 0 && flow.waiting.length === 0) {
            flows.delete(flow.key);
        }
    };

    const findNextFlow = (): Flow<Item> | undefined => {
        let next: Flow<Item> | undefined;
        for (const flow of flows.values()) {
            if (flow.waiting.length > 0 && (next === undefined || startsBefore(flow, next))) {
                next = flow;
            }
        }
        return next;
    };

    /** The flow that gives way first: of the least urgent ones that wait, the longest. */
    const findDispensableFlow = (): Flow<Item> | undefined => {
        let found: Flow<Item> | undefined;
        for (const flow of flows.values()) {
            if (flow.waiting.length > 0 && (found === undefined || givesWayBefore(flow, found))) {
                found = flow;
            }
        }
        return found;
    };

    const currentOrder = (now: Milliseconds): QueueOrder => {
        if (order !== "adaptive") {
            return order;
        }
        return now - standingSince > STANDING_QUEUE_MS ? "newestFirst" : "oldestFirst";
    };

    return {
        size: () => size,
        flowOf: (caller, priority) => {
            const key = `${priority} ${caller}`;
            let flow = flows.get(key);
            if (flow === undefined) {
                flow = { key, caller, priority, waiting: [], running: 0, servedAt: starts };
                flows.set(key, flow);
            }
            return flow;
        },
        add: (flow, item, now) => {
            if (size === 0) {
                standingSince = now;
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
            dropIfIdle(flow);
            return true;
        },
        takeNext: (now) => {
            const flow = findNextFlow();
            if (flow === undefined) {
                return undefined;
            }
            size -= 1;
            return takeInOrder(flow.waiting, currentOrder(now));
        },
        countAhead: (flow, times) => {
            const own = countEarlier(flow.waiting, times, order);
            let ahead = own;
            for (const other of flows.values()) {
                if (other.priority < flow.priority) {
                    ahead += other.waiting.length;
                }
                else if (other !== flow && other.priority === flow.priority) {
                    ahead += Math.min(other.waiting.length, own + 1);
                }
            }
            return ahead;
        },
        takeExcess: (flow) => {
            const other = findDispensableFlow();
            if (other === undefined || !mustGiveWay(other, flow)) {
                return undefined;
            }
            size -= 1;
            return other.waiting.pop();
        },
        takeAll: (isWanted) => {
            const taken: Item[] = [];
            for (const flow of [...flows.values()]) {
                const wanted = flow.waiting.filter((item) => isWanted(item, flow));
                if (wanted.length > 0) {
                    const kept = flow.waiting.filter((item) => !wanted.includes(item));
                    flow.waiting.splice(0, flow.waiting.length, ...kept);
                    taken.push(...wanted);
                }
            }
            size -= taken.length;
            return taken;
        },
        dropIfIdle,
        markStarted: (flow) => {
            flow.running += 1;
            starts += 1;
            flow.servedAt = starts;
        },
        markEnded: (flow) => {
            flow.running -= 1;
            dropIfIdle(flow);
        },
    };
};
