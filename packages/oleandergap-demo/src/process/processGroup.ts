/** Tracks all processes of a fleet, so that none of them outlives the fleet. */
import { createEarlyExitError, startChild, type Child, type ChildOptions } from "./childProcess.js";

/** Starts processes and tracks the running ones. */
export interface ProcessGroup {
    readonly start: (options: ChildOptions) => Promise<Child>;
    /** Returns the running processes. */
    readonly running: () => readonly Child[];
    /** Refuses new starts, then kills all processes that are still running. */
    readonly close: () => Promise<void>;
}

/** Creates a process group. `report` receives a message for each process that exits without a stop request. */
export const createProcessGroup = (report: (message: string) => void): ProcessGroup => {
    const children = new Set<Child>();
    const starting = new Set<Promise<Child>>();
    let isClosed = false;

    const killAllNow = (): void => {
        for (const child of children) {
            child.killNow();
        }
    };
    // If the launcher exits because of an uncaught error, nothing else would stop the processes.
    process.once("exit", killAllNow);

    const track = (child: Child): void => {
        children.add(child);
        void child.exited.then(async (exit) => {
            children.delete(child);
            if (!child.isStopRequested()) {
                report((await createEarlyExitError(child.name, exit, child.logFile)).message);
            }
        });
    };

    const start = async (options: ChildOptions): Promise<Child> => {
        if (isClosed) {
            throw new Error(`${options.name} is not started: the fleet is stopping`);
        }
        const started = startChild(options);
        starting.add(started);
        try {
            const child = await started;
            track(child);
            return child;
        }
        finally {
            starting.delete(started);
        }
    };

    const close = async (): Promise<void> => {
        isClosed = true;
        await Promise.allSettled(starting);
        await Promise.all([...children].map((child) => child.kill()));
        process.off("exit", killAllNow);
    };

    return { start, running: () => [...children], close };
};
