/**
 * Records the requests of other nodes whose sender disconnected before their response began.
 *
 * A request that was handed to the target immediately before the end of its connection was read has been sent for
 * nobody. Whether its connection had carried requests before, and how long it waited, shows where it was held.
 */
import type { Logger } from "oleandergap-logger";
import type { Clock, Milliseconds } from "oleandergap-types";
import { createLimitedLog } from "../limitedLog.js";

/** How far a request had got when its sender disconnected. */
export type AbandonedStage =
    /** It was never handed to the target. */
    | "waiting"
    /** It was handed to the target so shortly before that its sender had probably disconnected by then. */
    | "justStarted"
    | "running";

/** A request whose sender disconnected. */
export interface AbandonedRequest {
    /** Id that the caller assigned. */
    readonly id: string | undefined;
    /** Whether this was the first request on its connection. */
    readonly isFirst: boolean;
    /** Monotonic time at which its head was read. */
    readonly receivedAt: Milliseconds;
    /** Monotonic time at which it was handed to the target; undefined if it was not. */
    readonly startedAt: Milliseconds | undefined;
    /** Time until the deadline that the node has computed for it; negative when it has passed. */
    readonly leftMs: Milliseconds;
}

export interface AbandonedRequestLogDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly count: (stage: AbandonedStage) => void;
}

export type RecordAbandonedRequest = (request: AbandonedRequest) => void;

/** Time from the start of a run to the end of its sender's connection up to which the two have arrived together. */
const JUST_STARTED_MS: Milliseconds = 20;
/** Average limit of lines per second. */
const LINES_PER_SECOND = 5;
const MAX_LINE_BURST = 50;

/** Creates the record. It logs only the requests that had just been handed to the target. */
export const createAbandonedRequestLog = (
    { clock, logger, count }: AbandonedRequestLogDependencies,
): RecordAbandonedRequest => {
    const writeLine = createLimitedLog({
        clock,
        logger,
        message: "A request was handed to the target just before its sender's end was read.",
        linesPerSecond: LINES_PER_SECOND,
        burst: MAX_LINE_BURST,
    });

    return ({ id, isFirst, receivedAt, startedAt, leftMs }) => {
        if (startedAt === undefined) {
            count("waiting");
            return;
        }
        const runMs = clock.monotonic() - startedAt;
        if (runMs > JUST_STARTED_MS) {
            count("running");
            return;
        }
        count("justStarted");
        writeLine({
            id,
            isFirst,
            waitMs: Math.round(startedAt - receivedAt),
            runMs: Math.round(runMs),
            leftMs: Math.round(leftMs),
        });
    };
};
