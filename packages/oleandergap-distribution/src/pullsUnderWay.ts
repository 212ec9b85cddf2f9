/** The questions for one partner's version that are under way, each to another source. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Clock, Head, Milliseconds } from "oleandergap-types";
import { linkSignal } from "oleandergap-utils";
import { formatClaimSource, type Claim, type ClaimSource } from "./claimBook.js";
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
    /** Asks one source; must end when the signal aborts. */
    readonly ask: (attempt: PullAttempt, signal: AbortSignal) => Promise<Either<FetchFailure, void>>;
    /** A newer version came into force. */
    readonly onDelivered: () => void;
    readonly onFailed: (attempt: PullAttempt, failure: FetchFailure, startedAt: Milliseconds) => void;
    /** Ends all questions. */
    readonly signal: AbortSignal;
}

/** None at first. */
export interface PullsUnderWay {
    readonly size: () => number;
    readonly isAsked: (source: ClaimSource) => boolean;
    readonly start: (attempt: PullAttempt) => void;
    /**
     * Gives up the questions whose answers bring nothing that is still wanted; nothing is told of them any more. False
     * when there are none.
     */
    readonly giveUpUnless: (isWanted: (head: Head) => boolean) => boolean;
}

interface RunningPull {
    readonly attempt: PullAttempt;
    readonly abort: () => void;
}

/** Creates an empty set of questions. */
export const createPullsUnderWay = (
    { clock, ask, onDelivered, onFailed, signal }: PullsUnderWayDependencies,
): PullsUnderWay => {
    const running = new Map<string, RunningPull>();

    const run = async (key: string, attempt: PullAttempt): Promise<void> => {
        const link = linkSignal(signal);
        const pull: RunningPull = { attempt, abort: link.abort };
        running.set(key, pull);
        const startedAt = clock.monotonic();
        const outcome = await ask(attempt, link.signal);
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

    return {
        size: () => running.size,
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
