/** The questions for one partner's version that are under way, each to another source. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { CancelTimer, Clock, Head, Milliseconds } from "oleandergap-types";
import { linkSignal } from "oleandergap-utils";
import { formatClaimSource, type Claim, type ClaimSource } from "./claimBook.js";
import type { PullOptions } from "./options.js";
import { startTimer } from "./periodic.js";
import type { ProgressListener } from "./ports.js";
import type { FetchFailure } from "./versionFetcher.js";

/** One question to one source. */
export interface PullAttempt {
    readonly source: ClaimSource;
    /** The newest version that is known of when the question is asked. */
    readonly newestHead: Head;
    /** What this source told, if it told anything. */
    readonly claim: Claim | undefined;
}

/** What questions are asked with. */
export interface InFlightPullsDependencies {
    readonly clock: Clock;
    readonly options: Pick<PullOptions, "answerPatienceMs" | "arrivingPatienceMs">;
    /** Asks one source; must end when the signal aborts. */
    readonly sendRequest: (
        attempt: PullAttempt,
        signal: AbortSignal,
        onProgress: ProgressListener,
    ) => Promise<Either<FetchFailure, void>>;
    /** A newer version came into force. */
    readonly onDelivered: () => void;
    readonly onFailed: (attempt: PullAttempt, failure: FetchFailure, startedAt: Milliseconds) => void;
    /** Ends all questions. */
    readonly signal: AbortSignal;
}

/** None at first. */
export interface InFlightPulls {
    readonly isEmpty: () => boolean;
    readonly hasFreeSlot: () => boolean;
    readonly isInFlight: (source: ClaimSource) => boolean;
    readonly start: (attempt: PullAttempt) => void;
    /** Calls `onEnd` when it is time to ask another source too. */
    readonly startPatience: (onEnd: () => void) => CancelTimer;
    /**
     * Gives up the questions whose answers bring nothing that is still wanted; nothing is told of them any more. False
     * when there are none.
     */
    readonly cancelUnless: (isWanted: (head: Head) => boolean) => boolean;
}

interface InFlightPull {
    readonly attempt: PullAttempt;
    readonly startedAt: Milliseconds;
    readonly abort: () => void;
    /** When a part of the answer last came. */
    lastProgressAt: Milliseconds;
}

/** Sources that are asked at the same time: two of them may be dead or behind full links. */
const MAX_CONCURRENT_PULLS = 3;

/** Creates an empty set of questions. */
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
     * Whether an answer is on its way and may still come in time. It may be this node's own link that is narrow: more
     * answers would share it, and all of them be late.
     */
    const isArriving = (): boolean => {
        const now = clock.monotonic();
        return [...pulls.values()].some(({ startedAt, lastProgressAt }) =>
            now - lastProgressAt < options.answerPatienceMs && now - startedAt < options.arrivingPatienceMs);
    };

    const startPatience: InFlightPulls["startPatience"] = (onEnd) => {
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
        startPatience,
        isInFlight: (source) => pulls.has(formatClaimSource(source)),
        start: (attempt) => void run(formatClaimSource(attempt.source), attempt),
        cancelUnless: (isWanted) => {
            const obsoletePulls = [...pulls].filter(([, { attempt }]) => !isWanted(attempt.newestHead));
            for (const [key, { abort }] of obsoletePulls) {
                pulls.delete(key);
                abort();
            }
            return obsoletePulls.length > 0;
        },
    };
};
