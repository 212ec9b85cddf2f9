/**
 * Informational (1xx) responses by which a gate signals to the sending node that the request has arrived and is being
 * served.
 *
 * Without them, a node could not distinguish a slow target from a silent connection: it would either wait until the
 * deadline or send a second request to a target that is merely slow.
 */
import type { ServerResponse } from "node:http";
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";

/**
 * Interval between two progress signals. Nodes treat a connection as silent after several intervals. Each signal costs
 * a wake-up of two processes, and most requests end before the first signal.
 */
export const REQUEST_HEARTBEAT_INTERVAL_MS: Milliseconds = 200;

/** `writeEarlyHints` requires a link header; this one has an empty target. */
const WAITING_HINT = { link: "<>; rel=waiting" };

export interface RequestHeartbeats {
    /**
     * Marks the request as admitted: later signals use status 102 instead of 103, and the first one may be immediate.
     */
    readonly markAdmitted: () => void;
    readonly stop: () => void;
}

/**
 * Sends a progress signal at regular intervals until it is stopped.
 *
 * @param signalsAdmission Whether to send a signal immediately when the request is admitted
 */
export const startRequestHeartbeats = (
    clock: Clock,
    response: ServerResponse,
    signalsAdmission: boolean,
): RequestHeartbeats => {
    let isAdmitted = false;
    let isStopped = false;
    let cancel: CancelTimer = () => undefined;

    const sendProgress = (): void => {
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
            sendProgress();
            if (!isStopped) {
                schedule();
            }
        });
    };

    schedule();
    return {
        markAdmitted: () => {
            isAdmitted = true;
            if (signalsAdmission) {
                sendProgress();
            }
        },
        stop: () => {
            isStopped = true;
            cancel();
        },
    };
};
