/** Tells which runs of the own target ended without an answer, so that one sees what ran when a target ended. */
import type { CrashId, Fingerprint } from "oleandergap-containment";
import type { Logger } from "oleandergap-logger";
import type { Clock, Milliseconds } from "oleandergap-types";
import { createTokenBucket } from "oleandergap-utils";

/** A run that was lost through no fault of its caller. */
export interface LostRun {
    readonly fingerprint: Fingerprint;
    /** Id of the attempt, as the gateway's node chose it. */
    readonly attempt: string;
    /** The target's lifetime; undefined when it does not tell. */
    readonly instance: string | undefined;
    readonly ranMs: Milliseconds;
    /** The crash that it was lost to, if it was one. */
    readonly crash: CrashId | undefined;
    readonly detail: string;
}

/** Lines a second on average: a target that crashes loses as many runs as it has slots. */
const LINES_PER_SECOND = 10;
const MOST_LINES_AT_ONCE = 50;

/** Writes a line for each run, up to a bound, and how many were left out. */
export const createLostRunLog = (clock: Clock, logger: Logger): ((run: LostRun) => void) => {
    const bucket = createTokenBucket({ clock, ratePerSecond: () => LINES_PER_SECOND, burst: MOST_LINES_AT_ONCE });
    let leftOut = 0;

    return ({ ranMs, ...run }) => {
        if (!bucket.tryTake()) {
            leftOut += 1;
            return;
        }
        logger.info("A run was lost.", { ...run, ranMs: Math.round(ranMs), leftOut });
        leftOut = 0;
    };
};
