/** Applies the load that the local target reports in its responses to its gate, and logs values that are no report. */
import type { Gate } from "oleandergap-gate";
import type { Logger, LogContext } from "oleandergap-logger";
import type { Clock, Milliseconds, ReportReading } from "oleandergap-types";

/** Interval between two lines about malformed reports. */
const LOG_PERIOD_MS: Milliseconds = 30_000;
/** Number of characters of a malformed report in a log line. */
const MAX_LOGGED_LENGTH = 80;

/** The reports of one target lifetime. */
export interface ReportRecorder {
    /** Records the report of one response; undefined if the response had none. */
    readonly record: (reading: ReportReading | undefined) => void;
}

/** Dependencies of the recorder of one target lifetime. */
export interface ReportRecorderDependencies {
    readonly clock: Pick<Clock, "monotonic">;
    readonly logger: Logger;
    /** Describes the target in log lines. */
    readonly target: LogContext;
    readonly gate: Pick<Gate, "recordReport">;
}

/** Creates the recorder of one target lifetime. */
export const createReportRecorder = (
    { clock, logger, target, gate }: ReportRecorderDependencies,
): ReportRecorder => {
    let loggedAt = Number.NEGATIVE_INFINITY;
    let malformedReports = 0;

    const recordMalformed = (text: string): void => {
        malformedReports += 1;
        const now = clock.monotonic();
        if (now - loggedAt >= LOG_PERIOD_MS) {
            loggedAt = now;
            const value = text.slice(0, MAX_LOGGED_LENGTH);
            logger.warn("The target reports a load that cannot be read.", { ...target, value, malformedReports });
            malformedReports = 0;
        }
    };

    return {
        record: (reading) => {
            if (reading?.kind === "Reported") {
                gate.recordReport(reading.report);
            }
            else if (reading !== undefined) {
                recordMalformed(reading.text);
            }
        },
    };
};
