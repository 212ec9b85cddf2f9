/**
 * Informational (1xx) responses by which a gate signals to the sending node that the request has arrived and is being
 * served.
 *
 * Without them, a node could not distinguish a slow target from an unresponsive connection: it would either wait until
 * the deadline or send a second request to a target that is merely slow.
 */
import type { ServerResponse } from "node:http";
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";

/**
 * Interval between two request heartbeats. Nodes treat a connection as unresponsive after several intervals without
 * one. Each heartbeat wakes up two processes, and most requests end before the first heartbeat.
 */
export const REQUEST_HEARTBEAT_INTERVAL_MS: Milliseconds = 200;

/** `writeEarlyHints` requires a link header; this one has an empty target. */
const WAITING_HINT = { link: "<>; rel=waiting" };

export interface RequestHeartbeats {
    /**
     * Marks the request as admitted: later heartbeats use status 102 instead of 103, and the first one may be
     * immediate.
     */
    readonly markAdmitted: () => void;
    readonly stop: () => void;
}

/**
 * Sends a request heartbeat at regular intervals until it is stopped.
 *
 * @param reportsAdmission Whether to send a heartbeat immediately when the request is admitted
 */
export const startRequestHeartbeats = (
    clock: Clock,
    response: ServerResponse,
    reportsAdmission: boolean,
): RequestHeartbeats => {
    let isAdmitted = false;
    let isStopped = false;
    let cancel: CancelTimer = () => undefined;

    const sendHeartbeat = (): void => {
        if (isStopped || response.headersSent || response.destroyed) {
            return;
        }
        if (isAdmitted) {
            response.writeProcessing();
        }
        else {
            response.writeEarlyHints(WAITING_HINT);
        }
    };

    const schedule = (): void => {
        cancel = clock.after(REQUEST_HEARTBEAT_INTERVAL_MS, () => {
            sendHeartbeat();
            if (!isStopped) {
                schedule();
            }
        });
    };

    schedule();
    return {
        markAdmitted: () => {
            isAdmitted = true;
            if (reportsAdmission) {
                sendHeartbeat();
            }
        },
        stop: () => {
            isStopped = true;
            cancel();
        },
    };
};
