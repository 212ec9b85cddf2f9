/** Queued tasks of different priorities, each in the order in which they were added. */
import { createTaskList, type QueuedTask, type TaskList } from "./taskList.js";

/** Maximum number of priorities that are kept apart. Less urgent ones count as the last of them. */
const MAX_PRIORITIES = 16;

/** A list of tasks from which the most urgent and the oldest can be taken. */
export interface UrgencyList extends Pick<TaskList, "oldest" | "takeOldest" | "size"> {
    /** Adds a task. Tasks with a lower priority number are more urgent. */
    readonly add: (task: QueuedTask, priority: number) => void;
    /** Takes the oldest of the most urgent tasks. */
    readonly takeMostUrgent: () => QueuedTask | undefined;
}

/** Creates an empty list. */
export const createUrgencyList = (): UrgencyList => {
    /** One list for each priority, the most urgent first. */
    const listsByPriority: TaskList[] = Array.from({ length: MAX_PRIORITIES }, createTaskList);
    let size = 0;

    const takeFrom = (list: TaskList | undefined): QueuedTask | undefined => {
        const task = list?.takeOldest();
        size -= task === undefined ? 0 : 1;
        return task;
    };

    const findOldestList = (): TaskList | undefined => {
        let found: TaskList | undefined;
        for (const list of listsByPriority) {
            const position = list.oldest()?.position ?? Number.POSITIVE_INFINITY;
            found = position < (found?.oldest()?.position ?? Number.POSITIVE_INFINITY) ? list : found;
        }
        return found;
    };

    return {
        add: (task, priority) => {
            listsByPriority[Math.min(Math.max(0, priority), MAX_PRIORITIES - 1)]?.add(task);
            size += 1;
        },
        oldest: () => size === 0 ? undefined : findOldestList()?.oldest(),
        takeOldest: () => size === 0 ? undefined : takeFrom(findOldestList()),
        takeMostUrgent: () => size === 0 ? undefined : takeFrom(listsByPriority.find((list) => list.size() > 0)),
        size: () => size,
    };
};
