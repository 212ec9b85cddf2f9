/** What a node holds of one customer: tokens, requests that wait for them, and counts for operators. */
import type { CustomerQuota, CustomerReference, Milliseconds } from "oleandergap-types";
import { MILLISECONDS_PER_SECOND } from "oleandergap-types";
import { createDemandMeter, type DemandMeter } from "./demandMeter.js";
import { createHeldTokens, type HeldTokens } from "./heldTokens.js";
import { MAX_TOKENS, type TokenRequest } from "./quotaMessage.js";

/** Time for whose demand a node asks ahead. Shorter than the lifetime of a token. */
const AHEAD_MS: Milliseconds = 200;
/** A node asks ahead when it holds less than this fraction of its target. */
const LOW_FRACTION = 0.5;
/** Longest retry delay, for quotas far below one request per second. */
const MAX_RETRY_AFTER_MS: Milliseconds = 60_000;
/** Resolution of a demand in a message: tenths of a request per second. */
const DEMAND_STEPS = 10;

/** A request that waits for a token. */
export interface WaitingRequest {
    readonly since: Milliseconds;
    /** Called once, with the end of the token, or with the retry delay if there is none. */
    readonly respond: (outcome: TokenOutcome) => void;
}

export type TokenOutcome =
    | { readonly kind: "Admitted"; readonly endsAt: Milliseconds }
    | { readonly kind: "Refused"; readonly retryAfterMs: Milliseconds };

/** Counts since the customer's first request at this node. */
export interface CustomerCounts {
    asked: number;
    admitted: number;
    refused: number;
}

/** State of one customer at one node. */
export interface CustomerTokens {
    readonly reference: CustomerReference;
    quota: CustomerQuota;
    /** Number of tokens that the node may keep without an end. */
    keptLimit: number;
    readonly tokens: HeldTokens;
    readonly demand: DemandMeter;
    readonly waiting: WaitingRequest[];
    /** Before this time, the owner need not be asked, because it has no tokens. */
    holdUntil: Milliseconds;
    /** Id of the message that asks for tokens of this customer; undefined if none is on the way. */
    askId: number | undefined;
    usedAt: Milliseconds;
    readonly counts: CustomerCounts;
}

export const createCustomerTokens = (reference: CustomerReference, quota: CustomerQuota): CustomerTokens => ({
    reference,
    quota,
    keptLimit: 0,
    tokens: createHeldTokens(),
    demand: createDemandMeter(),
    waiting: [],
    holdUntil: Number.NEGATIVE_INFINITY,
    askId: undefined,
    usedAt: 0,
    counts: { asked: 0, admitted: 0, refused: 0 },
});

/** Takes over the quota of a newer version. Tokens of a higher quota are dropped. */
export const updateQuota = (state: CustomerTokens, quota: CustomerQuota): void => {
    if (state.quota === quota) {
        return;
    }
    if (quota.ratePerSecond < state.quota.ratePerSecond || quota.burst < state.quota.burst) {
        state.tokens.clear();
    }
    state.quota = quota;
};

/** Returns the number of tokens that the node should hold: what it may keep, or what it uses soon if that is more. */
const computeTarget = (state: CustomerTokens, now: Milliseconds): number => Math.max(
    state.keptLimit,
    Math.floor(state.demand.rate(now) * AHEAD_MS / MILLISECONDS_PER_SECOND),
);

/** Returns whether tokens should be asked for before the next request arrives. */
export const isLow = (state: CustomerTokens, now: Milliseconds): boolean =>
    state.askId === undefined &&
    now >= state.holdUntil &&
    state.tokens.count(now) < LOW_FRACTION * computeTarget(state, now);

export const createTokenRequest = (state: CustomerTokens, now: Milliseconds): TokenRequest => ({
    ...state.reference,
    waiting: Math.min(MAX_TOKENS, state.waiting.length),
    ahead: Math.min(MAX_TOKENS, Math.max(0, computeTarget(state, now) - state.tokens.count(now))),
    demand: Math.round(state.demand.rate(now) * DEMAND_STEPS) / DEMAND_STEPS,
    rate: state.quota.ratePerSecond,
    burst: state.quota.burst,
});

/** Returns the time after which a refused request may find a token. */
export const computeRetryAfter = ({ holdUntil, quota }: CustomerTokens, now: Milliseconds): Milliseconds =>
    Math.ceil(Math.min(
        MAX_RETRY_AFTER_MS,
        Math.max(holdUntil - now, MILLISECONDS_PER_SECOND / quota.ratePerSecond),
    ));
