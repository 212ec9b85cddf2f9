/** The questions for one partner's version that are under way, each to another source. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { CancelTimer, Clock, Head, Milliseconds } from "oleandergap-types";
import { linkSignal } from "oleandergap-utils";
import { formatClaimSource, type Claim, type ClaimSource } from "./claimBook.js";
import type { PullOptions } from "./options.js";
import { startTimer } from "./periodic.js";
import type { NoteProgress } from "./ports.js";
import type { FetchFailure } from "./versionFetcher.js";

/** One question to one source. */
export interface PullAttempt {
    readonly source: ClaimSource;
    /** The newest version that is known of when the question is asked. */
    readonly wanted: Head;
    /** What this source told, if it told anything. */
    readonly claim: Claim | undefined;
}

/** What questions are asked with. */
export interface PullsUnderWayDependencies {
    readonly clock: Clock;
    readonly options: Pick<PullOptions, "answerPatienceMs" | "arrivingPatienceMs">;
    /** Asks one source; must end when the signal aborts. */
    readonly ask: (
        attempt: PullAttempt,
        signal: AbortSignal,
        onProgress: NoteProgress,
    ) => Promise<Either<FetchFailure, void>>;
    /** A newer version came into force. */
    readonly onDelivered: () => void;
    readonly onFailed: (attempt: PullAttempt, failure: FetchFailure, startedAt: Milliseconds) => void;
    /** Ends all questions. */
    readonly signal: AbortSignal;
}

/** None at first. */
export interface PullsUnderWay {
    readonly isEmpty: () => boolean;
    readonly hasPlace: () => boolean;
    readonly isAsked: (source: ClaimSource) => boolean;
    readonly start: (attempt: PullAttempt) => void;
    /** Calls `onEnd` when it is time to ask another source too. */
    readonly startPatience: (onEnd: () => void) => CancelTimer;
    /**
     * Gives up the questions whose answers bring nothing that is still wanted; nothing is told of them any more. False
     * when there are none.
     */
    readonly giveUpUnless: (isWanted: (head: Head) => boolean) => boolean;
}

interface RunningPull {
    readonly attempt: PullAttempt;
    readonly startedAt: Milliseconds;
    readonly abort: () => void;
    /** When a part of the answer last came. */
    progressAt: Milliseconds;
}

/** Sources that are asked at the same time: two of them may be dead or behind full links. */
const MAX_PULLS_AT_ONCE = 3;

/** Creates an empty set of questions. */
export const createPullsUnderWay = (
    { clock, options, ask, onDelivered, onFailed, signal }: PullsUnderWayDependencies,
): PullsUnderWay => {
    const running = new Map<string, RunningPull>();

    const run = async (key: string, attempt: PullAttempt): Promise<void> => {
        const link = linkSignal(signal);
        const startedAt = clock.monotonic();
        const pull: RunningPull = { attempt, startedAt, abort: link.abort, progressAt: Number.NEGATIVE_INFINITY };
        running.set(key, pull);
        const outcome = await ask(attempt, link.signal, () => {
            pull.progressAt = clock.monotonic();
        });
        link.release();
        if (running.get(key) !== pull) {
            return;
        }
        running.delete(key);
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
        return [...running.values()].some(({ startedAt, progressAt }) =>
            now - progressAt < options.answerPatienceMs && now - startedAt < options.arrivingPatienceMs);
    };

    const startPatience: PullsUnderWay["startPatience"] = (onEnd) => {
        let cancel: CancelTimer = () => undefined;
        const wait = (): void => {
            cancel = startTimer(clock, signal, options.answerPatienceMs, () => (isArriving() ? wait() : onEnd()));
        };
        wait();
        return () => cancel();
    };

    return {
        isEmpty: () => running.size === 0,
        hasPlace: () => running.size < MAX_PULLS_AT_ONCE,
        startPatience,
        isAsked: (source) => running.has(formatClaimSource(source)),
        start: (attempt) => void run(formatClaimSource(attempt.source), attempt),
        giveUpUnless: (isWanted) => {
            const unwanted = [...running].filter(([, { attempt }]) => !isWanted(attempt.wanted));
            for (const [key, { abort }] of unwanted) {
                running.delete(key);
                abort();
            }
            return unwanted.length > 0;
        },
    };
};
