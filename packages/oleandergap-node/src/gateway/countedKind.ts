/** Names under which the requests of callers are counted in the summaries of the log. */
import type { CallerRequest } from "./callerRequest.js";

/** Marks the kind of a request whose caller seems to have been refused before. */
const REPEATED_MARK = "+again";

/**
 * Returns the kind of a request with a mark if its caller seems to repeat it, or an empty string without a parsed head.
 * First and repeated requests rank differently, so that one count for both would hide which of them are refused.
 */
export const getCountedKind = (caller: Pick<CallerRequest, "kind" | "isCallerRetry"> | undefined): string =>
    caller === undefined ? "" : `${caller.kind}${caller.isCallerRetry ? REPEATED_MARK : ""}`;
