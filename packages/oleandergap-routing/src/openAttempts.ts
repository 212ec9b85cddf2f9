/**
 * Keeps attempts of one request that timed out without a request heartbeat but are left running while the request is
 * sent to another target.
 *
 * A gate that sends no request heartbeats has most likely failed, so the request does not wait for it alone. But the
 * gate may only be slow, or its request heartbeats late, while its target processes the request. If the attempt were
 * cancelled at once, that run would be aborted; if the other attempts were then refused, the caller would receive a
 * failure instead of the response.
 */
import * as either from "fp-ts/lib/Either.js";
import type { AttemptResult, DiscardAnswer, OpenAttempt } from "./requestExecution.js";

/** The attempts of one request that are still running. The list is empty at first. */
export interface OpenAttempts<Answer> {
    readonly add: (attempt: OpenAttempt<Answer>) => void;
    readonly isEmpty: () => boolean;
    /** Returns the first response of an open attempt, or undefined once all of them have failed. */
    readonly answer: () => Promise<AttemptResult<Answer> | undefined>;
    /** Cancels all attempts except the one that ended with `kept`. */
    readonly cancelOthers: (kept?: AttemptResult<Answer>) => void;
}

interface Entry<Answer> {
    readonly attempt: OpenAttempt<Answer>;
    result: AttemptResult<Answer> | undefined;
}

/** Creates an empty list. `discard` receives the responses that arrive after another response was chosen. */
export const createOpenAttempts = <Answer>(discard: DiscardAnswer<Answer>): OpenAttempts<Answer> => {
    const entries: Entry<Answer>[] = [];

    return {
        add: (attempt) => {
            const entry: Entry<Answer> = { attempt, result: undefined };
            entries.push(entry);
            void attempt.result.then((result) => {
                entry.result = result;
            });
        },
        isEmpty: () => entries.length === 0,
        answer: () => new Promise((resolve) => {
            const resolveWithAnswer = async ({ attempt }: Entry<Answer>): Promise<void> => {
                const result = await attempt.result;
                if (either.isRight(result.outcome)) {
                    resolve(result);
                }
            };
            void Promise.all(entries.map(resolveWithAnswer)).then(() => resolve(undefined));
        }),
        cancelOthers: (kept) => {
            for (const { attempt, result } of entries.splice(0)) {
                if (result === undefined || result !== kept) {
                    attempt.cancel();
                    void attempt.result.then(({ outcome }) => either.isRight(outcome) && discard(outcome.right));
                }
            }
        },
    };
};
