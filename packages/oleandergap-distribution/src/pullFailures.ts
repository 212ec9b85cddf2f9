/** Counts and logs questions for a version that brought nothing, and books them against who was asked. */
import type { Logger } from "oleandergap-logger";
import type { Clock, Milliseconds, PartnerName, Sequence } from "oleandergap-types";
import type { Arrivals } from "./arrivals.js";
import { formatClaimSource, type ClaimBook } from "./claimBook.js";
import type { PullAttempt } from "./pullsUnderWay.js";
import type { SpreadCounters } from "./statistics.js";
import type { FetchFailure } from "./versionFetcher.js";

/** What failures are reported with. */
export interface FailureReportDependencies {
    readonly partner: PartnerName;
    readonly book: Pick<ClaimBook, "countFailure">;
    /** The version in force. */
    readonly sequence: () => Sequence;
    readonly arrivals: Pick<Arrivals, "noteFailedPull">;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly counters: SpreadCounters;
}

/** Reports one failure; `startedAt` is when the question was asked. */
export type ReportFailure = (attempt: PullAttempt, failure: FetchFailure, startedAt: Milliseconds) => void;

const formatFailure = (failure: FetchFailure): string =>
    "detail" in failure ? `${failure.kind}: ${failure.detail}` : failure.kind;

/** Creates the reports of one partner's questions. */
export const createFailureReport = (
    { partner, book, sequence, arrivals, clock, logger, counters }: FailureReportDependencies,
): ReportFailure => ({ source, claim }, failure, startedAt) => {
    const name = formatClaimSource(source);
    counters.pullFailures += 1;
    arrivals.noteFailedPull({
        partner,
        source: name,
        reason: formatFailure(failure),
        durationMs: clock.monotonic() - startedAt,
    });
    // A node without any version has nothing to fall back to: set aside, a true head would keep it out for as long.
    const meaning = failure.kind === "NoAnswer" ? "Unanswered" : "Disproved";
    if (claim !== undefined && sequence() > 0 && book.countFailure(claim, meaning)) {
        counters.claimsSetAside += 1;
        logger.warn("A claimed version could not be had from its holder.", {
            partner,
            sequence: claim.head.sequence,
            source: name,
            meaning,
        });
    }
};
