/** Divides the tokens of a pool among the nodes that ask for them. */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from "oleandergap-types";
import type { TokenRequest } from "./quotaMessage.js";

/** A pool grants all that is asked while at least this fraction of its capacity remains. */
export const PLENTY_FRACTION = 0.25;
/** Fraction of a short pool that one node may take for requests that wait. */
const SHORT_FRACTION = 0.5;
/** Multiple of its share that a node may take at once, so that few tokens remain in a short pool. */
const SHARE_FACTOR = 2;
/** Time for which a node does not ask again after a refusal. It bounds the messages that a flood causes. */
const HOLD_MS: Milliseconds = 100;

/** The tokens of a pool, and the requests that compete for them. */
export interface Competition {
    readonly available: number;
    readonly capacity: number;
    /** Tokens per second. */
    readonly supply: number;
    /** Requests per second at all nodes. */
    readonly demand: number;
}

/** Chooses the number of tokens to grant. While tokens are short, each node receives its share of the demand. */
export const chooseTokens = (request: TokenRequest, { available, capacity, demand }: Competition): number => {
    const wanted = request.waiting + request.ahead;
    if (available - wanted >= PLENTY_FRACTION * capacity) {
        return wanted;
    }
    const share = Math.floor(available * SHARE_FACTOR * request.demand / Math.max(demand, request.demand, 1));
    const forWaiting = Math.min(request.waiting, Math.max(1, Math.floor(available * SHORT_FRACTION)));
    return Math.max(0, Math.min(wanted, Math.floor(available), Math.max(share, forWaiting)));
};

/** Returns for how long the node must not ask again. */
export const chooseHold = (
    request: TokenRequest,
    tokens: number,
    { available, supply, demand }: Competition,
): Milliseconds => {
    const isEmptySoon = available - tokens < supply * HOLD_MS / MILLISECONDS_PER_SECOND;
    const isShort = tokens < request.waiting + request.ahead && demand > supply && isEmptySoon;
    return isShort || tokens < request.waiting ? HOLD_MS : 0;
};
