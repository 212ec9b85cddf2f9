/** State that is shared by the attempts at one change, and the result of each attempt. */
import * as either from "fp-ts/lib/Either.js";
import type { ChangeError } from "./changeError.js";
import type { ChangeResult, HeadVersion } from "./outcomeReader.js";
import type { ResolvedEdit } from "./planChange.js";

/** State that earlier attempts at a change pass to later attempts. */
export interface ChangeProgress {
    edits: readonly ResolvedEdit[] | undefined;
    /** Head row versions on which transactions with an unknown outcome are conditional. */
    readonly unresolvedHeadVersions: HeadVersion[];
    /** Number of platform calls that failed without effect. */
    failedCallCount: number;
}

/** Maximum number of failed calls after which a change without an unresolved attempt is still retried. */
const MAX_TOLERATED_FAILED_CALLS = 1;

/** Result of one attempt at a change. */
export type AttemptResult =
    | { readonly kind: "Done"; readonly result: ChangeResult }
    | { readonly kind: "Retry" };

/** Requests another attempt. */
export const retryAttempt: AttemptResult = { kind: "Retry" };
/** Ends the change with `result`. */
export const endChange = (result: ChangeResult): AttemptResult => ({ kind: "Done", result });

/**
 * Decides whether to retry after a call that failed without effect. The call is retried once, because only its response
 * may have been lost. After a second failure the change ends, so that the operator is informed of an outage early. A
 * change with an unresolved attempt is retried until its deadline.
 */
export const handleFailedCall = (progress: ChangeProgress, error: ChangeError): AttemptResult => {
    progress.failedCallCount += 1;
    const hasUnresolvedAttempt = progress.unresolvedHeadVersions.length > 0;
    const isRetryable = error.kind === "Unavailable" && progress.failedCallCount <= MAX_TOLERATED_FAILED_CALLS;
    return hasUnresolvedAttempt || isRetryable ? retryAttempt : endChange(either.left(error));
};
