/** The attempts at one change: what they leave to each other, and how each ends. */
import * as either from "fp-ts/lib/Either.js";
import type { ChangeError } from "./changeError.js";
import type { ChangeResult, HeadVersion } from "./outcomeReader.js";
import type { ResolvedEdit } from "./planChange.js";

/** What earlier attempts at the same change leave to the next. */
export interface ChangeProgress {
    edits: readonly ResolvedEdit[] | undefined;
    /** Versions of the head row on which transactions with an unknown outcome are conditional. */
    readonly openHeadVersions: HeadVersion[];
    /** Calls that failed without effect. */
    failedCalls: number;
}

/** Failed calls that a change without an open attempt survives. */
const MAX_FAILED_CALLS = 1;

/** What one attempt at a change came to. */
export type AttemptStep =
    | { readonly kind: "Done"; readonly result: ChangeResult }
    | { readonly kind: "Again" };

/** Another attempt may succeed. */
export const tryAgain: AttemptStep = { kind: "Again" };
/** The change has ended. */
export const endChange = (result: ChangeResult): AttemptStep => ({ kind: "Done", result });

/**
 * A call that failed without effect is tried once more, since an answer may just have been lost; then the change
 * ends, so that its operator soon learns of an outage. While an attempt is open, it goes on until its time is over.
 */
export const failCall = (progress: ChangeProgress, error: ChangeError): AttemptStep => {
    progress.failedCalls += 1;
    const isOpen = progress.openHeadVersions.length > 0;
    const isWorthRetrying = error.kind === "Unavailable" && progress.failedCalls <= MAX_FAILED_CALLS;
    return isOpen || isWorthRetrying ? tryAgain : endChange(either.left(error));
};
