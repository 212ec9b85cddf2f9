/** Queued tasks of one kind, in the order in which they were added. */
import type { Milliseconds } from "oleandergap-types";

/**
 * Starts a request. `isOverdue` is true if it waited for too long and should only be refused. Returns false if the task
 * did hardly any work, so that the same iteration can run the next task.
 */
export type TurnTask = (isOverdue: boolean) => boolean;

/** A task that waits to be run. */
export interface QueuedTask {
    /** Position among the tasks of all lists. */
    readonly position: number;
    /** Monotonic time at which the task was added. */
    readonly queuedAt: Milliseconds;
    readonly run: TurnTask;
}

/** A list of tasks from which the oldest and the newest can be taken. */
export interface TaskList {
    readonly add: (task: QueuedTask) => void;
    /** Returns the oldest task without taking it. */
    readonly oldest: () => QueuedTask | undefined;
    readonly takeOldest: () => QueuedTask | undefined;
    readonly takeNewest: () => QueuedTask | undefined;
    readonly size: () => number;
}

/** Creates an empty list. */
export const createTaskList = (): TaskList => {
    /** Tasks that were taken from the front are replaced by undefined, which releases them. */
    let tasks: (QueuedTask | undefined)[] = [];
    let oldestIndex = 0;

    /** Frees the places of the tasks that were taken from the front, once they are the larger part of the array. */
    const removeTaken = (): void => {
        if (2 * oldestIndex > tasks.length) {
            tasks = tasks.slice(oldestIndex);
            oldestIndex = 0;
        }
    };

    return {
        add: (task) => {
            tasks.push(task);
        },
        oldest: () => tasks[oldestIndex],
        takeOldest: () => {
            const task = tasks[oldestIndex];
            if (task !== undefined) {
                tasks[oldestIndex] = undefined;
                oldestIndex += 1;
                removeTaken();
            }
            return task;
        },
        takeNewest: () => {
            const task = tasks.length > oldestIndex ? tasks.pop() : undefined;
            removeTaken();
            return task;
        },
        size: () => tasks.length - oldestIndex,
    };
};
