/** Logs what the local target states about itself in its responses, with the number of requests that it gets. */
import type { Logger, LogContext } from "oleandergap-logger";
import type { Clock, Milliseconds } from "oleandergap-types";

/** Interval between two lines about the requests at a target that names a limit. */
const REPORT_PERIOD_MS: Milliseconds = 4000;
const RATE_PERIOD_MS: Milliseconds = 1000;

/** The log of one target lifetime. */
export interface FeedbackLog {
    /** Writes a line if the limit (requests per second) has changed, and one per period while there is one. */
    readonly recordLimit: (requestLimit: number | undefined) => void;
    /** Writes a line at the first call. */
    readonly recordDeparture: () => void;
}

/** Dependencies of the log of one target lifetime. */
export interface FeedbackLogDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    /** Describes the target in each line. */
    readonly target: LogContext;
    /** Returns the number of requests that were sent to the target in the last `periodMs`. */
    readonly countRecentRequests: (periodMs: Milliseconds) => number;
}

/** Creates the log of one target lifetime. */
export const createFeedbackLog = (
    { clock, logger, target, countRecentRequests }: FeedbackLogDependencies,
): FeedbackLog => {
    let loggedLimit: number | undefined;
    let isLeaving = false;
    let reportedAt = Number.NEGATIVE_INFINITY;

    const logChangedLimit = (requestLimit: number | undefined): void => {
        const message = requestLimit === undefined ?
            "The target no longer names a request limit." :
            "The target names a request limit.";
        logger.info(message, { ...target, requestLimit, sentLastSecond: countRecentRequests(RATE_PERIOD_MS) });
    };

    const recordLimit: FeedbackLog["recordLimit"] = (requestLimit) => {
        const isChanged = requestLimit !== loggedLimit;
        if (!isChanged && requestLimit === undefined) {
            return;
        }
        const now = clock.monotonic();
        if (isChanged) {
            loggedLimit = requestLimit;
            reportedAt = now;
            logChangedLimit(requestLimit);
        }
        else if (now - reportedAt >= REPORT_PERIOD_MS) {
            reportedAt = now;
            const sent = countRecentRequests(REPORT_PERIOD_MS);
            const context = { ...target, requestLimit, sent, periodMs: REPORT_PERIOD_MS };
            logger.info("Requests at a target that names a limit.", context);
        }
    };

    return {
        recordLimit,
        recordDeparture: () => {
            if (!isLeaving) {
                isLeaving = true;
                logger.info("The target states in its responses that it is leaving.", { ...target });
            }
        },
    };
};
