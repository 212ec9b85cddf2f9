/** The nodes that lend their parts to this pool owner, and until when, on this node's clock. */
import type { Milliseconds, NodeId } from "oleandergap-types";

/**
 * Duration of a loan. Long enough to outlast pauses of a busy node; the parts that are lent to an owner that has died
 * are unused for this time.
 */
export const LOAN_MS: Milliseconds = 1000;

export interface LoanRegistry {
    /** Records a loan, unless a longer one is known, and returns whether it is a new one. */
    readonly record: (lender: NodeId, endsAt: Milliseconds) => boolean;
    /** Removes the loans that have ended, and returns their ends in order. */
    readonly removeEnded: (now: Milliseconds) => readonly Milliseconds[];
    readonly count: () => number;
    /** Returns the number of loans that do not end before `time`. */
    readonly countUntil: (time: Milliseconds) => number;
    /** Returns the end of a loan; undefined if there is none. */
    readonly findEnd: (lender: NodeId) => Milliseconds | undefined;
}

export const createLoanRegistry = (): LoanRegistry => {
    const ends = new Map<NodeId, Milliseconds>();
    /** No loan ends before this time. */
    let nextEndAt = Number.POSITIVE_INFINITY;

    const removeEnded = (now: Milliseconds): readonly Milliseconds[] => {
        if (now < nextEndAt) {
            return [];
        }
        const ended: Milliseconds[] = [];
        for (const [lender, endsAt] of ends) {
            if (endsAt <= now) {
                ends.delete(lender);
                ended.push(endsAt);
            }
        }
        nextEndAt = Math.min(Number.POSITIVE_INFINITY, ...ends.values());
        return ended.sort((left, right) => left - right);
    };

    return {
        record: (lender, endsAt) => {
            const known = ends.get(lender);
            ends.set(lender, Math.max(endsAt, known ?? endsAt));
            nextEndAt = Math.min(nextEndAt, endsAt);
            return known === undefined;
        },
        removeEnded,
        count: () => ends.size,
        countUntil: (time) => [...ends.values()].filter((endsAt) => endsAt >= time).length,
        findEnd: (lender) => ends.get(lender),
    };
};
