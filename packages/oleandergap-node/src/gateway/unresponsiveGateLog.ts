/**
 * Logs gates that sent no heartbeat within the timeout. After that, a request is sent once more. Without the log line,
 * it would be unknown whether the connection, the remote node or this node was at fault. A large `lateMs` is a delay of
 * this node itself.
 */
import type { Logger } from "oleandergap-logger";
import type { Clock, NodeId } from "oleandergap-types";
import { createTokenBucket } from "oleandergap-utils";
import type { InactivityReport } from "../http/monitoredAttempt.js";

/** Describes a gate that sent no heartbeat within the timeout during one attempt. */
export interface UnresponsiveGate extends InactivityReport {
    readonly nodeId: NodeId;
    /** Whether the gate had already been unresponsive before this attempt, or the attempt was a probe. */
    readonly wasSilent: boolean;
    readonly isProbe: boolean;
}

export type LogUnresponsiveGate = (gate: UnresponsiveGate) => void;

/**
 * Rate limit of the log. Hundreds of requests may wait for a node that has failed, and a few lines are enough to report
 * it.
 */
const LINES_PER_SECOND = 2;

export const createUnresponsiveGateLog = (clock: Clock, logger: Logger): LogUnresponsiveGate => {
    const bucket = createTokenBucket({ clock, ratePerSecond: () => LINES_PER_SECOND, burst: LINES_PER_SECOND });
    let suppressedCount = 0;

    return ({ sinceSentMs, lateMs, ...gate }) => {
        if (!bucket.tryTake()) {
            suppressedCount += 1;
            return;
        }
        const times = { sinceSentMs: Math.round(sinceSentMs), lateMs: Math.round(lateMs) };
        logger.info("A gate sent no heartbeat within the timeout.", { ...gate, ...times, leftOut: suppressedCount });
        suppressedCount = 0;
    };
};
