/** Counts and logs questions for a version that brought nothing, and books them against who was asked. */
import type { Logger } from "oleandergap-logger";
import type { Clock, Milliseconds, PartnerName, Sequence } from "oleandergap-types";
import type { ArrivalLog } from "./arrivals.js";
import { formatClaimSource, type ClaimRegistry } from "./claimBook.js";
import type { PullAttempt } from "./pullsUnderWay.js";
import type { SpreadCounters } from "./statistics.js";
import type { FetchFailure } from "./versionFetcher.js";

/** What failures are reported with. */
export interface FailureReporterDependencies {
    readonly partner: PartnerName;
    readonly registry: Pick<ClaimRegistry, "countFailure">;
    /** The version in force. */
    readonly sequence: () => Sequence;
    readonly arrivalLog: Pick<ArrivalLog, "noteFailedPull">;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly counters: SpreadCounters;
}

/** Reports one failure; `startedAt` is when the question was asked. */
export type ReportFailure = (attempt: PullAttempt, failure: FetchFailure, startedAt: Milliseconds) => void;

const formatFailure = (failure: FetchFailure): string =>
    "detail" in failure ? `${failure.kind}: ${failure.detail}` : failure.kind;

/** Creates the reports of one partner's questions. */
export const createFailureReporter = (
    { partner, registry, sequence, arrivalLog, clock, logger, counters }: FailureReporterDependencies,
): ReportFailure => ({ source, claim }, failure, startedAt) => {
    const sourceName = formatClaimSource(source);
    counters.pullFailures += 1;
    arrivalLog.noteFailedPull({
        partner,
        source: sourceName,
        reason: formatFailure(failure),
        durationMs: clock.monotonic() - startedAt,
    });
    // A node without any version has nothing to fall back to: set aside, a true head would keep it out for as long.
    const claimFailure = failure.kind === "NoAnswer" ? "Unanswered" : "Disproved";
    if (claim !== undefined && sequence() > 0 && registry.countFailure(claim, claimFailure)) {
        counters.claimsSetAside += 1;
        logger.warn("A claimed version could not be had from its holder.", {
            partner,
            sequence: claim.head.sequence,
            source: sourceName,
            meaning: claimFailure,
        });
    }
};
