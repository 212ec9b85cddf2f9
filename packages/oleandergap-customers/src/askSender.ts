/** Sends messages that ask for tokens and lend this node's parts to the pool owner that this node has chosen. */
import type { Clock, Milliseconds } from "oleandergap-types";
import { splitIntoChunks, type Random } from "oleandergap-utils";
import { createTokenRequest, type CustomerTokens } from "./customerTokens.js";
import { LOAN_MS } from "./loanRegistry.js";
import type { OwnerChoice } from "./ownerChoice.js";
import { createPendingAsks, type PendingAsk } from "./pendingAsks.js";
import { MAX_ENTRIES, MAX_IDLE_MS, type Ask, type Stamp } from "./quotaMessage.js";
import type { QuotaNetwork, QuotaPeer } from "./quotaNetwork.js";
import type { ZoneSize } from "./zoneSize.js";

/** Shortest interval of messages that only renew a loan. */
const RENEW_INTERVAL_MS: Milliseconds = 250;
/** Shortest interval of messages that find out whether a better ranked node is ready. */
const LOOK_INTERVAL_MS: Milliseconds = 500;
/** A loan is renewed when its rest is below this time. */
const RENEW_BEFORE_MS: Milliseconds = LOAN_MS / 2;
/** Ids start at a random number, so that those of an earlier process are not mistaken for this one's. */
const FIRST_ID_BOUND = 2 ** 31;

/** Numbers of messages since the start of the process. */
export interface AskCounts {
    readonly asksSent: number;
    readonly asksAnswered: number;
    readonly asksGivenUp: number;
}

export interface AskSenderDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly choice: OwnerChoice;
    readonly zoneSize: ZoneSize;
    readonly network: Pick<QuotaNetwork, "self">;
    /** Returns a stamp of this node's own pools. */
    readonly createOwnStamp: () => Stamp;
    /** Sends a message to another node or to this one. */
    readonly send: (to: QuotaPeer, ask: Ask) => void;
    /** Called when a message was not answered. */
    readonly onGivenUp: (pending: PendingAsk) => void;
}

export interface AskSender {
    /** Asks the chosen owner for tokens of these customers, in as few messages as possible. */
    readonly ask: (states: readonly CustomerTokens[]) => void;
    /** Returns the message with this id that has just been answered; undefined if it is not pending. */
    readonly takeAnswered: (id: number) => PendingAsk | undefined;
    /** Lends this node's parts to the chosen owner, or finds out whether the owner still responds. */
    readonly renewLoan: () => void;
    /** Renews the loan if it ends soon. */
    readonly renewEndingLoan: () => void;
    readonly counts: () => AskCounts;
}

export const createAskSender = (
    { clock, random, choice, zoneSize, network, createOwnStamp, send, onGivenUp }: AskSenderDependencies,
): AskSender => {
    const counts = { asksSent: 0, asksAnswered: 0, asksGivenUp: 0 };
    let nextId = Math.floor(random() * FIRST_ID_BOUND);
    let renewedAt = Number.NEGATIVE_INFINITY;
    let lookedAt = Number.NEGATIVE_INFINITY;

    const pending = createPendingAsks({
        clock,
        send,
        onGivenUp: (ask) => {
            counts.asksGivenUp += 1;
            choice.recordSilence(ask.owner.id, ask.sentAt);
            onGivenUp(ask);
        },
    });

    const sendAsk = (owner: QuotaPeer, lends: boolean, states: readonly CustomerTokens[]): void => {
        const now = clock.monotonic();
        const id = nextId++;
        if (owner.id === network.self.id) {
            choice.recordStamp(owner.id, createOwnStamp());
        }
        const stamp = choice.findStamp(owner.id);
        const isLoan = lends && stamp !== undefined && zoneSize.isSettled();
        const idleMs = isLoan ? choice.recordLoan(owner.id) : 0;
        states.forEach((state) => {
            state.askId = id;
        });
        counts.asksSent += 1;
        pending.send(owner, {
            kind: "Ask",
            id,
            ...stamp === undefined ? {} : { stamp },
            lends: isLoan,
            idleMs: Math.floor(Math.min(MAX_IDLE_MS, idleMs)),
            members: zoneSize.observed(),
            requests: states.map((state) => createTokenRequest(state, now)),
        });
    };

    const lookForBetterOwner = (better: QuotaPeer | undefined): void => {
        const now = clock.monotonic();
        if (better !== undefined && now - lookedAt >= LOOK_INTERVAL_MS) {
            lookedAt = now;
            sendAsk(better, false, []);
        }
    };

    const renewLoan = (): void => {
        const now = clock.monotonic();
        if (now - renewedAt >= RENEW_INTERVAL_MS) {
            renewedAt = now;
            const { owner, lends, better } = choice.choose();
            sendAsk(owner, lends, []);
            lookForBetterOwner(better);
        }
    };

    return {
        ask: (states) => {
            if (states.length === 0) {
                return;
            }
            const { owner, lends, better } = choice.choose();
            splitIntoChunks(states, MAX_ENTRIES).forEach((chunk) => sendAsk(owner, lends, chunk));
            lookForBetterOwner(better);
        },
        takeAnswered: (id) => {
            const answered = pending.take(id);
            counts.asksAnswered += answered === undefined ? 0 : 1;
            return answered;
        },
        renewLoan,
        renewEndingLoan: () => {
            if (choice.loanEndsAt() < clock.monotonic() + RENEW_BEFORE_MS) {
                renewLoan();
            }
        },
        counts: () => counts,
    };
};
