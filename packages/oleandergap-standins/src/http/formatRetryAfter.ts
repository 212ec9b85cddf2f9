/** Formats the response headers that contain the retry delay for the caller. */
import {
    MILLISECONDS_PER_SECOND,
    RETRY_AFTER_HEADER,
    RETRY_AFTER_MS_HEADER,
    type Milliseconds,
} from "oleandergap-types";

/** Returns the standard header in whole seconds and the project's header in milliseconds, both rounded up. */
export const formatRetryAfterHeaders = (retryAfterMs: Milliseconds): Readonly<Record<string, string>> => ({
    [RETRY_AFTER_HEADER]: String(Math.ceil(retryAfterMs / MILLISECONDS_PER_SECOND)),
    [RETRY_AFTER_MS_HEADER]: String(Math.ceil(retryAfterMs)),
});
