/** Recognizes requests that a gate left unanswered because its node lacks processor time. */
import type { Milliseconds, RequestFailure } from "oleandergap-types";

/**
 * Fraction of its time that a caller must have waited before its disconnection counts against the gate. A caller that
 * disconnects earlier might still have received a response.
 */
const MINIMUM_WAIT_SHARE = 0.5;

/** When a request was sent, when it ended, and until when its caller would have waited. */
export interface RequestTimes {
    readonly sentAt: Milliseconds;
    readonly now: Milliseconds;
    readonly deadline: Milliseconds;
    /** Aborts when the caller disconnects. */
    readonly signal: AbortSignal;
}

/** Returns whether a failure means that no response came although the caller waited for long. */
export const wasLeftUnanswered = (
    failure: RequestFailure,
    { sentAt, now, deadline, signal }: RequestTimes,
): boolean => {
    const hasCallerStoppedWaiting = signal.aborted || now >= deadline;
    return failure.kind === "AnswerLost" &&
        hasCallerStoppedWaiting &&
        now - sentAt >= MINIMUM_WAIT_SHARE * (deadline - sentAt);
};
