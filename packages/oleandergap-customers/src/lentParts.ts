/** The parts of all quotas that the nodes of a zone lend to a pool owner. */
import type { Clock, Milliseconds, NodeId } from "oleandergap-types";
import { createLoanRegistry, LOAN_MS } from "./loanRegistry.js";
import { createPartHistory, type IdlePart, type PartHistory } from "./partHistory.js";
import type { Ask, Stamp } from "./quotaMessage.js";
import type { ZoneSize } from "./zoneSize.js";

export interface LentPartsDependencies {
    readonly clock: Pick<Clock, "monotonic">;
    /** Unique for each start of the process. */
    readonly bootId: string;
    readonly zoneSize: ZoneSize;
    readonly countZones: () => number;
}

export interface LentParts {
    readonly history: PartHistory;
    readonly createStamp: () => Stamp;
    /** Records the loan that a message states. */
    readonly receiveLoan: (from: NodeId, ask: Ask) => void;
    /** Takes in the loans that have ended by now. */
    readonly update: () => void;
    /** Returns the end of the loan of a node, on this node's clock; undefined if it lends nothing. */
    readonly findLoanEnd: (lender: NodeId) => Milliseconds | undefined;
    /** Returns the fraction of all quotas that is lent to this node for at least `duration`. */
    readonly fractionFor: (duration: Milliseconds) => number;
}

export const createLentParts = ({ clock, bootId, zoneSize, countZones }: LentPartsDependencies): LentParts => {
    const loans = createLoanRegistry();
    const history = createPartHistory();

    /** The fraction is bounded by the zone's share, so that lenders that count too few members do no harm. */
    const computeFraction = (lenders: number): number =>
        Math.min(1, lenders / zoneSize.count()) / Math.max(1, countZones());

    const update = (idle: readonly IdlePart[] = []): void => {
        const ends = loans.removeEnded(clock.monotonic());
        ends.forEach((end, index) => {
            history.set(end, computeFraction(loans.count() + ends.length - 1 - index));
        });
        if (zoneSize.isSettled()) {
            history.set(clock.monotonic(), computeFraction(loans.count()), idle);
        }
    };

    const recordLoan = (from: NodeId, { lends, idleMs, stamp }: Ask): readonly IdlePart[] => {
        const now = clock.monotonic();
        if (!lends || stamp?.boot !== bootId || stamp.at > now || stamp.at + LOAN_MS <= now) {
            return [];
        }
        const isNew = loans.record(from, stamp.at + LOAN_MS);
        return isNew ? [{ fraction: computeFraction(1), idleMs }] : [];
    };

    return {
        history,
        // Rounded down, a stamp only shortens the loan, and takes fewer bytes.
        createStamp: () => ({ boot: bootId, at: Math.floor(clock.monotonic()) }),
        receiveLoan: (from, ask) => {
            zoneSize.learn(ask.members);
            update();
            update(recordLoan(from, ask));
        },
        update: () => update(),
        findLoanEnd: loans.findEnd,
        fractionFor: (duration) =>
            zoneSize.isSettled() ? computeFraction(loans.countUntil(clock.monotonic() + duration)) : 0,
    };
};
