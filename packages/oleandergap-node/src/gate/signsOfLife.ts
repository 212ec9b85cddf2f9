/**
 * Informational answers by which a gate shows the node that asked that the request arrived and is being served.
 *
 * Without them a node could not tell a slow target from a connection that has gone silent: it would either wait for
 * the whole deadline or send a second request to a target that is merely slow.
 */
import type { ServerResponse } from "node:http";
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";

/**
 * Distance of two signs. Nodes take a connection for silent after several times as long. Each sign wakes two processes;
 * most requests end before the first one.
 */
export const SIGN_INTERVAL_MS: Milliseconds = 200;

/** `writeEarlyHints` wants a link; this one points to nothing. */
const WAITING_HINT = { link: "<>; rel=waiting" };

export interface SignsOfLife {
    /** The request was admitted: says so at once, and from now on by another status. */
    readonly admitted: () => void;
    readonly stop: () => void;
}

/** Sends a sign at regular distances until it is stopped. */
export const startSignsOfLife = (clock: Clock, response: ServerResponse, tellAdmission: boolean): SignsOfLife => {
    let isAdmitted = false;
    let isStopped = false;
    let cancel: CancelTimer = () => undefined;

    const sendSign = (): void => {
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
        cancel = clock.after(SIGN_INTERVAL_MS, () => {
            sendSign();
            if (!isStopped) {
                schedule();
            }
        });
    };

    schedule();
    return {
        admitted: () => {
            isAdmitted = true;
            if (tellAdmission) {
                sendSign();
            }
        },
        stop: () => {
            isStopped = true;
            cancel();
        },
    };
};
