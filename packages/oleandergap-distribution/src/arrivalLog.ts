/**
 * Logs for each version that comes into force how it reached this node and how long that took. If a version is late at
 * one node, the log of that node then shows the cause: the path of the version, the pulls that failed before it, or the
 * duration of the store's check.
 */
import type { Logger } from "oleandergap-logger";
import type { Clock, Head, Milliseconds, PartnerName, Sequence } from "oleandergap-types";
import { createTokenBucket } from "oleandergap-utils";

/**
 * How a version reached the store: read from the platform, as a delta in a datagram, or pulled from a peer as deltas
 * (`steps`) or as a whole document.
 */
export type ArrivalMethod = "platform" | "datagram" | "steps" | "document";

/** Source of a version, and how it arrived. */
export interface ArrivalOrigin {
    readonly way: ArrivalMethod;
    /** Id of the peer; undefined for the platform. */
    readonly peer?: string;
}

/** A pull that returned no newer version. */
export interface FailedPull {
    readonly partner: PartnerName;
    /** Id of the peer, or `platform`. */
    readonly source: string;
    readonly reason: string;
    readonly durationMs: Milliseconds;
}

/** Dependencies of the arrival log. */
export interface ArrivalLogDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
}

/** Log of the versions that arrive at one node. */
export interface ArrivalLog {
    /** Records that a source claims to hold a version that is not in force at this node. */
    readonly recordClaim: (head: Head) => void;
    /** Counts a request for a version. */
    readonly recordRequest: (partner: PartnerName) => void;
    /** Runs `offer`, which offers a version to the store. Attributes versions applied during the call to `origin`. */
    readonly offerFrom: <Result>(origin: ArrivalOrigin, offer: () => Result) => Result;
    /** Logs a version that has just come into force. `cells` is the number of changed cells, if known. */
    readonly recordApplied: (head: Head, cells: number | undefined) => void;
    /** Logs a failed pull, up to a rate limit. */
    readonly recordFailedPull: (pull: FailedPull) => void;
}

/**
 * Rate limit of log lines about failed pulls. While no source responds, a node retries several times per second for
 * the whole duration of the outage.
 */
const FAILURE_LOG_LINES_PER_SECOND = 2;
const FAILURE_LOG_BURST = 10;

/** A claimed version, and the time at which it was first claimed. */
interface ObservedVersion {
    readonly sequence: Sequence;
    readonly at: Milliseconds;
}

/** Maximum number of claimed versions per partner that are tracked until they come into force. */
const MAX_OBSERVED_VERSIONS = 32;

/** Creates an empty arrival log. */
export const createArrivalLog = ({ clock, logger }: ArrivalLogDependencies): ArrivalLog => {
    const observedVersions = new Map<PartnerName, readonly ObservedVersion[]>();
    const failureLogBucket = createTokenBucket({
        clock,
        ratePerSecond: () => FAILURE_LOG_LINES_PER_SECOND,
        burst: FAILURE_LOG_BURST,
    });
    /** Number of requests per partner since the last version came into force. */
    const requestCounts = new Map<PartnerName, number>();
    let suppressedLines = 0;
    let currentOffer: { readonly origin: ArrivalOrigin; readonly startedAt: Milliseconds } | undefined;

    /**
     * Returns when this version or a higher one was first claimed. Removes the entries up to this version, which is now
     * in force.
     */
    const takeObservedAt = ({ partner, sequence }: Head): Milliseconds | undefined => {
        const observed = observedVersions.get(partner) ?? [];
        observedVersions.set(partner, observed.filter((other) => other.sequence > sequence));
        return observed.find((other) => other.sequence >= sequence)?.at;
    };

    return {
        recordClaim: ({ partner, sequence }) => {
            const observed = observedVersions.get(partner) ?? [];
            if (observed.every((other) => other.sequence < sequence)) {
                observedVersions.set(
                    partner,
                    [...observed, { sequence, at: clock.monotonic() }].slice(-MAX_OBSERVED_VERSIONS),
                );
            }
        },
        recordRequest: (partner) => {
            requestCounts.set(partner, (requestCounts.get(partner) ?? 0) + 1);
        },
        offerFrom: (origin, applyOffer) => {
            const enclosingOffer = currentOffer;
            currentOffer = { origin, startedAt: clock.monotonic() };
            const result = applyOffer();
            currentOffer = enclosingOffer;
            return result;
        },
        recordApplied: (head, cells) => {
            const now = clock.monotonic();
            const observedAt = takeObservedAt(head);
            logger.info("A version is in force.", {
                partner: head.partner,
                sequence: head.sequence,
                way: currentOffer?.origin.way ?? "local",
                peer: currentOffer?.origin.peer,
                cells,
                questions: requestCounts.get(head.partner) ?? 0,
                sinceHeardMs: observedAt === undefined ? 0 : Math.round(now - observedAt),
                checkMs: currentOffer === undefined ? 0 : Math.round(now - currentOffer.startedAt),
            });
            requestCounts.delete(head.partner);
        },
        recordFailedPull: ({ partner, source, reason, durationMs }) => {
            if (!failureLogBucket.tryTake()) {
                suppressedLines += 1;
                return;
            }
            logger.info("A pull failed.", {
                partner,
                source,
                reason,
                durationMs: Math.round(durationMs),
                leftOut: suppressedLines,
            });
            suppressedLines = 0;
        },
    };
};
