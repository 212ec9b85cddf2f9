/**
 * Keeps quotas together with the other nodes: takes tokens for requests, asks the pool owner of the zone for more, and
 * answers other nodes if they chose this node as their pool owner.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, Customer, CustomerQuota, CustomerReference, Milliseconds, PartnerName } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import type { CustomerCounts, TokenOutcome } from "./customerTokens.js";
import type { QuotaOptions } from "./options.js";
import { createOwnerChoice } from "./ownerChoice.js";
import type { Quota, QuotaDecision, QuotaToken } from "./quota.js";
import type { QuotaMessage } from "./quotaMessage.js";
import type { QuotaNetwork, QuotaPeer } from "./quotaNetwork.js";
import { createQuotaServer } from "./quotaServer.js";
import type { AskCounts } from "./askSender.js";
import { createSuspensionAwareClock } from "./suspensionAwareClock.js";
import { createTokenClient } from "./tokenClient.js";
import { createTokenStore } from "./tokenStore.js";
import { createZoneSize } from "./zoneSize.js";

export interface FleetQuotaDependencies {
    readonly clock: Clock;
    readonly random: Random;
    /** Unique for each start of the process. */
    readonly bootId: string;
    readonly options: QuotaOptions;
    readonly network: QuotaNetwork;
    /** Returns the quota in this node's table; undefined if the table has none for the customer. */
    readonly findQuota: (customer: CustomerReference) => CustomerQuota | undefined;
    readonly signal: AbortSignal;
}

/** Requests of one customer at this node. */
export interface CustomerUse extends CustomerReference, Readonly<CustomerCounts> {}

export interface FleetQuotaStatistics extends Readonly<CustomerCounts>, AskCounts {
    /** Customers whose requests arrived here recently. */
    readonly customers: number;
    /** Customers that this node's pools were asked for recently. */
    readonly pools: number;
    /** Fraction of all quotas that this node grants tokens of. */
    readonly fraction: number;
}

export interface FleetQuota extends Quota {
    readonly receive: (from: QuotaPeer, message: QuotaMessage) => void;
    /** Decides like `admit`, and calls `respond` once, possibly before it returns. */
    readonly decide: (customer: Customer, partner: PartnerName, respond: (decision: QuotaDecision) => void) => void;
    readonly stats: () => FleetQuotaStatistics;
    /** Returns the customers whose requests arrived here recently. */
    readonly listUse: () => readonly CustomerUse[];
}

/** A token, with what is needed to return it. */
interface HeldToken extends QuotaToken {
    readonly partner: PartnerName;
    /** Time at which the token would have been lost. */
    readonly endsAt: Milliseconds;
}

const isHeldToken = (token: QuotaToken): token is HeldToken => "endsAt" in token;

/** Calls `decide`. Returns the decision, or a promise if it is not made immediately. */
const awaitDecision = (
    decide: (respond: (decision: QuotaDecision) => void) => void,
): QuotaDecision | Promise<QuotaDecision> => {
    let decision: QuotaDecision | undefined;
    let resolveLater: ((later: QuotaDecision) => void) | undefined;
    decide((decided) => {
        decision = decided;
        resolveLater?.(decided);
    });
    return decision ?? new Promise((resolve) => {
        resolveLater = resolve;
    });
};

/** Creates the quotas of one node. Nothing is sent before a request of a limited customer arrives at a node. */
export const createFleetQuota = (
    { clock, random, bootId, options, network, findQuota, signal }: FleetQuotaDependencies,
): FleetQuota => {
    const { self } = network;
    const zoneSize = createZoneSize(clock, network, signal);
    const choice = createOwnerChoice(clock, network);
    const store = createTokenStore();
    const server = createQuotaServer({
        // Nodes that lend their parts use the other clock, on which their loans never end too early.
        clock: createSuspensionAwareClock(clock),
        bootId,
        options,
        network,
        zoneSize,
        findQuota,
        lendOwnParts: () => client.renewLoan(),
        chooseOwner: () => choice.choose().owner,
        receiveOwnGrant: (grant) => client.receiveGrant(self, grant),
        signal,
    });
    const client = createTokenClient({
        clock,
        random,
        options,
        store,
        choice,
        zoneSize,
        network,
        createOwnStamp: server.createStamp,
        send: (to, ask) => to.id === self.id ? server.answer(self, ask) : network.send(to, ask),
    });

    const decide: FleetQuota["decide"] = ({ name, quota }, partner, respond) => {
        const admittedAt = clock.monotonic();
        if (quota === undefined) {
            respond(either.right({ customer: name, admittedAt }));
            return;
        }
        const toDecision = (outcome: TokenOutcome): QuotaDecision => {
            if (outcome.kind === "Refused") {
                return either.left({ retryAfterMs: outcome.retryAfterMs });
            }
            const token: HeldToken = { customer: name, partner, admittedAt: clock.monotonic(), endsAt: outcome.endsAt };
            return either.right(token);
        };
        client.take({ partner, customer: name }, quota, (outcome) => respond(toDecision(outcome)));
    };

    return {
        decide,
        admit: (customer, partner) => awaitDecision((respond) => decide(customer, partner, respond)),
        giveBack: (token) => {
            if (isHeldToken(token) && token.endsAt > clock.monotonic()) {
                store.find(token)?.tokens.putBack(token.endsAt);
            }
        },
        receive: (from, message) => {
            switch (message.kind) {
                case "Ask":
                    server.answer(from, message);
                    return;
                case "Grant":
                    client.receiveGrant(from, message);
                    return;
                case "Borrow":
                    server.receiveBorrow(message);
                    return;
                case "Lend":
                    server.receiveLend(from, message);
                    return;
                case "Poll":
                    zoneSize.learn(message.members);
                    choice.recordStamp(from.id, message.stamp);
                    client.renewLoan();
                    return;
            }
        },
        stats: () => ({
            ...store.totals(),
            ...client.counts(),
            customers: store.size(),
            pools: server.poolCount(),
            fraction: server.fraction(),
        }),
        listUse: () => [...store.list()].map(({ reference, counts }) => ({ ...reference, ...counts })),
    };
};
