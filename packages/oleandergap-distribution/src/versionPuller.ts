/**
 * Brings one partner's version forward from whoever claims to hold a newer one.
 *
 * A source may be silent, or its answer may trickle over a link that is full. If nobody else were asked meanwhile, a
 * node would stay behind for as long as that lasts, though others hold the version; so another one is asked when no
 * answer has come for a while, and the earlier questions go on.
 */
import type { Logger } from "oleandergap-logger";
import type { CancelTimer, Clock, Milliseconds, PartnerName, Sequence } from "oleandergap-types";
import { drawBackoff, type Random } from "oleandergap-utils";
import type { Arrivals } from "./arrivals.js";
import { choosePull } from "./choosePull.js";
import { createClaimBook, formatClaimSource, type Claim, type ClaimSource } from "./claimBook.js";
import type { PullOptions } from "./options.js";
import type { ConfigurationStorePort, PeerAddress } from "./ports.js";
import { startTimer } from "./periodic.js";
import { createFailureReport } from "./pullFailures.js";
import { createPullsUnderWay, type PullAttempt } from "./pullsUnderWay.js";
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
    readonly arrivals: Pick<Arrivals, "noteHeard" | "noteQuestion" | "noteFailedPull">;
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
    /** At least one question is under way; the timer ends the patience with it. */
    | { readonly kind: "Pulling"; readonly cancel: CancelTimer }
    /** After a failure; other questions may be under way. */
    | { readonly kind: "Waiting"; readonly cancel: CancelTimer }
    /** For the next read of the platform; peers may be asked meanwhile. */
    | { readonly kind: "OverBudget"; readonly cancel: CancelTimer }
    /** A peer told a head that this node is about to hear from the platform. */
    | { readonly kind: "Patient"; readonly cancel: CancelTimer };

/** Whether the version came into force in another way while its holder was asked. */
const isOvertaken = (
    { store }: Pick<VersionPullerDependencies, "store">,
    { claim }: PullAttempt,
    failure: FetchFailure,
): boolean => failure.kind === "NothingNewer" && claim !== undefined && !store.isWanted(claim.head);

/** Longest exponent of the back-off; the bound is reached before it. */
const MAX_BACKOFF_EXPONENT = 16;

/**
 * Creates the puller of one partner. Partners have separate pullers, so that a pull of one that is stuck never delays
 * the other.
 */
export const createVersionPuller = (dependencies: VersionPullerDependencies): VersionPuller => {
    const { partner, store, fetchVersion, otherPeers, budget, arrivals, followsPlatform } = dependencies;
    const { clock, random, options, counters, signal } = dependencies;
    const book = createClaimBook({ clock, options });
    let state: PullerState = { kind: "Idle" };
    let failuresInARow = 0;
    let lastFailed: string | undefined;

    const sequence = (): Sequence => store.document(partner).sequence;
    const reportFailure = createFailureReport({ ...dependencies, book, sequence });

    const hasFailedLast = (source: ClaimSource): boolean => formatClaimSource(source) === lastFailed;

    const waitBefore = (delay: number): void => {
        state = { kind: "Waiting", cancel: startTimer(clock, signal, delay, pullNext) };
    };

    /** Peers that told of the version are asked at once: the next read may be many seconds away. */
    const waitForRead = (): void => {
        const knowsPeers = book.claims().some(({ source }) => source.kind === "Peer" && !underWay.isAsked(source));
        const backoff = drawBackoff(random, 0, options.backoffBaseMs, options.backoffMaximumMs);
        const delay = knowsPeers ? backoff : budget.timeToNext() + backoff;
        state = { kind: "OverBudget", cancel: startTimer(clock, signal, delay, pullNext) };
    };

    const noteFailure = (attempt: PullAttempt, failure: FetchFailure, startedAt: Milliseconds): void => {
        lastFailed = formatClaimSource(attempt.source);
        if (failure.kind === "OverBudget") {
            waitForRead();
            return;
        }
        reportFailure(attempt, failure, startedAt);
        const exponent = Math.min(failuresInARow, MAX_BACKOFF_EXPONENT);
        failuresInARow += 1;
        waitBefore(drawBackoff(random, exponent, options.backoffBaseMs, options.backoffMaximumMs));
    };

    const underWay = createPullsUnderWay({
        clock,
        options,
        ask: ({ source }, pullSignal, onProgress) => {
            counters.pulls += 1;
            arrivals.noteQuestion(partner);
            const timeoutMs = source.kind === "Peer" ? options.longestMs : options.platformTimeoutMs;
            return fetchVersion(partner, source, { clock, timeoutMs, signal: pullSignal, onProgress });
        },
        onDelivered: () => {
            failuresInARow = 0;
            lastFailed = undefined;
            cancelTimer();
            pullNext();
        },
        onFailed: (attempt, failure, startedAt) => {
            cancelTimer();
            if (isOvertaken(dependencies, attempt, failure)) {
                pullNext();
                return;
            }
            noteFailure(attempt, failure, startedAt);
        },
        signal,
    });

    const pullNext = (): void => {
        state = { kind: "Idle" };
        book.settle(store.isWanted);
        underWay.giveUpUnless(store.isWanted);
        const attempt = underWay.hasPlace() ?
            choosePull({ claims: book.claims(), isAsked: underWay.isAsked, hasFailedLast, otherPeers, random }) :
            undefined;
        if (attempt !== undefined && !signal.aborted) {
            underWay.start(attempt);
        }
        if (underWay.isEmpty()) {
            failuresInARow = 0;
            return;
        }
        state = { kind: "Pulling", cancel: underWay.hasPlace() ? underWay.startPatience(pullNext) : () => undefined };
    };

    const cancelTimer = (): void => {
        if (state.kind !== "Idle") {
            state.cancel();
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
            const endsWait = state.kind === "Waiting" && isNews && !hasFailedLast(claim.source);
            const endsPatience = state.kind === "Patient" && isFromPlatform;
            const sparesRead = state.kind === "OverBudget" && !isFromPlatform;
            if (endsWait || endsPatience || sparesRead) {
                cancelTimer();
                state = { kind: "Idle" };
            }
            if (state.kind === "Idle") {
                startPulling(isFromPlatform);
            }
            else if (underWay.giveUpUnless(store.isWanted)) {
                // Answers for what is in force by now would take the places of those for what is newer.
                cancelTimer();
                pullNext();
            }
        },
        expectedSequence: () => Math.max(sequence(), book.claims()[0]?.head.sequence ?? 0),
    };
};
