/** Applies and logs what the local target states about itself in its responses. */
import type { Gate } from "oleandergap-gate";
import type { Logger, LogContext } from "oleandergap-logger";
import type { Clock, Milliseconds, TargetFeedback } from "oleandergap-types";
import { createFeedbackLog } from "./feedbackLog.js";

/**
 * Records the statements of one response.
 *
 * @param sentAt monotonic time at which the request of the response was sent to the target
 */
export type RecordFeedback = (feedback: TargetFeedback, sentAt: Milliseconds) => void;

/** Dependencies of the recorder of one target lifetime. */
export interface FeedbackRecorderDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    /** Describes the target in log lines. */
    readonly target: LogContext;
    readonly gate: Pick<Gate, "setRequestLimit" | "countRecentRequests">;
    /** Called when a response states that the target will stop soon. */
    readonly onLeaving: () => void;
}

/** Creates the recorder of one target lifetime. */
export const createFeedbackRecorder = (
    { clock, logger, target, gate, onLeaving }: FeedbackRecorderDependencies,
): RecordFeedback => {
    const logFeedback = createFeedbackLog({ clock, logger, target, countRecentRequests: gate.countRecentRequests });
    let limitNamedAt = Number.NEGATIVE_INFINITY;

    const recordLimit = ({ requestLimit }: TargetFeedback, sentAt: Milliseconds): void => {
        // Responses may arrive in another order than the target sent them. Only the response to a request that was sent
        // after the limit was last named shows that the limit no longer holds.
        if (requestLimit === undefined && sentAt <= limitNamedAt) {
            return;
        }
        if (requestLimit !== undefined) {
            limitNamedAt = clock.monotonic();
        }
        gate.setRequestLimit(requestLimit);
    };

    return (feedback, sentAt) => {
        logFeedback(feedback);
        recordLimit(feedback, sentAt);
        if (feedback.isLeaving) {
            onLeaving();
        }
    };
};
