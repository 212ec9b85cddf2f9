/** Takes tokens for requests, and asks the pool owner for more. */
import type { CustomerQuota, CustomerReference, Milliseconds } from "oleandergap-types";
import { createAskSender, type AskCounts, type AskSenderDependencies } from "./askSender.js";
import {
    computeRetryAfter,
    isLow,
    type CustomerTokens,
    type TokenOutcome,
} from "./customerTokens.js";
import type { QuotaOptions } from "./options.js";
import type { PendingAsk } from "./pendingAsks.js";
import { computeTokenBudget, TOKEN_LIFETIME_MS } from "./quotaBound.js";
import type { Grant, TokenGrant } from "./quotaMessage.js";
import type { QuotaNetwork, QuotaPeer } from "./quotaNetwork.js";
import type { TokenStore } from "./tokenStore.js";

/** Time for which tokens that are asked for ahead wait for others that share the datagram. */
const FLUSH_MS: Milliseconds = 100;
/** Longest wait of a request for a token, over two owners. */
const MAX_WAIT_MS: Milliseconds = 450;

export interface TokenClientDependencies extends Omit<AskSenderDependencies, "onGivenUp"> {
    readonly options: QuotaOptions;
    readonly store: TokenStore;
    readonly network: Pick<QuotaNetwork, "self" | "countZones">;
}

export interface TokenClient {
    /** Takes a token for a request, now or as soon as the owner has granted one. */
    readonly take: (
        reference: CustomerReference,
        quota: CustomerQuota,
        respond: (outcome: TokenOutcome) => void,
    ) => void;
    readonly receiveGrant: (from: QuotaPeer, grant: Grant) => void;
    /** Lends this node's parts to the chosen owner, or finds out whether the owner still responds. */
    readonly renewLoan: () => void;
    readonly counts: () => AskCounts;
}

export const createTokenClient = (dependencies: TokenClientDependencies): TokenClient => {
    const { clock, options, store, choice, zoneSize, network } = dependencies;
    let isFlushScheduled = false;

    const handleGivenUp = ({ ask: { id } }: PendingAsk): void => {
        const now = clock.monotonic();
        const states = [...store.list()].filter(({ askId }) => askId === id);
        states.forEach((state) => {
            state.askId = undefined;
            store.refuse(state, now, ({ since }) => now - since >= MAX_WAIT_MS);
        });
        sender.ask(states.filter(({ waiting }) => waiting.length > 0));
    };

    const sender = createAskSender({ ...dependencies, onGivenUp: handleGivenUp });

    /** Asks for tokens of `urgent` customers, and of others that are low, which share the datagram. */
    const askWithLow = (urgent: readonly CustomerTokens[]): void => {
        const now = clock.monotonic();
        const low = [...store.list()].filter((state) => !urgent.includes(state) && isLow(state, now));
        sender.ask([...urgent, ...low]);
    };

    const scheduleFlush = (): void => {
        if (!isFlushScheduled) {
            isFlushScheduled = true;
            clock.after(FLUSH_MS, () => {
                isFlushScheduled = false;
                askWithLow([]);
            });
        }
    };

    /** Uses the tokens of a grant, and returns whether requests still wait although more may be granted. */
    const applyGrant = (state: CustomerTokens, { tokens, holdMs }: TokenGrant, sentAt: Milliseconds): boolean => {
        const now = clock.monotonic();
        const endsAt = sentAt + TOKEN_LIFETIME_MS;
        const size = { zones: network.countZones(), nodesPerZone: zoneSize.count() };
        state.keptLimit = computeTokenBudget(state.quota, options, size).keptPerNode;
        state.tokens.keep(state.keptLimit);
        if (endsAt > now && tokens > 0) {
            state.tokens.add(tokens, endsAt);
        }
        store.serve(state, now);
        if (holdMs > 0) {
            state.holdUntil = now + holdMs;
            store.refuse(state, now, () => true);
        }
        return state.waiting.length > 0;
    };

    const receiveGrant = (from: QuotaPeer, grant: Grant): void => {
        zoneSize.learn(grant.members);
        choice.recordStamp(from.id, grant.stamp);
        choice.recordReadiness(from.id, grant.isReady);
        const answered = sender.takeAnswered(grant.id);
        if (answered === undefined) {
            return;
        }
        const unserved = grant.grants.flatMap((granted) => {
            const state = store.find(granted);
            if (state?.askId !== grant.id) {
                return [];
            }
            state.askId = undefined;
            return applyGrant(state, granted, answered.sentAt) ? [state] : [];
        });
        sender.ask(unserved);
        sender.renewEndingLoan();
    };

    return {
        take: (reference, quota, respond) => {
            const now = clock.monotonic();
            const state = store.open(reference, quota, now);
            const request = { since: now, respond };
            const endsAt = state.tokens.take(now);
            if (endsAt !== undefined) {
                store.respond(state, request, { kind: "Admitted", endsAt });
                if (isLow(state, now)) {
                    scheduleFlush();
                }
                return;
            }
            if (now < state.holdUntil) {
                store.respond(state, request, { kind: "Refused", retryAfterMs: computeRetryAfter(state, now) });
                return;
            }
            state.waiting.push(request);
            if (state.askId === undefined) {
                askWithLow([state]);
            }
        },
        receiveGrant,
        renewLoan: sender.renewLoan,
        counts: sender.counts,
    };
};
