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
import type { ArrivalLog } from "./arrivals.js";
import { choosePull } from "./choosePull.js";
import { createClaimRegistry, formatClaimSource, type Claim, type ClaimSource } from "./claimBook.js";
import type { PullOptions } from "./options.js";
import type { ConfigurationStorePort, PeerAddress } from "./ports.js";
import { startTimer } from "./periodic.js";
import { createFailureReporter } from "./pullFailures.js";
import { createInFlightPulls, type PullAttempt } from "./pullsUnderWay.js";
import type { ReadBudget } from "./readBudget.js";
import type { SpreadCounters } from "./statistics.js";
import type { FetchFailure, FetchVersion } from "./versionFetcher.js";

/** What a version puller works with. */
export interface VersionPullerDependencies {
    readonly partner: PartnerName;
    readonly store: Pick<ConfigurationStorePort, "document" | "isWanted">;
    readonly fetchVersion: FetchVersion;
    /** Peers to try when those who told a head do not deliver it. */
    readonly listFallbackPeers: () => readonly PeerAddress[];
    readonly budget: Pick<ReadBudget, "timeToNext">;
    readonly arrivalLog: Pick<ArrivalLog, "noteHeard" | "noteQuestion" | "noteFailedPull">;
    /** Whether this node hears of new versions from the platform itself at the moment. */
    readonly isFollowingPlatform: () => boolean;
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
    readonly reportClaim: (claim: Claim) => void;
    /** The highest sequence that is still believed to exist, never below what is in force. */
    readonly expectedSequence: () => Sequence;
}

type PullerState =
    | { readonly kind: "Idle" }
    /** At least one question is under way; the timer ends the patience with it. */
    | { readonly kind: "Pulling"; readonly cancel: CancelTimer }
    /** After a failure; other questions may be under way. */
    | { readonly kind: "BackingOff"; readonly cancel: CancelTimer }
    /** For the next read of the platform; peers may be asked meanwhile. */
    | { readonly kind: "OverBudget"; readonly cancel: CancelTimer }
    /** A peer told a head that this node is about to hear from the platform. */
    | { readonly kind: "AwaitingPlatform"; readonly cancel: CancelTimer };

/** Whether the version came into force in another way while its holder was asked. */
const isSuperseded = (
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
    const { partner, store, fetchVersion, listFallbackPeers, budget, arrivalLog, isFollowingPlatform } = dependencies;
    const { clock, random, options, counters, signal } = dependencies;
    const registry = createClaimRegistry({ clock, options });
    let state: PullerState = { kind: "Idle" };
    let consecutiveFailures = 0;
    let lastFailedSource: string | undefined;

    const getSequence = (): Sequence => store.document(partner).sequence;
    const reportFailure = createFailureReporter({ ...dependencies, registry, sequence: getSequence });

    const isLastFailedSource = (source: ClaimSource): boolean => formatClaimSource(source) === lastFailedSource;

    const retryAfterDelay = (delay: number): void => {
        state = { kind: "BackingOff", cancel: startTimer(clock, signal, delay, pullNext) };
    };

    /** Peers that told of the version are asked at once: the next read may be many seconds away. */
    const waitForReadBudget = (): void => {
        const hasUnaskedPeers = registry.claims().some(({ source }) =>
            source.kind === "Peer" && !inFlightPulls.isInFlight(source));
        const backoff = drawBackoff(random, 0, options.backoffBaseMs, options.backoffMaximumMs);
        const delay = hasUnaskedPeers ? backoff : budget.timeToNext() + backoff;
        state = { kind: "OverBudget", cancel: startTimer(clock, signal, delay, pullNext) };
    };

    const handleFailure = (attempt: PullAttempt, failure: FetchFailure, startedAt: Milliseconds): void => {
        lastFailedSource = formatClaimSource(attempt.source);
        if (failure.kind === "OverBudget") {
            waitForReadBudget();
            return;
        }
        reportFailure(attempt, failure, startedAt);
        const exponent = Math.min(consecutiveFailures, MAX_BACKOFF_EXPONENT);
        consecutiveFailures += 1;
        retryAfterDelay(drawBackoff(random, exponent, options.backoffBaseMs, options.backoffMaximumMs));
    };

    const inFlightPulls = createInFlightPulls({
        clock,
        options,
        sendRequest: ({ source }, pullSignal, onProgress) => {
            counters.pulls += 1;
            arrivalLog.noteQuestion(partner);
            const timeoutMs = source.kind === "Peer" ? options.longestMs : options.platformTimeoutMs;
            return fetchVersion(partner, source, { clock, timeoutMs, signal: pullSignal, onProgress });
        },
        onDelivered: () => {
            consecutiveFailures = 0;
            lastFailedSource = undefined;
            cancelTimer();
            pullNext();
        },
        onFailed: (attempt, failure, startedAt) => {
            cancelTimer();
            if (isSuperseded(dependencies, attempt, failure)) {
                pullNext();
                return;
            }
            handleFailure(attempt, failure, startedAt);
        },
        signal,
    });

    const pullNext = (): void => {
        state = { kind: "Idle" };
        registry.settle(store.isWanted);
        inFlightPulls.cancelUnless(store.isWanted);
        const attempt = inFlightPulls.hasFreeSlot() ?
            choosePull({
                claims: registry.claims(),
                isInFlight: inFlightPulls.isInFlight,
                isLastFailedSource,
                listFallbackPeers,
                random,
            }) :
            undefined;
        if (attempt !== undefined && !signal.aborted) {
            inFlightPulls.start(attempt);
        }
        if (inFlightPulls.isEmpty()) {
            consecutiveFailures = 0;
            return;
        }
        state = {
            kind: "Pulling",
            cancel: inFlightPulls.hasFreeSlot() ? inFlightPulls.startPatience(pullNext) : () => undefined,
        };
    };

    const cancelTimer = (): void => {
        if (state.kind !== "Idle") {
            state.cancel();
        }
    };

    const startPulling = (isFromPlatform: boolean): void => {
        if (isFromPlatform || options.peerPatienceMs === 0 || !isFollowingPlatform()) {
            pullNext();
            return;
        }
        state = { kind: "AwaitingPlatform", cancel: startTimer(clock, signal, options.peerPatienceMs, pullNext) };
    };

    return {
        reportClaim: (claim) => {
            if (!store.isWanted(claim.head)) {
                return;
            }
            arrivalLog.noteHeard(claim.head);
            const isNewest = registry.note(claim);
            const isFromPlatform = claim.source.kind === "Platform";
            const shouldStopBackoff = state.kind === "BackingOff" && isNewest && !isLastFailedSource(claim.source);
            const shouldStopAwaitingPlatform = state.kind === "AwaitingPlatform" && isFromPlatform;
            const canAvoidPlatformRead = state.kind === "OverBudget" && !isFromPlatform;
            if (shouldStopBackoff || shouldStopAwaitingPlatform || canAvoidPlatformRead) {
                cancelTimer();
                state = { kind: "Idle" };
            }
            if (state.kind === "Idle") {
                startPulling(isFromPlatform);
            }
            else if (inFlightPulls.cancelUnless(store.isWanted)) {
                // Answers for what is in force by now would take the places of those for what is newer.
                cancelTimer();
                pullNext();
            }
        },
        expectedSequence: () => Math.max(getSequence(), registry.claims()[0]?.head.sequence ?? 0),
    };
};
