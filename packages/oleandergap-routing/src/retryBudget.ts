/**
 * Limits the retries of a service. Without a budget, a failing service would receive a multiple of its usual requests
 * just when it can serve the fewest, so its load would rise with its error rate.
 */

/** Number of reroute tokens that one success adds. */
const REROUTES_PER_SUCCESS = 1;

/**
 * Kind of budget token that a retry costs.
 *
 * - `Repeat`: the failed attempt caused work for a target or a gate, and the retry may cause it again.
 * - `Reroute`: the failed attempt could not connect to its target, or was refused without work for a target, so the
 *   retry adds no load to the healthy targets.
 */
export type RetryCost = "Repeat" | "Reroute";

/** The retries that one service has left. */
export interface RetryBudget {
    /** Records a success. `ratio` is the number of retries per request that the row allows. */
    readonly deposit: (ratio: number) => void;
    /** Takes a token. Returns false if none is left. */
    readonly tryWithdraw: (cost: RetryCost) => boolean;
}

/**
 * Creates a budget with a full reserve. Only successes add tokens, so that a service that fails completely gets almost
 * no retries. Each success adds `ratio` repeat tokens and one reroute token: when half of a service's targets fail at
 * once, every second attempt is sent to a failed target, and the healthy targets can serve all of the rerouted
 * requests.
 */
export const createRetryBudget = (reserve: number): RetryBudget => {
    let repeatTokens = reserve;
    let rerouteTokens = reserve;
    return {
        deposit: (ratio) => {
            repeatTokens = Math.min(reserve, repeatTokens + ratio);
            rerouteTokens = Math.min(reserve, rerouteTokens + REROUTES_PER_SUCCESS);
        },
        tryWithdraw: (cost) => {
            if (cost === "Repeat") {
                const hasToken = repeatTokens >= 1;
                repeatTokens -= hasToken ? 1 : 0;
                return hasToken;
            }
            const hasToken = rerouteTokens >= 1;
            rerouteTokens -= hasToken ? 1 : 0;
            return hasToken;
        },
    };
};
