/**
 * Logs gates that sent no heartbeat for too long. After a silence, a request is sent once more, and without the log
 * line it would be unknown whether the connection, the other node or this node was at fault. A large `lateMs` is the
 * delay of this node itself.
 */
import type { Logger } from "oleandergap-logger";
import type { Clock, NodeId } from "oleandergap-types";
import { createTokenBucket } from "oleandergap-utils";
import type { Silence } from "../http/monitoredExchange.js";

/** A silence of a gate during one attempt. */
export interface SilentGate extends Silence {
    readonly nodeId: NodeId;
    /** Whether the gate was already known to be silent, or the attempt was a probe. */
    readonly wasSilent: boolean;
    readonly isProbe: boolean;
}

export type LogSilentGate = (gate: SilentGate) => void;

/**
 * Rate limit of the log. Hundreds of requests may wait for a node that has failed, and a few lines are enough to report
 * it.
 */
const LINES_PER_SECOND = 2;

export const createSilenceLog = (clock: Clock, logger: Logger): LogSilentGate => {
    const bucket = createTokenBucket({ clock, ratePerSecond: () => LINES_PER_SECOND, burst: LINES_PER_SECOND });
    let suppressedCount = 0;

    return ({ sinceSentMs, lateMs, ...gate }) => {
        if (!bucket.tryTake()) {
            suppressedCount += 1;
            return;
        }
        const times = { sinceSentMs: Math.round(sinceSentMs), lateMs: Math.round(lateMs) };
        logger.info("A gate was silent.", { ...gate, ...times, leftOut: suppressedCount });
        suppressedCount = 0;
    };
};
