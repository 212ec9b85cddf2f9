/** The share of requests that nodes send to a service which is short of capacity. */

/**
 * Lowest share of the requests of a kind that nodes send, so that a recovery shows within a second. Gates count a
 * request that was sent by a share as one divided by it, down to this share.
 */
export const MINIMUM_SENT_SHARE = 0.05;
