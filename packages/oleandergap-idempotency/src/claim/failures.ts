/** Failures that are returned to the caller of a request with an idempotency key that is not run. */
import type { Milliseconds, RequestFailure } from "oleandergap-types";

/**
 * Creates the failure for a claim that cannot be made now. This attempt did not run; an earlier attempt with the same
 * key may have run.
 */
export const createUnavailableFailure = (retryAfterMs: Milliseconds): RequestFailure =>
    ({ kind: "Refused", verdict: "notRun", reason: "ClaimUnavailable", retryAfterMs: Math.ceil(retryAfterMs) });

export const createDeadlineFailure = (retryAfterMs: Milliseconds): RequestFailure =>
    ({ kind: "Refused", verdict: "notRun", reason: "DeadlinePassed", retryAfterMs: Math.ceil(retryAfterMs) });

export const createCancelledFailure = (): RequestFailure =>
    ({ kind: "Refused", verdict: "notRun", reason: "Cancelled", retryAfterMs: 0 });

/** Creates the failure for a repeat of a key that was accepted before and whose outcome is unknown. */
export const createDuplicateFailure = (retryAfterMs: Milliseconds): RequestFailure =>
    ({ kind: "DuplicateKey", verdict: "mayHaveRun", retryAfterMs: Math.ceil(retryAfterMs) });

export const createKeyReuseFailure = (): RequestFailure =>
    ({ kind: "BadRequest", verdict: "notRun", detail: "the idempotency key was used before with another request" });

/**
 * Creates the failure for a key with a timestamp in the future. If such a key were accepted, a later owner of its
 * partition, whose key range starts at a later time, would accept it too.
 */
export const createFutureKeyFailure = (): RequestFailure =>
    ({ kind: "BadRequest", verdict: "notRun", detail: "the time in the idempotency key lies in the future" });
