/**
 * Pulls newer versions of one partner from the sources that claim to hold them.
 *
 * A source may not respond, or its response may arrive slowly over a saturated link. If the puller waited for that one
 * source, the node would stay at an old version for the whole time although other sources hold the newer one. If no
 * response has arrived after a delay, the puller therefore sends a request to another source and keeps the earlier
 * requests running.
 */
import type { Logger } from "oleandergap-logger";
import type { CancelTimer, Clock, Milliseconds, PartnerName, Sequence } from "oleandergap-types";
import { drawBackoff, type Random } from "oleandergap-utils";
import type { ArrivalLog } from "./arrivalLog.js";
import { choosePull, hasUntriedPeer, type PullChoice } from "./choosePull.js";
import { createClaimRegistry, formatClaimSource, type Claim, type ClaimSource } from "./claimRegistry.js";
import type { PullOptions } from "./options.js";
import type { ConfigurationStorePort, PeerAddress } from "./ports.js";
import { startTimer } from "./periodic.js";
import { createFailureReporter } from "./failureReporter.js";
import { createInFlightPulls, type PullAttempt } from "./inFlightPulls.js";
import type { ReadBudget } from "./readBudget.js";
import type { SpreadCounters } from "./statistics.js";
import type { FetchFailure, FetchVersion } from "./versionFetcher.js";

/** Dependencies of a version puller. */
export interface VersionPullerDependencies {
    readonly partner: PartnerName;
    readonly store: Pick<ConfigurationStorePort, "document" | "needsVersion">;
    readonly fetchVersion: FetchVersion;
    /** Returns the peers to try if the sources that claimed a head do not deliver it. */
    readonly listFallbackPeers: () => readonly PeerAddress[];
    readonly budget: Pick<ReadBudget, "timeToNext">;
    readonly arrivalLog: Pick<ArrivalLog, "recordClaim" | "recordRequest" | "recordFailedPull">;
    /** Returns whether this node currently receives new versions by polling the platform. */
    readonly isFollowingPlatform: () => boolean;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly options: PullOptions;
    readonly counters: SpreadCounters;
    readonly signal: AbortSignal;
}

/** Keeps one partner's version up to date. */
export interface VersionPuller {
    /** Records a claim. Pulls the claimed version if it is newer than the version in force. */
    readonly reportClaim: (claim: Claim) => void;
    /** Returns the highest sequence among the current claims, or the sequence in force if that is higher. */
    readonly expectedSequence: () => Sequence;
}

type PullerState =
    | { readonly kind: "Idle" }
    /** At least one request is in flight. When the timer fires, another source is tried. */
    | { readonly kind: "Pulling"; readonly cancel: CancelTimer }
    /** Waits after a failure. Other requests may be in flight. */
    | { readonly kind: "BackingOff"; readonly cancel: CancelTimer }
    /** Waits until the budget allows the next platform read. Peers may be tried in the meantime. */
    | { readonly kind: "OverBudget"; readonly cancel: CancelTimer }
    /** A peer claimed a head that this node expects to read from the platform shortly. */
    | { readonly kind: "AwaitingPlatform"; readonly cancel: CancelTimer };

/** Returns whether the claimed version came into force in another way while the request was in flight. */
const isSuperseded = (
    { store }: Pick<VersionPullerDependencies, "store">,
    { claim }: PullAttempt,
    failure: FetchFailure,
): boolean => failure.kind === "NothingNewer" && claim !== undefined && !store.needsVersion(claim.head);

/** Maximum exponent of the backoff. The backoff reaches its maximum before this exponent. */
const MAX_BACKOFF_EXPONENT = 16;

/**
 * Creates the puller of one partner. Each partner has its own puller, so that a pull that hangs never delays the
 * versions of another partner.
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

    /**
     * Schedules the next pull after the read budget was exhausted. If a claiming peer has no request in flight, only
     * the backoff applies, because the next platform read may be many seconds away.
     */
    const waitForReadBudget = (): void => {
        const hasUntriedPeers = registry.claims().some(({ source }) =>
            source.kind === "Peer" && !inFlightPulls.isInFlight(source));
        const backoff = drawBackoff(random, 0, options.backoffBaseMs, options.backoffMaximumMs);
        const delay = hasUntriedPeers ? backoff : budget.timeToNext() + backoff;
        state = { kind: "OverBudget", cancel: startTimer(clock, signal, delay, pullNext) };
    };

    const getChoice = (): PullChoice => ({
        claims: registry.claims(),
        getFailures: registry.getFailures,
        isInFlight: inFlightPulls.isInFlight,
        isLastFailedSource,
        listFallbackPeers,
        random,
    });

    const handleFailure = (attempt: PullAttempt, failure: FetchFailure, startedAt: Milliseconds): void => {
        lastFailedSource = formatClaimSource(attempt.source);
        if (failure.kind === "OverBudget") {
            waitForReadBudget();
            return;
        }
        reportFailure(attempt, failure, startedAt);
        if (hasUntriedPeer(getChoice())) {
            pullNext();
            return;
        }
        const delay = drawBackoff(random, consecutiveFailures, options.backoffBaseMs, options.backoffMaximumMs);
        consecutiveFailures = Math.min(consecutiveFailures + 1, MAX_BACKOFF_EXPONENT);
        state = { kind: "BackingOff", cancel: startTimer(clock, signal, delay, pullNext) };
    };

    const inFlightPulls = createInFlightPulls({
        clock,
        options,
        sendRequest: ({ source }, pullSignal, onProgress) => {
            counters.pulls += 1;
            arrivalLog.recordRequest(partner);
            const timeoutMs = source.kind === "Peer" ? options.longestMs : options.platformTimeoutMs;
            return fetchVersion(partner, source, { clock, timeoutMs, signal: pullSignal, onProgress });
        },
        hasUntriedSource: () => hasUntriedPeer(getChoice()),
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
        registry.removeUnneeded(store.needsVersion);
        inFlightPulls.cancelUnless(store.needsVersion);
        const attempt = inFlightPulls.hasFreeSlot() ? choosePull(getChoice()) : undefined;
        if (attempt !== undefined && !signal.aborted) {
            inFlightPulls.start(attempt);
        }
        if (inFlightPulls.isEmpty()) {
            consecutiveFailures = 0;
            return;
        }
        state = { kind: "Pulling", cancel: inFlightPulls.startHedgingTimer(pullNext) };
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
            if (!store.needsVersion(claim.head)) {
                return;
            }
            arrivalLog.recordClaim(claim.head);
            const isNewest = registry.add(claim);
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
            else if (inFlightPulls.cancelUnless(store.needsVersion)) {
                // Requests for a version that is now in force would occupy the slots of requests for newer versions.
                cancelTimer();
                pullNext();
            }
        },
        expectedSequence: () => Math.max(getSequence(), registry.claims()[0]?.head.sequence ?? 0),
    };
};
