/** Waits for a promise until a deadline or until the caller disconnects. The underlying work continues. */
import type { Clock, Milliseconds, RequestFailure } from "oleandergap-types";
import { createCancelledFailure, createDeadlineFailure } from "./failures.js";

export type WaitResult<Value> =
    | { readonly kind: "Finished"; readonly value: Value }
    | { readonly kind: "Stopped"; readonly failure: RequestFailure };

/**
 * Retry-after time for a request whose deadline passed while it waited for the platform, in milliseconds. The platform
 * gives no better estimate.
 */
const RETRY_AFTER_SLOW_PLATFORM = 1000;
/** Longest delay that a timer supports, in milliseconds. */
const MAX_TIMER_DELAY = 2 ** 31 - 1;

/**
 * Waits for `work`. `deadline` is a monotonic time, and `signal` aborts when the caller disconnects. Rejects only if
 * `work` rejects.
 */
export const waitUntil = <Value>(
    work: Promise<Value>,
    deadline: Milliseconds,
    clock: Clock,
    signal: AbortSignal,
): Promise<WaitResult<Value>> => new Promise((resolve, reject) => {
    if (signal.aborted) {
        resolve({ kind: "Stopped", failure: createCancelledFailure() });
        return;
    }
    const cleanUp = (): void => {
        cancelTimer();
        signal.removeEventListener("abort", cancel);
    };
    const cancel = (): void => {
        cleanUp();
        resolve({ kind: "Stopped", failure: createCancelledFailure() });
    };
    const delay = Math.min(MAX_TIMER_DELAY, Math.max(0, deadline - clock.monotonic()));
    const cancelTimer = clock.after(delay, () => {
        cleanUp();
        resolve({ kind: "Stopped", failure: createDeadlineFailure(RETRY_AFTER_SLOW_PLATFORM) });
    });
    signal.addEventListener("abort", cancel, { once: true });
    work.then(
        (value) => {
            cleanUp();
            resolve({ kind: "Finished", value });
        },
        (error: unknown) => {
            cleanUp();
            reject(error instanceof Error ? error : new Error(String(error)));
        },
    );
});
