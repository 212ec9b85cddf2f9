/**
 * Attempts of one request that failed by their silence, and go on while it is tried elsewhere.
 *
 * A silent gate is most likely gone, so that nobody waits for it alone. But it may only be behind, or its signs of life
 * late, while its target works on the request: closed at once, the run would be cut, and if the other attempts are
 * refused, the caller would be told of a loss instead of receiving the answer.
 */
import * as either from "fp-ts/lib/Either.js";
import type { AttemptResult, DiscardAnswer, OpenAttempt } from "./requestExecution.js";

/** The open attempts of one request, none at first. */
export interface OpenAttempts<Answer> {
    readonly add: (attempt: OpenAttempt<Answer>) => void;
    readonly isEmpty: () => boolean;
    /** The first answer of an open attempt; undefined once all have failed. */
    readonly answer: () => Promise<AttemptResult<Answer> | undefined>;
    /** Gives all of them up but the one that ended with `kept`. */
    readonly giveUp: (kept?: AttemptResult<Answer>) => void;
}

interface Entry<Answer> {
    readonly attempt: OpenAttempt<Answer>;
    result: AttemptResult<Answer> | undefined;
}

/** `discard` takes the answers that come although nobody wants them any more. */
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
            const takeAnswer = async ({ attempt }: Entry<Answer>): Promise<void> => {
                const result = await attempt.result;
                if (either.isRight(result.outcome)) {
                    resolve(result);
                }
            };
            void Promise.all(entries.map(takeAnswer)).then(() => resolve(undefined));
        }),
        giveUp: (kept) => {
            for (const { attempt, result } of entries.splice(0)) {
                if (result === undefined || result !== kept) {
                    attempt.cancel();
                    void attempt.result.then(({ outcome }) => either.isRight(outcome) && discard(outcome.right));
                }
            }
        },
    };
};
