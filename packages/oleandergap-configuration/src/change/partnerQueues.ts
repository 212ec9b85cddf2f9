/**
 * Runs the changes of each partner sequentially and the changes of different partners concurrently. Changes that one
 * node accepts therefore do not compete for the same head row; only changes on different nodes do.
 */
import type { Clock, Milliseconds, PartnerName } from "oleandergap-types";

/** Weight of the latest run in the moving average of run durations. */
const LATEST_RUN_WEIGHT = 0.2;
/** Assumed duration of a run until the first run has ended, in milliseconds. */
const INITIAL_RUN_ESTIMATE_MS = 20;

/** Result of a queued task. */
export type QueueResult<Value> =
    | { readonly kind: "Ran"; readonly value: Value }
    /** The queue is full; `retryAfterMs` is the estimated time in which it empties. */
    | { readonly kind: "Full"; readonly retryAfterMs: Milliseconds };

/** One task queue for each partner. */
export interface PartnerQueues {
    /** Runs `task` after the earlier tasks of the same partner. The promise rejects if the task rejects. */
    readonly run: <Value>(partner: PartnerName, task: () => Promise<Value>) => Promise<QueueResult<Value>>;
}

interface Queue {
    pendingCount: number;
    averageRunMs: Milliseconds;
    lastTask: Promise<unknown>;
}

/** Creates the queues of one node. At most `maximumWaiting` tasks run or wait in each queue. */
export const createPartnerQueues = (clock: Clock, maximumWaiting: number): PartnerQueues => {
    const queues = new Map<PartnerName, Queue>();

    const getQueue = (partner: PartnerName): Queue => {
        const existing = queues.get(partner);
        if (existing !== undefined) {
            return existing;
        }
        const created: Queue = { pendingCount: 0, averageRunMs: INITIAL_RUN_ESTIMATE_MS, lastTask: Promise.resolve() };
        queues.set(partner, created);
        return created;
    };

    const runTimed = async <Value>(queue: Queue, task: () => Promise<Value>): Promise<Value> => {
        const startedAt = clock.monotonic();
        try {
            return await task();
        }
        finally {
            queue.pendingCount -= 1;
            queue.averageRunMs += LATEST_RUN_WEIGHT * (clock.monotonic() - startedAt - queue.averageRunMs);
        }
    };

    return {
        run: async (partner, task) => {
            const queue = getQueue(partner);
            if (queue.pendingCount >= maximumWaiting) {
                return { kind: "Full", retryAfterMs: Math.ceil(queue.pendingCount * queue.averageRunMs) };
            }
            queue.pendingCount += 1;
            const queuedRun = queue.lastTask.then(() => runTimed(queue, task));
            queue.lastTask = queuedRun.catch(() => undefined);
            return { kind: "Ran", value: await queuedRun };
        },
    };
};
