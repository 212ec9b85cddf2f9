/**
 * Waits for work that needs the platform, until the platform's response is overdue. A platform that accepts connections
 * but never responds causes no error; without this limit each caller would wait until its deadline before it is
 * refused.
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import { waitUntil, type WaitResult } from "./waitUntil.js";

export interface ResponseWait {
    /** Monotonic time at which the caller stops waiting for a response. */
    readonly deadline: Milliseconds;
    /**
     * Returns the monotonic time at which a response of the platform is overdue. It is read again each time it is
     * reached, because each response moves it.
     */
    readonly getResponseDeadline: () => Milliseconds;
    readonly clock: Clock;
    readonly signal: AbortSignal;
}

/** Resolves with `Silent` when the platform's response is overdue before the deadline. */
export const waitForResponse = async <Value>(
    work: Promise<Value>,
    { deadline, getResponseDeadline, clock, signal }: ResponseWait,
): Promise<WaitResult<Value> | { readonly kind: "Silent" }> => {
    for (;;) {
        const responseDeadline = getResponseDeadline();
        const result = await waitUntil(work, Math.min(deadline, responseDeadline), clock, signal);
        if (result.kind === "Finished" || signal.aborted || responseDeadline >= deadline) {
            return result;
        }
        if (getResponseDeadline() <= clock.monotonic()) {
            return { kind: "Silent" };
        }
    }
};
