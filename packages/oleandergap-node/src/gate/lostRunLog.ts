/**
 * Logs the runs at the local target that ended without a response, which shows what was running when a target crashed.
 */
import type { CrashId, Fingerprint } from "oleandergap-containment";
import type { Logger } from "oleandergap-logger";
import type { Clock, Milliseconds } from "oleandergap-types";
import { createLimitedLog } from "../limitedLog.js";

/** A run whose connection was lost, excluding runs that the caller or the deadline ended. */
export interface LostRun {
    readonly fingerprint: Fingerprint;
    /** Id of the attempt, assigned by the node of the gateway. */
    readonly attempt: string;
    /** Instance id of the target's lifetime; undefined if the target does not announce one. */
    readonly instance: string | undefined;
    readonly ranMs: Milliseconds;
    /** Id of the crash that caused the loss, if a crash did. */
    readonly crash: CrashId | undefined;
    readonly detail: string;
}

/** Average limit of lines per second. A crash loses as many runs as the target has slots. */
const LINES_PER_SECOND = 10;
const MAX_LINE_BURST = 50;

/** Creates a rate-limited log that writes one line per lost run, with the number of lines left out before it. */
export const createLostRunLog = (clock: Clock, logger: Logger): ((run: LostRun) => void) => {
    const writeLine = createLimitedLog({
        clock,
        logger,
        message: "A run ended without a response.",
        linesPerSecond: LINES_PER_SECOND,
        burst: MAX_LINE_BURST,
    });
    return ({ ranMs, ...run }) => writeLine({ ...run, ranMs: Math.round(ranMs) });
};
