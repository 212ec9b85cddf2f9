/** Times of a stop after its drain timeout. */
import type { Milliseconds } from "oleandergap-types";

/** Time for sending the final responses to aborted requests: several iterations of a busy event loop. */
export const FINAL_RESPONSE_MS: Milliseconds = 150;
/** Additional time for responses that are not complete, of callers or of other nodes. */
export const LATE_RESPONSE_MS: Milliseconds = 250;

/** Time after the drain timeout at which the requests of other nodes are interrupted. */
export const OTHER_NODES_EXTRA_MS: Milliseconds = FINAL_RESPONSE_MS + LATE_RESPONSE_MS;
