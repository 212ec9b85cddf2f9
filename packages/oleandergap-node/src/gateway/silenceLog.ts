/**
 * Tells of gates that gave no sign of life for too long. After a silence a request is tried once more, and without a
 * line nobody could tell whether the connection, the other node or this one was at fault: a large `lateMs` is this
 * node's own delay.
 */
import type { Logger } from "oleandergap-logger";
import type { Clock, NodeId } from "oleandergap-types";
import { createTokenBucket } from "oleandergap-utils";
import type { Silence } from "../http/watchedExchange.js";

/** A gate that was silent in one try. */
export interface SilentGate extends Silence {
    readonly nodeId: NodeId;
    /** Whether it was known to be silent before, or had to prove that it is well. */
    readonly wasSilent: boolean;
    readonly isProbe: boolean;
}

export type LogSilentGate = (gate: SilentGate) => void;

/** Hundreds of requests may wait for a node that has died; a few lines tell it. */
const LINES_PER_SECOND = 2;

export const createSilenceLog = (clock: Clock, logger: Logger): LogSilentGate => {
    const bucket = createTokenBucket({ clock, ratePerSecond: () => LINES_PER_SECOND, burst: LINES_PER_SECOND });
    let leftOut = 0;

    return ({ sinceSentMs, lateMs, ...gate }) => {
        if (!bucket.tryTake()) {
            leftOut += 1;
            return;
        }
        const times = { sinceSentMs: Math.round(sinceSentMs), lateMs: Math.round(lateMs) };
        logger.info("A gate was silent.", { ...gate, ...times, leftOut });
        leftOut = 0;
    };
};
