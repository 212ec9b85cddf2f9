/** The customers whose requests arrive at this node: their tokens, waiting requests and counts. */
import { formatCustomerReference, type CustomerQuota, type CustomerReference, type Milliseconds } from "oleandergap-types";
import {
    computeRetryAfter,
    createCustomerTokens,
    updateQuota,
    type CustomerCounts,
    type CustomerTokens,
    type TokenOutcome,
    type WaitingRequest,
} from "./customerTokens.js";

/** Customers without requests for this time are forgotten. */
const FORGET_MS: Milliseconds = 30_000;
/** Interval of the search for them. */
const FORGET_INTERVAL_MS: Milliseconds = 5000;

export interface TokenStore {
    /** Returns the state of a customer, created if necessary. */
    readonly open: (reference: CustomerReference, quota: CustomerQuota, now: Milliseconds) => CustomerTokens;
    readonly find: (reference: CustomerReference) => CustomerTokens | undefined;
    readonly list: () => Iterable<CustomerTokens>;
    readonly size: () => number;
    /** Counts of all customers since the start of the process, also of forgotten ones. */
    readonly totals: () => Readonly<CustomerCounts>;
    /** Responds to a request and counts the outcome. */
    readonly respond: (state: CustomerTokens, request: WaitingRequest, outcome: TokenOutcome) => void;
    /** Gives tokens to waiting requests, oldest first. */
    readonly serve: (state: CustomerTokens, now: Milliseconds) => void;
    /** Refuses the waiting requests that satisfy `isRefused`. */
    readonly refuse: (
        state: CustomerTokens,
        now: Milliseconds,
        isRefused: (request: WaitingRequest) => boolean,
    ) => void;
}

export const createTokenStore = (): TokenStore => {
    const states = new Map<string, CustomerTokens>();
    const totals: CustomerCounts = { asked: 0, admitted: 0, refused: 0 };
    let lookedAt = 0;

    const forgetIdle = (now: Milliseconds): void => {
        if (now - lookedAt < FORGET_INTERVAL_MS) {
            return;
        }
        lookedAt = now;
        for (const [key, { usedAt, waiting }] of states) {
            if (now - usedAt > FORGET_MS && waiting.length === 0) {
                states.delete(key);
            }
        }
    };

    const respond: TokenStore["respond"] = ({ counts }, request, outcome) => {
        const count = outcome.kind === "Admitted" ? "admitted" : "refused";
        counts[count] += 1;
        totals[count] += 1;
        request.respond(outcome);
    };

    return {
        open: (reference, quota, now) => {
            forgetIdle(now);
            const text = formatCustomerReference(reference);
            const state = states.get(text) ?? createCustomerTokens(reference, quota);
            states.set(text, state);
            updateQuota(state, quota);
            state.usedAt = now;
            state.demand.record(now);
            state.counts.asked += 1;
            totals.asked += 1;
            return state;
        },
        find: (reference) => states.get(formatCustomerReference(reference)),
        list: () => states.values(),
        size: () => states.size,
        totals: () => totals,
        respond,
        serve: (state, now) => {
            while (state.waiting[0] !== undefined) {
                const endsAt = state.tokens.take(now);
                if (endsAt === undefined) {
                    return;
                }
                respond(state, state.waiting[0], { kind: "Admitted", endsAt });
                state.waiting.shift();
            }
        },
        refuse: (state, now, isRefused) => {
            const refused = state.waiting.filter(isRefused);
            if (refused.length === 0) {
                return;
            }
            const kept = state.waiting.filter((request) => !isRefused(request));
            state.waiting.splice(0, state.waiting.length, ...kept);
            const retryAfterMs = computeRetryAfter(state, now);
            refused.forEach((request) => respond(state, request, { kind: "Refused", retryAfterMs }));
        },
    };
};
