/** Logs what becomes of the requests of a stopping node. */
import type { LogContext, Logger } from "oleandergap-logger";
import type { Milliseconds } from "oleandergap-types";
import type { ServedAt } from "../admin/metrics.js";
import type { OpenRequest, OpenRequestCounts, OpenRequests } from "../http/openRequests.js";

/** Maximum number of lines at one moment for the requests of one listener. */
const MAX_LISTED_REQUESTS = 100;

/** The requests in flight at each listener of the request path. */
export type OpenRequestsByPoint = Readonly<Record<ServedAt, OpenRequests>>;

const POINTS = ["gateway", "gate"] as const;

/** Logs the stop of one node. */
export interface StopLog {
    /** Logs each request in flight at the gateway, because these are aborted now. */
    readonly logAborted: () => void;
    /** Logs each request in flight, because their connections are closed now. */
    readonly logCut: () => void;
    /** Logs how many requests ended in which way since the stop began. */
    readonly logSummary: () => void;
}

const describeRequest = (
    at: ServedAt,
    { requestId, openMs, statusCode, sentBytes }: OpenRequest,
): LogContext => ({
    at,
    id: requestId,
    openMs: Math.round(openMs),
    statusCode,
    sentBytes,
});

const describeCounts = (before: OpenRequestCounts, after: OpenRequestCounts, openBefore: number): string => {
    const opened = after.opened - before.opened;
    const finished = after.finished - before.finished;
    const abandoned = after.abandoned - before.abandoned;
    const aborted = after.aborted - before.aborted;
    return `${openBefore} in flight, ${opened} accepted, ${finished} finished, ${abandoned} abandoned, ${aborted} aborted`;
};

/** Creates the log when the stop begins. */
export const startStopLog = (
    logger: Logger,
    openRequests: OpenRequestsByPoint,
    elapsed: () => Milliseconds,
): StopLog => {
    const start = {
        gateway: { counts: openRequests.gateway.counts(), open: openRequests.gateway.list().length },
        gate: { counts: openRequests.gate.counts(), open: openRequests.gate.list().length },
    };

    const logRequests = (message: string, at: ServedAt): void => {
        const listed = openRequests[at].list();
        for (const request of listed.slice(0, MAX_LISTED_REQUESTS)) {
            logger.warn(message, describeRequest(at, request));
        }
        if (listed.length > MAX_LISTED_REQUESTS) {
            logger.warn(message, { at, leftOut: listed.length - MAX_LISTED_REQUESTS });
        }
    };

    return {
        logAborted: () => logRequests("A request is aborted because the node stops.", "gateway"),
        logCut: () => POINTS.forEach((at) => logRequests("A connection is closed before its response is complete.", at)),
        logSummary: () => logger.info("Requests during the stop.", {
            elapsedMs: Math.round(elapsed()),
            ...Object.fromEntries(POINTS.map((at) =>
                [at, describeCounts(start[at].counts, openRequests[at].counts(), start[at].open)])),
        }),
    };
};
