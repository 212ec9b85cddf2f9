/** Tracks the in-flight requests for one partner's version. Each request goes to a different source. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { CancelTimer, Clock, Head, Milliseconds } from "oleandergap-types";
import { linkSignal } from "oleandergap-utils";
import { formatClaimSource, type Claim, type ClaimSource } from "./claimRegistry.js";
import type { PullOptions } from "./options.js";
import { startTimer } from "./periodic.js";
import type { ProgressListener } from "./ports.js";
import { createPullProgress, type PullProgress } from "./pullProgress.js";
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
    readonly options: Pick<PullOptions, "answerPatienceMs" | "arrivingPatienceMs" | "timelyResponseMs">;
    /** Sends a request to one source. The request must end when the signal aborts. */
    readonly sendRequest: (
        attempt: PullAttempt,
        signal: AbortSignal,
        onProgress: ProgressListener,
    ) => Promise<Either<FetchFailure, void>>;
    /** Returns whether a source that claimed a version was not tried yet. */
    readonly hasUntriedSource: () => boolean;
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
    /**
     * Starts a timer that calls `onEnd` when a request should be sent to another source. If no slot is free and a
     * source is untried, it gives up the request whose response is expected last instead, as a failed one.
     */
    readonly startHedgingTimer: (onEnd: () => void) => CancelTimer;
    /**
     * Cancels the requests for versions that are no longer wanted. The callbacks are not called for cancelled requests.
     * Returns whether any request was cancelled.
     */
    readonly cancelUnless: (isNeeded: (head: Head) => boolean) => boolean;
}

interface InFlightPull {
    readonly attempt: PullAttempt;
    readonly abort: () => void;
    readonly progress: PullProgress;
}

/**
 * Maximum number of concurrent requests. The third one covers two sources that are dead or reachable only over
 * saturated links.
 */
const MAX_CONCURRENT_PULLS = 3;
/** Creates an empty set of in-flight requests. */
export const createInFlightPulls = (
    { clock, options, sendRequest, hasUntriedSource, onDelivered, onFailed, signal }: InFlightPullsDependencies,
): InFlightPulls => {
    const pulls = new Map<string, InFlightPull>();

    /** Time at which the link of this node was last found to be the bottleneck. */
    let sharedLinkNoticedAt = Number.NEGATIVE_INFINITY;

    const run = async (key: string, attempt: PullAttempt): Promise<void> => {
        const link = linkSignal(signal);
        const progress = createPullProgress(clock);
        const pull: InFlightPull = { attempt, abort: link.abort, progress };
        pulls.forEach((other) => other.progress.markPace());
        pulls.set(key, pull);
        const outcome = await sendRequest(attempt, link.signal, progress.record);
        link.release();
        if (pulls.get(key) !== pull) {
            return;
        }
        pulls.delete(key);
        if (either.isLeft(outcome)) {
            onFailed(attempt, outcome.left, progress.startedAt);
            return;
        }
        onDelivered();
    };

    const hasFreeSlot = (): boolean => pulls.size < MAX_CONCURRENT_PULLS;

    /** Returns the expected end of the response; the latest one if it cannot be estimated. */
    const getExpectedEnd = ({ progress }: InFlightPull): Milliseconds =>
        Math.min(progress.startedAt + progress.getExpectedDuration(), Number.MAX_SAFE_INTEGER);

    /** Sorts the requests by the expected end of their responses, and equal ones from the newest to the oldest. */
    const listByExpectedEnd = (): readonly (readonly [string, InFlightPull])[] =>
        [...pulls].sort(([, left], [, right]) =>
            getExpectedEnd(left) - getExpectedEnd(right) || right.progress.startedAt - left.progress.startedAt);

    /**
     * Returns the time until a request is sent to another source; 0 if it is due. The bottleneck may be the link of
     * this node. Further responses would then share that link, and all of them would be late. No other source is
     * therefore tried while a response will be complete in time, and only after a longer time while a single response
     * keeps arriving.
     */
    const getRemainingPatience = (): Milliseconds => {
        const arriving = [...pulls.values()]
            .map(({ progress }) => progress)
            .filter(({ isArriving }) => isArriving(options.answerPatienceMs));
        if (arriving.some(({ getExpectedDuration }) => getExpectedDuration() <= options.timelyResponseMs)) {
            return options.answerPatienceMs;
        }
        const [only] = arriving;
        if (only === undefined || pulls.size > 1) {
            return 0;
        }
        const patienceFrom = Math.max(only.startedAt, sharedLinkNoticedAt);
        return Math.max(0, patienceFrom + options.arrivingPatienceMs - clock.monotonic());
    };

    /**
     * Ends all requests but the one whose response is expected first, if the link of this node is the bottleneck.
     * Without their responses, that one takes half or a third of the time. They are no failures of their sources.
     */
    const endSharingOfLink = (): void => {
        const [fastest, ...others] = listByExpectedEnd();
        if (fastest === undefined || ![...pulls.values()].some(({ progress }) => progress.hasSlowedDown())) {
            return;
        }
        sharedLinkNoticedAt = clock.monotonic();
        fastest[1].progress.clearMark();
        for (const [key, { abort }] of others) {
            pulls.delete(key);
            abort();
        }
    };

    /**
     * Gives up the request whose response is expected last. The response that is expected first is never given up, so
     * that one completes also if the link of this node is the bottleneck.
     */
    const giveUpSlowest = (): void => {
        const slowest = listByExpectedEnd().at(-1);
        if (slowest === undefined) {
            return;
        }
        const [key, pull] = slowest;
        pulls.delete(key);
        pull.abort();
        onFailed(pull.attempt, { kind: "NoAnswer", detail: "too slow" }, pull.progress.startedAt);
    };

    const startHedgingTimer: InFlightPulls["startHedgingTimer"] = (onEnd) => {
        let cancel: CancelTimer = () => undefined;
        const wait = (delay: Milliseconds): void => {
            cancel = startTimer(clock, signal, Math.min(delay, options.answerPatienceMs), () => {
                endSharingOfLink();
                const remaining = getRemainingPatience();
                if (remaining > 0) {
                    wait(remaining);
                    return;
                }
                if (hasFreeSlot() || !hasUntriedSource()) {
                    onEnd();
                    return;
                }
                giveUpSlowest();
            });
        };
        wait(options.answerPatienceMs);
        return () => cancel();
    };

    return {
        isEmpty: () => pulls.size === 0,
        hasFreeSlot,
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
