/** Waits for a promise until a deadline or until the caller disconnects. The work behind the promise continues. */
import type { Clock, Milliseconds, RequestFailure } from "oleandergap-types";
import { createCancelledFailure, createDeadlineFailure } from "./failures.js";

export type WaitResult<Value> =
    | { readonly kind: "Finished"; readonly value: Value }
    | { readonly kind: "GaveUp"; readonly failure: RequestFailure };

/**
 * Retry-after time for a request whose deadline passed while it waited for the platform, in milliseconds. The platform
 * gives no better estimate.
 */
const RETRY_AFTER_SLOW_PLATFORM = 1000;
/** Longest delay that a timer supports, in milliseconds. */
const MAX_TIMER_DELAY = 2 ** 31 - 1;

/** `deadline` is a monotonic time; `signal` aborts when the caller disconnects. Rejects only if `work` rejects. */
export const waitUntil = <Value>(
    work: Promise<Value>,
    deadline: Milliseconds,
    clock: Clock,
    signal: AbortSignal,
): Promise<WaitResult<Value>> => new Promise((resolve, reject) => {
    if (signal.aborted) {
        resolve({ kind: "GaveUp", failure: createCancelledFailure() });
        return;
    }
    const cleanUp = (): void => {
        cancelTimer();
        signal.removeEventListener("abort", cancel);
    };
    const cancel = (): void => {
        cleanUp();
        resolve({ kind: "GaveUp", failure: createCancelledFailure() });
    };
    const delay = Math.min(MAX_TIMER_DELAY, Math.max(0, deadline - clock.monotonic()));
    const cancelTimer = clock.after(delay, () => {
        cleanUp();
        resolve({ kind: "GaveUp", failure: createDeadlineFailure(RETRY_AFTER_SLOW_PLATFORM) });
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
