/**
 * Counts the connections and requests of a listener, and logs the seconds in which requests waited to be started.
 *
 * The lines on failed requests name the waits of those requests only. A node that is behind is recognized by how many
 * connections it accepts and requests it reads, how long these wait, and how many of their senders have left.
 */
import type { Logger } from "oleandergap-logger";
import type { Clock, Milliseconds } from "oleandergap-types";

/** Time that one line covers. */
const PERIOD_MS: Milliseconds = 1000;
/** Wait from which on a line is written. It is noticeable to callers. */
const REPORTED_WAIT_MS: Milliseconds = 100;

/** A request that was taken from the queue. */
export interface StartedRequest {
    /** Time since its head was read. */
    readonly waitMs: Milliseconds;
    readonly isOverdue: boolean;
    readonly hasSender: boolean;
}

/** The counts of one listener. */
export interface ArrivalTally {
    readonly recordConnection: () => void;
    readonly recordRead: () => void;
    readonly recordStart: (request: StartedRequest) => void;
}

/** Dependencies of the counts of one listener. */
export interface ArrivalTallyOptions {
    readonly clock: Pick<Clock, "after">;
    readonly logger: Logger;
    /** Name of the listener. */
    readonly listener: string;
}

/** What happened in the present period. */
interface ArrivalCounts {
    accepted: number;
    read: number;
    started: number;
    overdue: number;
    sendersGone: number;
}

const createCounts = (): ArrivalCounts => ({ accepted: 0, read: 0, started: 0, overdue: 0, sendersGone: 0 });

/** Creates the counts of one listener. No timer runs while no request arrives. */
export const createArrivalTally = ({ clock, logger, listener }: ArrivalTallyOptions): ArrivalTally => {
    let counts = createCounts();
    let waiting = 0;
    let totalWaitMs: Milliseconds = 0;
    let longestWaitMs: Milliseconds = 0;
    let isPeriodOpen = false;

    const closePeriod = (): void => {
        isPeriodOpen = false;
        if (longestWaitMs >= REPORTED_WAIT_MS) {
            logger.info("Requests waited to be started.", {
                listener,
                ...counts,
                waiting,
                meanWaitMs: Math.round(totalWaitMs / Math.max(1, counts.started)),
                longestWaitMs: Math.round(longestWaitMs),
            });
        }
        counts = createCounts();
        totalWaitMs = 0;
        longestWaitMs = 0;
    };

    const openPeriod = (): void => {
        if (!isPeriodOpen) {
            isPeriodOpen = true;
            clock.after(PERIOD_MS, closePeriod);
        }
    };

    return {
        recordConnection: () => {
            counts.accepted += 1;
        },
        recordRead: () => {
            openPeriod();
            counts.read += 1;
            waiting += 1;
        },
        recordStart: ({ waitMs, isOverdue, hasSender }) => {
            openPeriod();
            waiting -= 1;
            counts.started += 1;
            counts.overdue += isOverdue ? 1 : 0;
            counts.sendersGone += hasSender ? 0 : 1;
            totalWaitMs += waitMs;
            longestWaitMs = Math.max(longestWaitMs, waitMs);
        },
    };
};
