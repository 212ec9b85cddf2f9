/** Applies and logs what the local target states about itself in its responses. */
import type { Gate } from "oleandergap-gate";
import type { Logger, LogContext } from "oleandergap-logger";
import type { Clock, Milliseconds, TargetFeedback } from "oleandergap-types";
import { createFeedbackLog } from "./feedbackLog.js";

/** The statements of one target lifetime. */
export interface FeedbackRecorder {
    /**
     * Records the statements of one response.
     *
     * @param sentAt monotonic time at which the request of the response was sent to the target
     */
    readonly record: (feedback: TargetFeedback, sentAt: Milliseconds) => void;
    /**
     * Applies statements that another node has received, as far as no response has arrived here. After a restart of
     * this node, the other nodes still have them, and the target need not repeat them before the next request is sent.
     */
    readonly adopt: (feedback: TargetFeedback) => void;
    /** Returns the statements in force; undefined if the target has named no limit and no departure. */
    readonly current: () => TargetFeedback | undefined;
}

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
): FeedbackRecorder => {
    const feedbackLog = createFeedbackLog({ clock, logger, target, countRecentRequests: gate.countRecentRequests });
    let limitNamedAt = Number.NEGATIVE_INFINITY;
    let requestLimit: number | undefined;
    let isLeaving = false;
    let hasResponse = false;

    const setLimit = (limit: number | undefined): void => {
        requestLimit = limit;
        gate.setRequestLimit(limit);
    };

    const markLeaving = (): void => {
        isLeaving = true;
        onLeaving();
    };

    const recordLimit = (limit: number | undefined, sentAt: Milliseconds): void => {
        // Responses may arrive in another order than the target sent them. Only the response to a request that was sent
        // after the limit was last named shows that the limit no longer holds.
        if (limit === undefined && sentAt <= limitNamedAt) {
            return;
        }
        if (limit !== undefined) {
            limitNamedAt = clock.monotonic();
        }
        feedbackLog.recordLimit(limit);
        setLimit(limit);
    };

    return {
        record: (feedback, sentAt) => {
            hasResponse = true;
            recordLimit(feedback.requestLimit, sentAt);
            if (feedback.isLeaving) {
                feedbackLog.recordDeparture();
                markLeaving();
            }
        },
        adopt: (feedback) => {
            if (!hasResponse && feedback.requestLimit !== undefined) {
                setLimit(feedback.requestLimit);
            }
            if (feedback.isLeaving && !isLeaving) {
                logger.info("Other nodes report that the target is leaving.", { ...target });
                markLeaving();
            }
        },
        current: () => requestLimit === undefined && !isLeaving ? undefined : { requestLimit, isLeaving },
    };
};
