/** Counts and logs failed pulls, and records each failure for the claim of the source. */
import type { Logger } from "oleandergap-logger";
import type { Clock, Milliseconds, PartnerName, Sequence } from "oleandergap-types";
import type { ArrivalLog } from "./arrivalLog.js";
import { formatClaimSource, type ClaimFailure, type ClaimRegistry } from "./claimRegistry.js";
import type { PullAttempt } from "./inFlightPulls.js";
import type { SpreadCounters } from "./statistics.js";
import type { FetchFailure } from "./versionFetcher.js";

/** Dependencies of a failure reporter. */
export interface FailureReporterDependencies {
    readonly partner: PartnerName;
    readonly registry: Pick<ClaimRegistry, "countFailure">;
    /** Returns the sequence of the version in force. */
    readonly sequence: () => Sequence;
    readonly arrivalLog: Pick<ArrivalLog, "recordFailedPull">;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly counters: SpreadCounters;
}

/** Reports one failure; `startedAt` is the time at which the request was sent. */
export type ReportFailure = (attempt: PullAttempt, failure: FetchFailure, startedAt: Milliseconds) => void;

const formatFailure = (failure: FetchFailure): string =>
    "detail" in failure ? `${failure.kind}: ${failure.detail}` : failure.kind;

const classifyFailure = (failure: FetchFailure, sequence: Sequence): ClaimFailure => {
    if (sequence === 0) {
        return "Undecided";
    }
    return failure.kind === "NoAnswer" ? "Unanswered" : "Disproved";
};

/** Creates the failure reporter of one partner's pulls. */
export const createFailureReporter = (
    { partner, registry, sequence, arrivalLog, clock, logger, counters }: FailureReporterDependencies,
): ReportFailure => ({ source, claim }, failure, startedAt) => {
    const sourceName = formatClaimSource(source);
    counters.pullFailures += 1;
    arrivalLog.recordFailedPull({
        partner,
        source: sourceName,
        reason: formatFailure(failure),
        durationMs: clock.monotonic() - startedAt,
    });
    const claimFailure = classifyFailure(failure, sequence());
    if (claim !== undefined && registry.countFailure(claim, claimFailure)) {
        counters.claimsSetAside += 1;
        logger.warn("A claimed version could not be fetched from the source that claimed it.", {
            partner,
            sequence: claim.head.sequence,
            source: sourceName,
            meaning: claimFailure,
        });
    }
};
