/** Tracks the in-flight requests for one partner's version. Each request goes to a different source. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { CancelTimer, Clock, Head, Milliseconds } from "oleandergap-types";
import { linkSignal } from "oleandergap-utils";
import { formatClaimSource, type Claim, type ClaimSource } from "./claimRegistry.js";
import type { PullOptions } from "./options.js";
import { startTimer } from "./periodic.js";
import type { ProgressListener } from "./ports.js";
import type { FetchFailure } from "./versionFetcher.js";

/** One request to one source. */
export interface PullAttempt {
    readonly source: ClaimSource;
    /** The newest claimed version at the time of the request. */
    readonly newestHead: Head;
    /** The claim of this source; undefined if this source made no claim. */
    readonly claim: Claim | undefined;
}

/** Dependencies of the in-flight pulls. */
export interface InFlightPullsDependencies {
    readonly clock: Clock;
    readonly options: Pick<PullOptions, "answerPatienceMs" | "arrivingPatienceMs">;
    /** Sends a request to one source. The request must end when the signal aborts. */
    readonly sendRequest: (
        attempt: PullAttempt,
        signal: AbortSignal,
        onProgress: ProgressListener,
    ) => Promise<Either<FetchFailure, void>>;
    /** Called after a newer version came into force. */
    readonly onDelivered: () => void;
    /** Called after a request failed; `startedAt` is the time at which it was sent. */
    readonly onFailed: (attempt: PullAttempt, failure: FetchFailure, startedAt: Milliseconds) => void;
    /** Ends all requests when aborted. */
    readonly signal: AbortSignal;
}

/** The in-flight requests for one partner's version. */
export interface InFlightPulls {
    readonly isEmpty: () => boolean;
    readonly hasFreeSlot: () => boolean;
    readonly isInFlight: (source: ClaimSource) => boolean;
    readonly start: (attempt: PullAttempt) => void;
    /** Starts a timer that calls `onEnd` when a request should be sent to another source in parallel. */
    readonly startHedgingTimer: (onEnd: () => void) => CancelTimer;
    /**
     * Cancels the requests for versions that are no longer wanted. The callbacks are not called for cancelled requests.
     * Returns whether any request was cancelled.
     */
    readonly cancelUnless: (isNeeded: (head: Head) => boolean) => boolean;
}

interface InFlightPull {
    readonly attempt: PullAttempt;
    readonly startedAt: Milliseconds;
    readonly abort: () => void;
    /** Time at which the last part of the response arrived. */
    lastProgressAt: Milliseconds;
}

/**
 * Maximum number of concurrent requests. The third one covers two sources that are dead or reachable only over
 * saturated links.
 */
const MAX_CONCURRENT_PULLS = 3;

/** Creates an empty set of in-flight requests. */
export const createInFlightPulls = (
    { clock, options, sendRequest, onDelivered, onFailed, signal }: InFlightPullsDependencies,
): InFlightPulls => {
    const pulls = new Map<string, InFlightPull>();

    const run = async (key: string, attempt: PullAttempt): Promise<void> => {
        const link = linkSignal(signal);
        const startedAt = clock.monotonic();
        const pull: InFlightPull = { attempt, startedAt, abort: link.abort, lastProgressAt: Number.NEGATIVE_INFINITY };
        pulls.set(key, pull);
        const outcome = await sendRequest(attempt, link.signal, () => {
            pull.lastProgressAt = clock.monotonic();
        });
        link.release();
        if (pulls.get(key) !== pull) {
            return;
        }
        pulls.delete(key);
        if (either.isLeft(outcome)) {
            onFailed(attempt, outcome.left, startedAt);
            return;
        }
        onDelivered();
    };

    /**
     * Returns whether a response is arriving and may still complete in time. The bottleneck may be the link of this
     * node. Further responses would then share that link, and all of them would be late.
     */
    const isArriving = (): boolean => {
        const now = clock.monotonic();
        return [...pulls.values()].some(({ startedAt, lastProgressAt }) =>
            now - lastProgressAt < options.answerPatienceMs && now - startedAt < options.arrivingPatienceMs);
    };

    const startHedgingTimer: InFlightPulls["startHedgingTimer"] = (onEnd) => {
        let cancel: CancelTimer = () => undefined;
        const wait = (): void => {
            cancel = startTimer(clock, signal, options.answerPatienceMs, () => (isArriving() ? wait() : onEnd()));
        };
        wait();
        return () => cancel();
    };

    return {
        isEmpty: () => pulls.size === 0,
        hasFreeSlot: () => pulls.size < MAX_CONCURRENT_PULLS,
        startHedgingTimer,
        isInFlight: (source) => pulls.has(formatClaimSource(source)),
        start: (attempt) => void run(formatClaimSource(attempt.source), attempt),
        cancelUnless: (isNeeded) => {
            const obsoletePulls = [...pulls].filter(([, { attempt }]) => !isNeeded(attempt.newestHead));
            for (const [key, { abort }] of obsoletePulls) {
                pulls.delete(key);
                abort();
            }
            return obsoletePulls.length > 0;
        },
    };
};
