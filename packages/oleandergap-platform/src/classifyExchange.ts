/** Says what the end of an exchange means for its call: done, surely without effect, or with an unknown outcome. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { PlatformError, StoreEra } from "oleandergap-types";
import type { ExchangeResult } from "./exchange.js";

/** A write may change something at the platform; a read, scan, get or list never does. */
export type CallKind = "Read" | "Write";

/** An answer that arrived whole, with one of the statuses of a success. */
export interface PlatformAnswer {
    readonly status: number;
    readonly body: Buffer;
}

/** An answer, and the era that the platform gave it in. */
export interface DatedAnswer extends PlatformAnswer {
    readonly era: StoreEra;
}

const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_SERVER_ERROR = 500;
const STATUS_UNAVAILABLE = 503;

/** The history that was asked for is no longer kept. */
const STATUS_GONE = 410;
/** A condition did not hold, and nothing was written. */
const STATUS_CONDITION_FAILED = 412;

/** Statuses that answer the question, be it by a no. */
const SUCCESS_STATUSES: ReadonlySet<number> = new Set([
    200,
    204,
    STATUS_NOT_FOUND,
    STATUS_GONE,
    STATUS_CONDITION_FAILED,
]);

const isRefusal = (status: number): boolean =>
    status === STATUS_UNAVAILABLE || (status >= STATUS_BAD_REQUEST && status < STATUS_SERVER_ERROR);

/** What a call without a usable answer comes to: a write may have taken effect, a read has simply failed. */
export const toMissingAnswer = (kind: CallKind, detail: string): PlatformError =>
    kind === "Write" ? { kind: "OutcomeUnknown", detail } : { kind: "Unavailable", detail };

/** What the end of an exchange means for its call. A read never has an unknown outcome: it has no effect. */
export const classifyExchange = (
    kind: CallKind,
    result: ExchangeResult,
): Either<PlatformError, PlatformAnswer> => {
    switch (result.kind) {
        case "NotSent":
            return either.left({ kind: "Unavailable", detail: result.detail });
        case "Lost":
            return either.left(toMissingAnswer(kind, result.detail));
        case "Answered":
            break;
    }
    if (SUCCESS_STATUSES.has(result.status)) {
        return either.right({ status: result.status, body: result.body });
    }
    const detail = `the platform answered with status ${result.status}`;
    return either.left(isRefusal(result.status) ? { kind: "Unavailable", detail } : toMissingAnswer(kind, detail));
};
