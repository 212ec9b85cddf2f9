/** Brings one partner's version forward, one pull at a time, from whoever claims to hold a newer one. */
import * as either from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import type { CancelTimer, Clock, Milliseconds, PartnerName, Sequence } from "oleandergap-types";
import { drawBackoff, pickOne, type Random } from "oleandergap-utils";
import type { Arrivals } from "./arrivals.js";
import { createClaimBook, formatClaimSource, type Claim, type ClaimSource } from "./claimBook.js";
import type { PullOptions } from "./options.js";
import type { ConfigurationStorePort, PeerAddress } from "./ports.js";
import { startTimer } from "./periodic.js";
import type { ReadBudget } from "./readBudget.js";
import type { SpreadCounters } from "./statistics.js";
import type { FetchFailure, FetchVersion } from "./versionFetcher.js";

/** What a version puller works with. */
export interface VersionPullerDependencies {
    readonly partner: PartnerName;
    readonly store: Pick<ConfigurationStorePort, "document" | "isWanted">;
    readonly fetchVersion: FetchVersion;
    /** Peers to try when those who told a head do not deliver it. */
    readonly otherPeers: () => readonly PeerAddress[];
    readonly budget: Pick<ReadBudget, "timeToNext">;
    readonly arrivals: Pick<Arrivals, "noteHeard" | "noteFailedPull">;
    /** Whether this node hears of new versions from the platform itself at the moment. */
    readonly followsPlatform: () => boolean;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly options: PullOptions;
    readonly counters: SpreadCounters;
    readonly signal: AbortSignal;
}

/** Follows one partner's versions. */
export interface VersionPuller {
    /** Notes that `source` claims to hold a head; pulls it if it is newer than what is in force. */
    readonly tell: (claim: Claim) => void;
    /** The highest sequence that is still believed to exist, never below what is in force. */
    readonly expectedSequence: () => Sequence;
}

type PullerState =
    | { readonly kind: "Idle" }
    | { readonly kind: "Pulling" }
    /** After a failure, or for want of budget. */
    | { readonly kind: "Waiting"; readonly cancel: CancelTimer }
    /** A peer told a head that this node is about to hear from the platform. */
    | { readonly kind: "Patient"; readonly cancel: CancelTimer };

/** One question to one source; `claim` is what this source told, if it told anything. */
interface PullAttempt {
    readonly source: ClaimSource;
    readonly claim: Claim | undefined;
}

const formatFailure = (failure: FetchFailure): string =>
    "detail" in failure ? `${failure.kind}: ${failure.detail}` : failure.kind;

/** Longest exponent of the back-off; the bound is reached before it. */
const MAX_BACKOFF_EXPONENT = 16;

/**
 * Creates the puller of one partner. Partners have separate pullers, so that a pull of one that is stuck never delays
 * the other.
 */
export const createVersionPuller = ({
    partner,
    store,
    fetchVersion,
    otherPeers,
    budget,
    arrivals,
    followsPlatform,
    clock,
    random,
    logger,
    options,
    counters,
    signal,
}: VersionPullerDependencies): VersionPuller => {
    const book = createClaimBook({ clock, options });
    let state: PullerState = { kind: "Idle" };
    let failuresInARow = 0;
    let lastFailed: string | undefined;

    const sequence = (): Sequence => store.document(partner).sequence;

    const hasNotFailedLast = (source: ClaimSource): boolean => formatClaimSource(source) !== lastFailed;

    /**
     * Whoever told the highest head goes first. After a failure somebody else is asked, or one silent or lying peer
     * could hold a node back for as long as it keeps telling higher heads.
     */
    const chooseAttempt = (): PullAttempt | undefined => {
        const claims = book.claims();
        const next = claims.find((claim) => hasNotFailedLast(claim.source));
        if (next !== undefined || claims.length === 0) {
            return next && { source: next.source, claim: next };
        }
        const other = pickOne(random, otherPeers().filter((peer) => peer.id !== lastFailed));
        const last = claims[0];
        return other === undefined ?
            last && { source: last.source, claim: last } :
            { source: { kind: "Peer", peer: other }, claim: undefined };
    };

    const waitBefore = (delay: number): void => {
        state = { kind: "Waiting", cancel: startTimer(clock, signal, delay, pullNext) };
    };

    const noteFailure = ({ source, claim }: PullAttempt, failure: FetchFailure, startedAt: Milliseconds): void => {
        lastFailed = formatClaimSource(source);
        if (failure.kind === "OverBudget") {
            waitBefore(budget.timeToNext() + drawBackoff(random, 0, options.backoffBaseMs, options.backoffMaximumMs));
            return;
        }
        counters.pullFailures += 1;
        arrivals.noteFailedPull({
            partner,
            source: lastFailed,
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
                source: lastFailed,
                meaning,
            });
        }
        const exponent = Math.min(failuresInARow, MAX_BACKOFF_EXPONENT);
        failuresInARow += 1;
        waitBefore(drawBackoff(random, exponent, options.backoffBaseMs, options.backoffMaximumMs));
    };

    const pullFrom = async (attempt: PullAttempt): Promise<void> => {
        counters.pulls += 1;
        const timeoutMs = attempt.source.kind === "Peer" ? options.longestMs : options.platformTimeoutMs;
        const startedAt = clock.monotonic();
        const outcome = await fetchVersion(partner, attempt.source, { clock, timeoutMs, signal });
        if (either.isLeft(outcome)) {
            noteFailure(attempt, outcome.left, startedAt);
            return;
        }
        failuresInARow = 0;
        lastFailed = undefined;
        pullNext();
    };

    const pullNext = (): void => {
        state = { kind: "Idle" };
        book.settle(store.isWanted);
        const attempt = chooseAttempt();
        if (signal.aborted || attempt === undefined) {
            failuresInARow = 0;
            return;
        }
        state = { kind: "Pulling" };
        void pullFrom(attempt);
    };

    const cancelWait = (): void => {
        if (state.kind === "Waiting" || state.kind === "Patient") {
            state.cancel();
            state = { kind: "Idle" };
        }
    };

    const startPulling = (isFromPlatform: boolean): void => {
        if (isFromPlatform || options.peerPatienceMs === 0 || !followsPlatform()) {
            pullNext();
            return;
        }
        state = { kind: "Patient", cancel: startTimer(clock, signal, options.peerPatienceMs, pullNext) };
    };

    return {
        tell: (claim) => {
            if (!store.isWanted(claim.head)) {
                return;
            }
            arrivals.noteHeard(claim.head);
            const isNews = book.note(claim);
            const isFromPlatform = claim.source.kind === "Platform";
            const endsWait = state.kind === "Waiting" && isNews && hasNotFailedLast(claim.source);
            if ((state.kind === "Patient" && isFromPlatform) || endsWait) {
                cancelWait();
            }
            if (state.kind === "Idle") {
                startPulling(isFromPlatform);
            }
        },
        expectedSequence: () => Math.max(sequence(), book.claims()[0]?.head.sequence ?? 0),
    };
};
