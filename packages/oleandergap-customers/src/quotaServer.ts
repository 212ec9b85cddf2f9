/** Answers other nodes, and this node, if they ask this node for tokens. */
import type { Clock, CustomerQuota, CustomerReference, Milliseconds } from "oleandergap-types";
import { createLentParts, type LentParts } from "./lentParts.js";
import { createLoanPolls, WARM_UP_MS } from "./loanPolls.js";
import type { QuotaOptions } from "./options.js";
import { createPoolOwner } from "./poolOwner.js";
import { createPoolStore } from "./poolStore.js";
import type { Ask, Borrow, Grant, Lend } from "./quotaMessage.js";
import type { QuotaNetwork, QuotaPeer } from "./quotaNetwork.js";
import { createZoneLending } from "./zoneLending.js";
import { createZoneLoans } from "./zoneLoans.js";
import type { ZoneSize } from "./zoneSize.js";

/** Time for which an answer waits for the loans of other zones. Later loans serve later requests. */
const BORROW_MS: Milliseconds = 6;

export interface QuotaServerDependencies {
    readonly clock: Clock;
    /** Unique for each start of the process. */
    readonly bootId: string;
    readonly options: QuotaOptions;
    readonly network: QuotaNetwork;
    readonly zoneSize: ZoneSize;
    /** Returns the quota in this node's table; undefined if the table has none for the customer. */
    readonly findQuota: (customer: CustomerReference) => CustomerQuota | undefined;
    /** Renews the loan of this node's own parts. */
    readonly lendOwnParts: () => void;
    /** Returns the pool owner that this node has chosen. */
    readonly chooseOwner: () => QuotaPeer;
    /** Delivers an answer to this node itself. */
    readonly receiveOwnGrant: (grant: Grant) => void;
    readonly signal: AbortSignal;
}

export interface QuotaServer {
    readonly answer: (from: QuotaPeer, ask: Ask) => void;
    readonly receiveBorrow: (borrow: Borrow) => void;
    readonly receiveLend: (from: QuotaPeer, lend: Lend) => void;
    readonly createStamp: LentParts["createStamp"];
    /** Returns the fraction of all quotas that is lent to this node. */
    readonly fraction: () => number;
    readonly poolCount: () => number;
}

export const createQuotaServer = (dependencies: QuotaServerDependencies): QuotaServer => {
    const { clock, network, zoneSize, chooseOwner, receiveOwnGrant } = dependencies;
    const { countZones } = network;
    const parts = createLentParts({ ...dependencies, countZones });
    const pools = createPoolStore({ ...dependencies, countZones, history: parts.history });
    const owner = createPoolOwner({ clock, zoneSize, parts, pools });
    const lending = createZoneLending({ clock, pools, parts });
    const polls = createLoanPolls({
        ...dependencies, findLoanEnd: parts.findLoanEnd, createStamp: parts.createStamp, forgetIdle: owner.forgetIdle,
    });
    const zoneLoans = createZoneLoans({
        clock, network, receive: (lender, loan, endsAt) => lending.receive(lender.id, loan, endsAt),
    });

    const answerNow = (from: QuotaPeer, ask: Ask): void => {
        const grant = owner.answer(from.id, ask);
        if (from.id === network.self.id) {
            receiveOwnGrant(grant);
        }
        else {
            network.send(from, grant);
        }
    };

    /** Returns the time until loans have arrived that the answer needs. */
    const waitForLoans = ({ requests }: Ask): Milliseconds => {
        if (requests.length === 0) {
            return 0;
        }
        polls.recordUse();
        if (polls.isWarmingUp()) {
            return WARM_UP_MS;
        }
        parts.update();
        const lacks = zoneSize.isSettled() ? requests.flatMap((request) => lending.findLack(request) ?? []) : [];
        return zoneLoans.borrow(lacks) ? BORROW_MS : 0;
    };

    const answerBorrow = (borrow: Borrow): void => {
        parts.update();
        const loans = borrow.requests.map((request) => lending.lend(borrow.borrower.id, request));
        network.send(borrow.borrower, { kind: "Lend", id: borrow.id, loans });
    };

    const runAfter = (delay: Milliseconds, action: () => void): void => {
        if (delay === 0) {
            action();
        }
        else {
            clock.after(delay, action);
        }
    };

    return {
        answer: (from, ask) => {
            parts.receiveLoan(from.id, ask);
            runAfter(waitForLoans(ask), () => answerNow(from, ask));
        },
        receiveBorrow: (borrow) => {
            const chosen = chooseOwner();
            if (chosen.id !== network.self.id && !borrow.isForwarded) {
                network.send(chosen, { ...borrow, isForwarded: true });
                return;
            }
            polls.recordUse();
            runAfter(polls.isWarmingUp() ? WARM_UP_MS : 0, () => answerBorrow(borrow));
        },
        receiveLend: zoneLoans.receiveLend,
        createStamp: parts.createStamp,
        fraction: () => {
            parts.update();
            return parts.history.current();
        },
        poolCount: pools.count,
    };
};
