/** Log lines of events that may come in great numbers. Lines beyond a rate are left out and counted. */
import type { LogContext, Logger } from "oleandergap-logger";
import type { Clock } from "oleandergap-types";
import { createTokenBucket } from "oleandergap-utils";

export interface LimitedLogOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly message: string;
    /** Average limit of lines per second. */
    readonly linesPerSecond: number;
    readonly burst: number;
}

/** Writes a line, with the number of lines left out before it in `leftOut`. */
export type WriteLimitedLine = (context: LogContext) => void;

export const createLimitedLog = (
    { clock, logger, message, linesPerSecond, burst }: LimitedLogOptions,
): WriteLimitedLine => {
    const bucket = createTokenBucket({ clock, ratePerSecond: () => linesPerSecond, burst });
    let leftOut = 0;

    return (context) => {
        if (!bucket.tryTake()) {
            leftOut += 1;
            return;
        }
        logger.info(message, { ...context, leftOut });
        leftOut = 0;
    };
};
