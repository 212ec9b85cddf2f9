/**
 * Requests the loans of members that have not asked for tokens recently, while others do ask this node. Members that
 * receive no requests of limited customers send nothing on their own.
 */
import type { Clock, Milliseconds, NodeId } from "oleandergap-types";
import { LOAN_MS } from "./loanRegistry.js";
import type { Stamp } from "./quotaMessage.js";
import type { QuotaNetwork } from "./quotaNetwork.js";
import { ZONE_LOAN_MS } from "./zoneLoans.js";
import type { ZoneSize } from "./zoneSize.js";

/** Interval of the checks which loans end soon: several in a loan, so that a lost message does not end it. */
const POLL_INTERVAL_MS: Milliseconds = LOAN_MS / 4;
/** Loans are renewed early enough that parts of them can be lent to other zones. */
const RENEW_BEFORE_MS: Milliseconds = ZONE_LOAN_MS + POLL_INTERVAL_MS;
/** Time for which answers wait for loans after the first polls. Later loans serve later requests. */
export const WARM_UP_MS: Milliseconds = 15;
/** Polls end this long after the last request for tokens. */
const ACTIVE_MS: Milliseconds = 5000;

export interface LoanPolls {
    /** Records that a node asked for tokens. */
    readonly recordUse: () => void;
    /** Returns whether polls were sent so recently that loans may be on the way. */
    readonly isWarmingUp: () => boolean;
}

export interface LoanPollsDependencies {
    readonly clock: Clock;
    /** Returns the end of the loan of a node, on this node's clock; undefined if it lends nothing. */
    readonly findLoanEnd: (lender: NodeId) => Milliseconds | undefined;
    readonly createStamp: () => Stamp;
    /** Deletes what has not been used recently. */
    readonly forgetIdle: () => void;
    readonly network: QuotaNetwork;
    readonly zoneSize: ZoneSize;
    /** Renews the loan of this node's own parts. */
    readonly lendOwnParts: () => void;
    readonly signal: AbortSignal;
}

export const createLoanPolls = (
    { clock, findLoanEnd, createStamp, forgetIdle, network, zoneSize, lendOwnParts, signal }: LoanPollsDependencies,
): LoanPolls => {
    let usedAt = Number.NEGATIVE_INFINITY;
    let startedAt = Number.NEGATIVE_INFINITY;
    let isScheduled = false;

    const isEnding = (id: NodeId): boolean =>
        (findLoanEnd(id) ?? Number.NEGATIVE_INFINITY) < clock.monotonic() + RENEW_BEFORE_MS;

    const run = (): void => {
        isScheduled = false;
        if (signal.aborted || clock.monotonic() - usedAt > ACTIVE_MS) {
            return;
        }
        forgetIdle();
        for (const member of network.members()) {
            if (!isEnding(member.id)) {
                continue;
            }
            if (member.id === network.self.id) {
                lendOwnParts();
            }
            else {
                network.send(member, { kind: "Poll", stamp: createStamp(), members: zoneSize.observed() });
            }
        }
        schedule();
    };

    const schedule = (): void => {
        isScheduled = true;
        clock.after(POLL_INTERVAL_MS, run);
    };

    return {
        recordUse: () => {
            usedAt = clock.monotonic();
            if (!isScheduled) {
                startedAt = usedAt;
                run();
            }
        },
        isWarmingUp: () => clock.monotonic() - startedAt < WARM_UP_MS,
    };
};
