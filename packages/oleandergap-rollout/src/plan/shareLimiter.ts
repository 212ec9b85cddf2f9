/** Limits the share of requests that one node sends to a new version, exactly and without randomness. */

/** Decides for each request whether it goes to the new version. */
export interface ShareLimiter {
    /**
     * Counts one request and returns whether it goes to the new version. Without a target there, it does not, and its
     * share is kept for a later request.
     */
    readonly take: (share: number, hasTarget: boolean) => boolean;
}

/** Highest credit, in requests. */
const MAXIMUM_CREDIT = 2;

/**
 * Creates a limiter. After `n` requests with a share of `s`, it has admitted at most `n * s` of them, so that the bound
 * also holds for the sum over many nodes that each see little traffic. A random choice would hold on average only.
 */
export const createShareLimiter = (): ShareLimiter => {
    let credit = 0;
    return {
        take: (share, hasTarget) => {
            // Unused shares are kept up to a limit. More would be sent to the new version at once.
            credit = Math.min(credit + share, MAXIMUM_CREDIT);
            if (!hasTarget || credit < 1 || share <= 0) {
                return false;
            }
            credit -= 1;
            return true;
        },
    };
};
