/**
 * Says of each version that comes into force how it came to this node and how long that took. A version that is late at
 * one node can then be explained from its log: by the way that it took, by the pulls that failed before it, or by the
 * time that it took to check.
 */
import type { Logger } from "oleandergap-logger";
import type { Clock, Head, Milliseconds, PartnerName, Sequence } from "oleandergap-types";
import { createTokenBucket } from "oleandergap-utils";

/** How a version reached the store: read from the platform, as one step in a datagram, or pulled from a peer. */
export type ArrivalMethod = "platform" | "datagram" | "steps" | "document";

/** Where a version came from. */
export interface ArrivalOrigin {
    readonly way: ArrivalMethod;
    /** The peer's id; undefined for the platform. */
    readonly peer?: string;
}

/** A pull that brought nothing. */
export interface FailedPull {
    readonly partner: PartnerName;
    /** The peer's id, or `platform`. */
    readonly source: string;
    readonly reason: string;
    readonly durationMs: Milliseconds;
}

/** What arrivals are recorded with. */
export interface ArrivalLogDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
}

/** The record of one node. */
export interface ArrivalLog {
    /** Notes that somebody claims to hold a version that is not in force here. */
    readonly noteHeard: (head: Head) => void;
    /** Notes that a source is asked for a version. */
    readonly noteQuestion: (partner: PartnerName) => void;
    /** Offers a version to the store; what comes into force meanwhile came from `origin`. */
    readonly offerFrom: <Result>(origin: ArrivalOrigin, offer: () => Result) => Result;
    /** Writes the line of a version that has just come into force; `cells` is how many it changed, if that is known. */
    readonly noteApplied: (head: Head, cells: number | undefined) => void;
    readonly noteFailedPull: (pull: FailedPull) => void;
}

/** Lines on failed pulls: while nobody answers, a node tries several times a second for as long as that lasts. */
const FAILURE_LOG_LINES_PER_SECOND = 2;
const FAILURE_LOG_BURST = 10;

/** A version that was heard of, and when first. */
interface ObservedVersion {
    readonly sequence: Sequence;
    readonly at: Milliseconds;
}

/** Versions remembered that were heard of and are not in force. */
const MAX_OBSERVED_VERSIONS = 32;

/** Creates an empty record. */
export const createArrivalLog = ({ clock, logger }: ArrivalLogDependencies): ArrivalLog => {
    const observedVersions = new Map<PartnerName, readonly ObservedVersion[]>();
    const failureLogBucket = createTokenBucket({
        clock,
        ratePerSecond: () => FAILURE_LOG_LINES_PER_SECOND,
        burst: FAILURE_LOG_BURST,
    });
    /** Questions since the last version came into force. */
    const requestCounts = new Map<PartnerName, number>();
    let suppressedLines = 0;
    let currentOffer: { readonly origin: ArrivalOrigin; readonly startedAt: Milliseconds } | undefined;

    /** The earliest sign of the version itself or of one that holds it; forgets what is in force now. */
    const takeObservedAt = ({ partner, sequence }: Head): Milliseconds | undefined => {
        const observed = observedVersions.get(partner) ?? [];
        observedVersions.set(partner, observed.filter((other) => other.sequence > sequence));
        return observed.find((other) => other.sequence >= sequence)?.at;
    };

    return {
        noteHeard: ({ partner, sequence }) => {
            const observed = observedVersions.get(partner) ?? [];
            if (observed.every((other) => other.sequence < sequence)) {
                observedVersions.set(
                    partner,
                    [...observed, { sequence, at: clock.monotonic() }].slice(-MAX_OBSERVED_VERSIONS),
                );
            }
        },
        noteQuestion: (partner) => {
            requestCounts.set(partner, (requestCounts.get(partner) ?? 0) + 1);
        },
        offerFrom: (origin, applyOffer) => {
            const enclosingOffer = currentOffer;
            currentOffer = { origin, startedAt: clock.monotonic() };
            const result = applyOffer();
            currentOffer = enclosingOffer;
            return result;
        },
        noteApplied: (head, cells) => {
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
        noteFailedPull: ({ partner, source, reason, durationMs }) => {
            if (!failureLogBucket.tryTake()) {
                suppressedLines += 1;
                return;
            }
            logger.info("A pull failed.", { partner, source, reason, durationMs: Math.round(durationMs), leftOut: suppressedLines });
            suppressedLines = 0;
        },
    };
};
