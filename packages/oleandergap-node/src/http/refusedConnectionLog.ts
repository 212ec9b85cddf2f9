/**
 * Logs connections that a listener refused because too many are open. Their callers see a reset, and no request of
 * theirs is read, so that nothing else in the log would tell of them.
 */
import type { Logger } from "oleandergap-logger";
import type { Clock } from "oleandergap-types";
import { createTokenBucket } from "oleandergap-utils";

/** Records a refused connection. */
export type LogRefusedConnection = () => void;

const LINES_PER_SECOND = 1;

/** Dependencies of the log of one listener. */
export interface RefusedConnectionLogDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    /** Name of the listener. */
    readonly listener: string;
    readonly maxConnections: number;
}

/** Creates the log of one listener. */
export const createRefusedConnectionLog = (
    { clock, logger, listener, maxConnections }: RefusedConnectionLogDependencies,
): LogRefusedConnection => {
    const bucket = createTokenBucket({ clock, ratePerSecond: () => LINES_PER_SECOND, burst: 1 });
    let refused = 0;
    return () => {
        refused += 1;
        if (bucket.tryTake()) {
            logger.warn("Connections are refused because too many are open.", { listener, refused, maxConnections });
            refused = 0;
        }
    };
};
