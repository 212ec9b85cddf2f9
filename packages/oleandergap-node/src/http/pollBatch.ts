/**
 * Runs tasks once the event loop has polled for input after they were added. All tasks of one iteration share its
 * callbacks, which cost more than most tasks.
 */

/** Adds a task. Tasks must not throw. */
export type AddToPollBatch = (task: () => void) => void;

/** Creates an empty batch. */
export const createPollBatch = (): AddToPollBatch => {
    /** Tasks that were added since the latest poll. */
    let added: (() => void)[] = [];
    /** Tasks after which the event loop polls before their next turn. */
    let polling: (() => void)[] = [];
    let isScheduled = false;

    const schedule = (): void => {
        isScheduled = added.length > 0 || polling.length > 0;
        if (isScheduled) {
            setImmediate(runPolled);
        }
    };

    const runPolled = (): void => {
        const polled = polling;
        polling = added;
        added = [];
        schedule();
        for (const task of polled) {
            task();
        }
    };

    return (task) => {
        added.push(task);
        if (!isScheduled) {
            schedule();
        }
    };
};
