/** Parses the timeout that a caller sets for its request. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { TIMEOUT_HEADER, type Milliseconds, type RequestFailure } from "oleandergap-types";

/** Maximum timeout of a request, in milliseconds. */
export const MAX_TIMEOUT_MS = 600_000;

const DIGITS_PATTERN = /^\d{1,9}$/;

/** Parses the header's value; returns `defaultTimeout` when the caller specifies no timeout. */
export const parseTimeout = <Default extends Milliseconds | undefined>(
    value: string | undefined,
    defaultTimeout: Default,
): Either<RequestFailure, Milliseconds | Default> => {
    if (value === undefined) {
        return either.right(defaultTimeout);
    }
    return DIGITS_PATTERN.test(value) ?
        either.right(Math.min(Number(value), MAX_TIMEOUT_MS)) :
        either.left({
            kind: "BadRequest",
            verdict: "notRun",
            detail: `${TIMEOUT_HEADER} must be a whole number of milliseconds`,
        });
};
