/** Waits for a state of another process by polling. */
import { createSystemClock } from "oleandergap-utils";
import type { Milliseconds } from "oleandergap-types";

/** Options of a wait. */
export interface WaitOptions {
    /** Awaited state, used in the error message, for example `node hall-a-1 is ready`. */
    readonly description: string;
    readonly timeoutMs: Milliseconds;
    readonly signal: AbortSignal;
    readonly intervalMs?: Milliseconds;
}

const DEFAULT_INTERVAL: Milliseconds = 100;

/**
 * Calls `probe` repeatedly until it returns a value. Rejects with an error that contains the result of `describeLast`
 * when the timeout expires, and with the reason of the signal when it aborts. Errors of the probe are passed on.
 */
export const waitForValue = async <Value>(
    { description, timeoutMs, signal, intervalMs = DEFAULT_INTERVAL }: WaitOptions,
    probe: () => Promise<Value | undefined>,
    describeLast: () => string = () => "not observed",
): Promise<Value> => {
    const clock = createSystemClock();
    const deadline = clock.monotonic() + timeoutMs;
    for (;;) {
        signal.throwIfAborted();
        const value = await probe();
        if (value !== undefined) {
            return value;
        }
        if (clock.monotonic() >= deadline) {
            throw new Error(`timed out after ${timeoutMs} ms waiting until ${description}: ${describeLast()}`);
        }
        await clock.sleep(intervalMs, signal);
    }
};
