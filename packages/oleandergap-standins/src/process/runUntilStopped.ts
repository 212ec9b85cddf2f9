/** Runs the stand-in processes until a signal requests a clean stop. */
import { describeError } from "oleandergap-utils";

const EXIT_FAILURE = 1;

/** A running service that can be stopped. */
export interface Stoppable {
    readonly stop: () => Promise<void>;
}

const waitForSignal = (): Promise<void> =>
    new Promise((resolve) => {
        for (const name of ["SIGTERM", "SIGINT"] as const) {
            process.once(name, () => resolve());
        }
    });

/**
 * Starts the service, waits for SIGTERM or SIGINT, and stops the service. Exits the process with 0, or with 1 and the
 * reason on standard error if the start or the stop failed.
 */
export const runUntilStopped = async (start: () => Promise<Stoppable>): Promise<void> => {
    const stopSignal = waitForSignal();
    try {
        const service = await start();
        await stopSignal;
        await service.stop();
        process.exit(0);
    }
    catch (error) {
        process.stderr.write(`${describeError(error)}\n`);
        process.exit(EXIT_FAILURE);
    }
};

/** Writes one line of JSON to standard output, which informs the parent process that this process is ready. */
export const printReadyLine = (fields: Readonly<Record<string, number>>): void => {
    process.stdout.write(`${JSON.stringify({ ready: true, ...fields })}\n`);
};
