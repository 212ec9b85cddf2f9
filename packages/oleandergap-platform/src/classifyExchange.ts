/** Classifies the result of an exchange: the call succeeded, certainly had no effect, or has an unknown outcome. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { PlatformError, StoreEra } from "oleandergap-types";
import type { ExchangeResult } from "./exchange.js";

/** A write may change data on the platform. Reads, scans, gets and lists never do. */
export type CallKind = "Read" | "Write";

/** A response that was received completely and has one of the {@link SUCCESS_STATUSES}. */
export interface PlatformResponse {
    readonly status: number;
    readonly body: Buffer;
}

/** A response and the era of the platform's store in which it was created. */
export interface ResponseWithEra extends PlatformResponse {
    readonly era: StoreEra;
}

const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_SERVER_ERROR = 500;
const STATUS_UNAVAILABLE = 503;

/** The requested part of the history is no longer available. */
const STATUS_GONE = 410;
/** A condition was not met, and nothing was written. */
const STATUS_CONDITION_FAILED = 412;

/** Statuses of responses that are meaningful to the caller, including negative ones such as 404. */
const SUCCESS_STATUSES: ReadonlySet<number> = new Set([
    200,
    204,
    STATUS_NOT_FOUND,
    STATUS_GONE,
    STATUS_CONDITION_FAILED,
]);

const isRejection = (status: number): boolean =>
    status === STATUS_UNAVAILABLE || (status >= STATUS_BAD_REQUEST && status < STATUS_SERVER_ERROR);

/** Returns the error of a call without a usable response: a write may have taken effect, a read has failed. */
export const toUnusableResponseError = (kind: CallKind, detail: string): PlatformError =>
    kind === "Write" ? { kind: "OutcomeUnknown", detail } : { kind: "Unavailable", detail };

/**
 * Converts the result of an exchange into a response or an error. A read never has an unknown outcome, because it has
 * no effect.
 */
export const classifyExchange = (
    kind: CallKind,
    result: ExchangeResult,
): Either<PlatformError, PlatformResponse> => {
    switch (result.kind) {
        case "NotSent":
            return either.left({ kind: "Unavailable", detail: result.detail });
        case "Lost":
            return either.left(toUnusableResponseError(kind, result.detail));
        case "Answered":
            break;
    }
    if (SUCCESS_STATUSES.has(result.status)) {
        return either.right({ status: result.status, body: result.body });
    }
    const detail = `the platform answered with status ${result.status}`;
    return either.left(isRejection(result.status) ?
        { kind: "Unavailable", detail } :
        toUnusableResponseError(kind, detail));
};
